#include "EchoMessages.h"

#include <google/protobuf/util/message_differencer.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace Balsammill::Standin {

namespace {

using google::protobuf::FieldDescriptor;
using google::protobuf::Message;

bool sameType(const FieldDescriptor& from, const FieldDescriptor& to)
{
    if (from.cpp_type() != to.cpp_type() || from.is_repeated() != to.is_repeated())
        return false;
    if (from.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE)
        return from.message_type() == to.message_type();
    return from.cpp_type() != FieldDescriptor::CPPTYPE_ENUM || from.enum_type() == to.enum_type();
}

void addElement(
    const Message& from, const FieldDescriptor& source, int index, Message& to, const FieldDescriptor& target)
{
    const auto& get = *from.GetReflection();
    const auto& set = *to.GetReflection();
    switch (source.cpp_type()) {
    case FieldDescriptor::CPPTYPE_INT32:
        return set.AddInt32(&to, &target, get.GetRepeatedInt32(from, &source, index));
    case FieldDescriptor::CPPTYPE_INT64:
        return set.AddInt64(&to, &target, get.GetRepeatedInt64(from, &source, index));
    case FieldDescriptor::CPPTYPE_UINT32:
        return set.AddUInt32(&to, &target, get.GetRepeatedUInt32(from, &source, index));
    case FieldDescriptor::CPPTYPE_UINT64:
        return set.AddUInt64(&to, &target, get.GetRepeatedUInt64(from, &source, index));
    case FieldDescriptor::CPPTYPE_DOUBLE:
        return set.AddDouble(&to, &target, get.GetRepeatedDouble(from, &source, index));
    case FieldDescriptor::CPPTYPE_FLOAT:
        return set.AddFloat(&to, &target, get.GetRepeatedFloat(from, &source, index));
    case FieldDescriptor::CPPTYPE_BOOL:
        return set.AddBool(&to, &target, get.GetRepeatedBool(from, &source, index));
    case FieldDescriptor::CPPTYPE_ENUM:
        return set.AddEnumValue(&to, &target, get.GetRepeatedEnumValue(from, &source, index));
    case FieldDescriptor::CPPTYPE_STRING:
        return set.AddString(&to, &target, get.GetRepeatedString(from, &source, index));
    case FieldDescriptor::CPPTYPE_MESSAGE:
        return set.AddMessage(&to, &target)->CopyFrom(get.GetRepeatedMessage(from, &source, index));
    }
}

void copySingle(const Message& from, const FieldDescriptor& source, Message& to, const FieldDescriptor& target)
{
    const auto& get = *from.GetReflection();
    const auto& set = *to.GetReflection();
    if (source.has_presence() && !get.HasField(from, &source))
        return;
    switch (source.cpp_type()) {
    case FieldDescriptor::CPPTYPE_INT32:
        return set.SetInt32(&to, &target, get.GetInt32(from, &source));
    case FieldDescriptor::CPPTYPE_INT64:
        return set.SetInt64(&to, &target, get.GetInt64(from, &source));
    case FieldDescriptor::CPPTYPE_UINT32:
        return set.SetUInt32(&to, &target, get.GetUInt32(from, &source));
    case FieldDescriptor::CPPTYPE_UINT64:
        return set.SetUInt64(&to, &target, get.GetUInt64(from, &source));
    case FieldDescriptor::CPPTYPE_DOUBLE:
        return set.SetDouble(&to, &target, get.GetDouble(from, &source));
    case FieldDescriptor::CPPTYPE_FLOAT:
        return set.SetFloat(&to, &target, get.GetFloat(from, &source));
    case FieldDescriptor::CPPTYPE_BOOL:
        return set.SetBool(&to, &target, get.GetBool(from, &source));
    case FieldDescriptor::CPPTYPE_ENUM:
        return set.SetEnumValue(&to, &target, get.GetEnumValue(from, &source));
    case FieldDescriptor::CPPTYPE_STRING:
        return set.SetString(&to, &target, get.GetString(from, &source));
    case FieldDescriptor::CPPTYPE_MESSAGE:
        return set.MutableMessage(&to, &target)->CopyFrom(get.GetMessage(from, &source));
    }
}

void copyField(const Message& from, const FieldDescriptor& source, Message& to, const FieldDescriptor& target)
{
    if (!source.is_repeated())
        return copySingle(from, source, to, target);
    const int count = from.GetReflection()->FieldSize(from, &source);
    for (int i = 0; i < count; ++i)
        addElement(from, source, i, to, target);
}

/// Sets a field, or adds one element to a repeated field, with a value derived from the number. Floating-point, bool,
/// enum and message fields keep their defaults.
void fillField(Message& message, const FieldDescriptor& field, std::uint64_t number)
{
    const auto& set = *message.GetReflection();
    const auto text = field.name() + "-" + std::to_string(number);
    const bool repeated = field.is_repeated();
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_INT32:
        return repeated ? set.AddInt32(&message, &field, static_cast<std::int32_t>(number & 0x7fffffff))
                        : set.SetInt32(&message, &field, static_cast<std::int32_t>(number & 0x7fffffff));
    case FieldDescriptor::CPPTYPE_INT64:
        return repeated ? set.AddInt64(&message, &field, static_cast<std::int64_t>(number))
                        : set.SetInt64(&message, &field, static_cast<std::int64_t>(number));
    case FieldDescriptor::CPPTYPE_UINT32:
        return repeated ? set.AddUInt32(&message, &field, static_cast<std::uint32_t>(number))
                        : set.SetUInt32(&message, &field, static_cast<std::uint32_t>(number));
    case FieldDescriptor::CPPTYPE_UINT64:
        return repeated ? set.AddUInt64(&message, &field, number) : set.SetUInt64(&message, &field, number);
    case FieldDescriptor::CPPTYPE_STRING:
        return repeated ? set.AddString(&message, &field, text) : set.SetString(&message, &field, text);
    default:
        return;
    }
}

} // namespace

