#include "TypeTable.h"

#include <google/protobuf/descriptor.h>

namespace Balsammill::Detail {

void TypeTable::addFile(const google::protobuf::FileDescriptor& file)
{
    if (!files_.insert(&file).second)
        return;
    for (int i = 0; i < file.dependency_count(); ++i)
        addFile(*file.dependency(i));
    for (int i = 0; i < file.message_type_count(); ++i)
        addMessage(*file.message_type(i));
    for (int i = 0; i < file.enum_type_count(); ++i)
        enums_.emplace(file.enum_type(i)->full_name(), file.enum_type(i));
}

void TypeTable::addMessage(const google::protobuf::Descriptor& type)
{
    messages_.emplace(type.full_name(), &type);
    for (int i = 0; i < type.nested_type_count(); ++i)
        addMessage(*type.nested_type(i));
    for (int i = 0; i < type.enum_type_count(); ++i)
        enums_.emplace(type.enum_type(i)->full_name(), type.enum_type(i));
}

const google::protobuf::Descriptor* TypeTable::findMessage(std::string_view fullName) const
{
    const auto found = messages_.find(fullName);
    return found == messages_.end() ? nullptr : found->second;
}

} // namespace Balsammill::Detail
