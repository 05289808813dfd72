#include "WireCheck.h"

#include "TypeTable.h"

#include <google/protobuf/any.pb.h>
#include <google/protobuf/descriptor.h>
#include <google/protobuf/io/coded_stream.h>
#include <google/protobuf/stubs/common.h>
#include <google/protobuf/wire_format_lite.h>

#include <limits>

namespace Balsammill::Detail {

namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
using google::protobuf::internal::WireFormatLite;
using google::protobuf::io::CodedInputStream;

class WireChecker {
public:
    WireChecker(std::string_view binary, const TypeTable& types)
        : binary_(binary)
        , types_(types)
        , input_(reinterpret_cast<const std::uint8_t*>(binary.data()), static_cast<int>(binary.size()))
    {
    }

    /// Checks the whole input as one message of the given type.
    bool check(const Descriptor& type, int depth)
    {
        return checkMessage(type, depth, 0) && (!isAny(type) || checkAny(binary_, depth));
    }

    WireFault takeFault() { return std::move(fault_); }

private:
    static bool isAny(const Descriptor& type) { return type.well_known_type() == Descriptor::WELLKNOWNTYPE_ANY; }

    bool checkAny(std::string_view binary, int depth)
    {
        google::protobuf::Any any;
        if (!any.ParseFromArray(binary.data(), static_cast<int>(binary.size())))
            return fail("malformed google.protobuf.Any");
        const auto name = std::string_view(any.type_url()).substr(any.type_url().rfind('/') + 1);
        const auto* type = types_.findMessage(name);
        if (type == nullptr)
            return true;
        WireChecker nested(any.value(), types_);
        if (nested.check(*type, depth + 1))
            return true;
        fault_ = nested.takeFault();
        return false;
    }

    /// Reads fields until the end of the input or limit, or until the given end-group tag.
    bool checkMessage(const Descriptor& type, int depth, std::uint32_t endGroupTag)
    {
        if (depth > maxNesting)
            return fail("nested more than " + std::to_string(maxNesting) + " levels deep");
        while (const auto tag = input_.ReadTag()) {
            if (WireFormatLite::GetTagWireType(tag) == WireFormatLite::WIRETYPE_END_GROUP)
                return tag == endGroupTag || fail("unexpected end of a group");
            const auto number = WireFormatLite::GetTagFieldNumber(tag);
            if (number == 0)
                return fail("field number 0 is not allowed");
            const auto* field = type.FindFieldByNumber(number);
            if (field == nullptr) {
                if (!WireFormatLite::SkipField(&input_, tag))
                    return fail("unknown field " + std::to_string(number) + " is malformed or truncated");
                continue;
            }
            if (!checkField(*field, tag, depth)) {
                fault_.field = fault_.field.empty() ? field->name() : field->name() + "." + fault_.field;
                return false;
            }
        }
        return (endGroupTag == 0 && input_.ConsumedEntireMessage()) || fail("malformed or truncated field");
    }

    bool checkField(const FieldDescriptor& field, std::uint32_t tag, int depth)
    {
        const auto actual = WireFormatLite::GetTagWireType(tag);
        const auto expected
            = WireFormatLite::WireTypeForFieldType(static_cast<WireFormatLite::FieldType>(field.type()));
        if (actual == expected)
            return checkValue(field, expected, depth);
        if (field.is_packable() && actual == WireFormatLite::WIRETYPE_LENGTH_DELIMITED)
            return checkPacked(field, expected, depth);
        return fail("wire type " + std::to_string(actual) + ", expected " + std::to_string(expected) + " for "
            + field.type_name());
    }

    bool checkValue(const FieldDescriptor& field, WireFormatLite::WireType wireType, int depth)
    {
        std::uint64_t varint = 0;
        switch (wireType) {
        case WireFormatLite::WIRETYPE_VARINT:
            return input_.ReadVarint64(&varint) || fail("malformed or truncated number");
        case WireFormatLite::WIRETYPE_FIXED32:
            return input_.Skip(4) || fail("truncated number");
        case WireFormatLite::WIRETYPE_FIXED64:
            return input_.Skip(8) || fail("truncated number");
        case WireFormatLite::WIRETYPE_START_GROUP:
            return checkMessage(*field.message_type(), depth + 1,
                WireFormatLite::MakeTag(field.number(), WireFormatLite::WIRETYPE_END_GROUP));
        default:
            return checkLengthDelimited(field, depth);
        }
    }

    bool checkLengthDelimited(const FieldDescriptor& field, int depth)
    {
        int length = 0;
        if (!readLength(length))
            return false;
        if (field.type() == FieldDescriptor::TYPE_MESSAGE) {
            const auto& type = *field.message_type();
            const auto content
                = binary_.substr(static_cast<std::size_t>(input_.CurrentPosition()), static_cast<std::size_t>(length));
            const auto limit = input_.PushLimit(length);
            const bool valid = checkMessage(type, depth + 1, 0);
            input_.PopLimit(limit);
            return valid && (!isAny(type) || checkAny(content, depth + 1));
        }
        if (field.type() == FieldDescriptor::TYPE_STRING) {
            const void* text = nullptr;
            int available = 0;
            if (length > 0 && input_.GetDirectBufferPointer(&text, &available)
                && !google::protobuf::internal::IsStructurallyValidUTF8(static_cast<const char*>(text), length))
                return fail("not valid UTF-8");
        }
        return input_.Skip(length) || fail("truncated value");
    }

    bool checkPacked(const FieldDescriptor& field, WireFormatLite::WireType wireType, int depth)
    {
        int length = 0;
        if (!readLength(length))
            return false;
        const auto limit = input_.PushLimit(length);
        while (input_.BytesUntilLimit() > 0) {
            if (!checkValue(field, wireType, depth))
                return false;
        }
        input_.PopLimit(limit);
        return true;
    }

    /// Reads a length prefix and checks that the input has that many bytes left.
    bool readLength(int& length)
    {
        if (!input_.ReadVarintSizeAsInt(&length))
            return fail("malformed length");
        const void* data = nullptr;
        int available = 0;
        if (length > 0 && (!input_.GetDirectBufferPointer(&data, &available) || available < length))
            return fail("truncated value: length " + std::to_string(length) + ", present " + std::to_string(available));
        return true;
    }

    bool fail(std::string cause)
    {
        fault_.cause = std::move(cause);
        return false;
    }

    std::string_view binary_;
    const TypeTable& types_;
    CodedInputStream input_;
    WireFault fault_;
};

} // namespace

std::optional<WireFault> checkWire(const Descriptor& type, std::string_view binary, const TypeTable& types)
{
    if (binary.size() > static_cast<std::size_t>(std::numeric_limits<int>::max()))
        return WireFault { .field = {}, .cause = "message is larger than 2 GiB" };
    WireChecker checker(binary, types);
    if (checker.check(type, 0))
        return std::nullopt;
    return checker.takeFault();
}

} // namespace Balsammill::Detail
