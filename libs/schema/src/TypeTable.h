#pragma once

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>

namespace google::protobuf { // NOLINT(readability-identifier-naming)
class Descriptor;
class EnumDescriptor;
class FileDescriptor;
} // namespace google::protobuf

namespace Balsammill::Detail {

/// All types of a schema and its imports by full name. Names that callers supply are looked up here and not in the
/// descriptor pool, because the pool caches every unknown name and never frees it.
class TypeTable {
public:
    void addFile(const google::protobuf::FileDescriptor&);

    /// Null if the schema has no such message type.
    const google::protobuf::Descriptor* findMessage(std::string_view fullName) const;

    const std::map<std::string, const google::protobuf::Descriptor*, std::less<>>& messages() const
    {
        return messages_;
    }
    const std::map<std::string, const google::protobuf::EnumDescriptor*, std::less<>>& enums() const { return enums_; }

private:
    void addMessage(const google::protobuf::Descriptor&);

    std::set<const google::protobuf::FileDescriptor*> files_;
    std::map<std::string, const google::protobuf::Descriptor*, std::less<>> messages_;
    std::map<std::string, const google::protobuf::EnumDescriptor*, std::less<>> enums_;
};

} // namespace Balsammill::Detail