EchoMessages::EchoMessages(std::shared_ptr<const Schema> schema)
    : schema_(std::move(schema))
{
    for (const auto* info : schema_->methods()) {
        Method method { .input = factory_.GetPrototype(info->input),
            .output = factory_.GetPrototype(info->output),
            .echoedFields = {} };
        for (int i = 0; i < info->output->field_count(); ++i) {
            const auto* target = info->output->field(i);
            const auto* source = info->input->FindFieldByName(target->name());
            if (source != nullptr && sameType(*source, *target))
                method.echoedFields.emplace_back(source, target);
        }
        methods_.emplace(info->name.value, std::move(method));
    }
}

const EchoMessages::Method& EchoMessages::methodFor(const MethodInfo& info) const
{
    return methods_.at(info.name.value);
}

std::string EchoMessages::makeRequest(const MethodInfo& info, std::uint64_t number) const
{
    const std::unique_ptr<Message> request(methodFor(info).input->New());
    for (int i = 0; i < info.input->field_count(); ++i)
        fillField(*request, *info.input->field(i), number);
    return request->SerializeAsString();
}

std::optional<std::string> EchoMessages::makeAnswer(const MethodInfo& info, std::string_view request) const
{
    const auto& method = methodFor(info);
    const std::unique_ptr<Message> received(method.input->New());
    if (!received->ParseFromArray(request.data(), static_cast<int>(request.size())))
        return std::nullopt;
    const std::unique_ptr<Message> answer(method.output->New());
    for (const auto& [source, target] : method.echoedFields)
        copyField(*received, *source, *answer, *target);
    return answer->SerializeAsString();
}

bool EchoMessages::matches(const MethodInfo& info, std::string_view request, std::string_view answer) const
{
    const auto expected = makeAnswer(info, request);
    if (!expected)
        return false;
    // The bytes are usually identical. Another order of the fields is valid too, so compare the parsed messages as
    // well.
    if (*expected == answer)
        return true;
    const auto& method = methodFor(info);
    const std::unique_ptr<Message> expectedMessage(method.output->New());
    const std::unique_ptr<Message> received(method.output->New());
    return expectedMessage->ParseFromString(*expected)
        && received->ParseFromArray(answer.data(), static_cast<int>(answer.size()))
        && google::protobuf::util::MessageDifferencer::Equals(*expectedMessage, *received);
}

std::shared_ptr<const Schema> loadSchema(const std::string& protoRoot, const std::vector<std::string>& files)
{
    std::vector<SchemaSource> sources;
    for (const auto& file : files) {
        const auto path = std::filesystem::path(protoRoot) / file;
        std::ifstream input(path);
        if (!input)
            throw std::runtime_error("cannot read " + path.string());
        sources.push_back({ .path = file,
            .text = std::string(std::istreambuf_iterator<char>(input), std::istreambuf_iterator<char>()) });
    }
    return Schema::compile(sources);
}

} // namespace Balsammill::Standin
