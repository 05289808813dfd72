#include "balsammill/base/RpcError.h"
#include "balsammill/schema/Schema.h"

#include <doctest/doctest.h>
#include <google/protobuf/any.pb.h>
#include <google/protobuf/wrappers.pb.h>

#include <string>

using namespace Balsammill;

namespace {

const char* const testSchema = R"(syntax = "proto3"; package t;
enum Color { RED = 0; BLUE = 1; }
message Item { string name = 1; uint32 row = 2; repeated int32 rows = 3; fixed32 f = 4; Item child = 5; Color color = 6; }
message Request { string id = 1; repeated Item items = 2; map<string, int32> counts = 3; bytes data = 4; bool on = 5; }
service S { rpc Do(Request) returns (Request); })";

struct InvalidSchema {
    const char* what;
    std::string text;
    int line;
    int column;
    std::string cause;
};

const InvalidSchema invalidSchemas[] {
    { "syntax error", "syntax = \"proto3\";\nmessage M {\n  string a = ;\n}", 3, 14, "Expected field number" },
    { "unclosed block", "syntax = \"proto3\";\nmessage M {", 2, 12, "end of input" },
    { "unknown type", "syntax = \"proto3\";\nmessage M { Missing a = 1; }", 2, 13, "not defined" },
    { "duplicate field number", "syntax = \"proto3\"; message M { string a = 1; string b = 1; }", 1, 57,
        "already been used" },
    { "streaming call", "syntax = \"proto3\";\nmessage M {}\nservice S {\n  rpc Do(stream M) returns (M);\n}", 4, 3,
        "streaming" },
    { "unknown policy field",
        "syntax = \"proto3\";\nimport \"balsammill/options.proto\";\nmessage M {}\nservice S {\n"
        "  rpc Do(M) returns (M) { option (balsammill.policy) = { speed: 1 }; }\n}",
        5, 56, "speed" },
    { "policy without the import of options.proto",
        "syntax = \"proto3\";\nmessage M {}\nservice S {\n"
        "  rpc Do(M) returns (M) { option (balsammill.policy) = { slots: 1 }; }\n}",
        4, 34, "balsammill.policy" },
    { "slots above the maximum",
        "syntax = \"proto3\";\nimport \"balsammill/options.proto\";\nmessage M {}\nservice S {\n"
        "  rpc Do(M) returns (M) { option (balsammill.policy) = { slots: 5000 }; }\n}",
        5, 3, "policy.slots is 5000" },
    { "run time above the deadline",
        "syntax = \"proto3\";\nimport \"balsammill/options.proto\";\nmessage M {}\nservice S {\n"
        "  rpc Do(M) returns (M) { option (balsammill.policy) = { run_time_ms: 20 deadline_ms: 10 }; }\n}",
        5, 3, "exceeds policy.deadline_ms 10" },
    { "import of itself", "syntax = \"proto3\";\nimport \"bad.proto\";", 2, 1, "recursively imports itself" },
    { "deeply nested blocks",
        [] {
            std::string text = "syntax = \"proto3\";";
            for (int i = 0; i < 100000; ++i)
                text += "message M {";
            return text;
        }(),
        0, 0, "nested more than 64" },
    { "binary data", std::string("\x00\x01\xff\xfe", 4), 1, 1, "" },
};

struct InvalidMessage {
    const char* what;
    std::string text;
    std::string field;
    std::string cause;
};

std::string nestedJson(int depth)
{
    std::string text = "{\"items\":[{";
    for (int i = 0; i < depth; ++i)
        text += "\"child\":{";
    return text + std::string(static_cast<std::size_t>(depth), '}') + "}]}";
}

const InvalidMessage invalidJson[] {
    { "empty", "", "", "empty" },
    { "blank", " \n", "", "empty" },
    { "truncated text", R"({"id":"a)", "", "" },
    { "not JSON", "hello", "", "" },
    { "array", "[]", "", "Root element must be a message" },
    { "number", "5", "", "Root element must be a message" },
    { "null", "null", "", "Root element must be a message" },
    { "trailing text", "{} {}", "", "" },
    { "unknown field", R"({"vine":"a"})", "vine", "Cannot find field" },
    { "unknown nested field", R"({"items":[{"name":"a"},{"vine":"a"}]})", "items[1].vine", "Cannot find field" },
    { "string for a number", R"({"items":[{"row":"x"}]})", "items[0].row", "invalid value" },
    { "negative value for an unsigned number", R"({"items":[{"row":-1}]})", "items[0].row", "invalid value" },
    { "number out of range", R"({"items":[{"row":4294967296}]})", "items[0].row", "invalid value" },
    { "number for a string", R"({"id":5})", "id", "" },
    { "object for a string", R"({"id":{}})", "id", "" },
    { "nested object for a string", R"({"items":[{"name":{}}]})", "items[0].name", "" },
    { "list for a single field", R"({"id":["a"]})", "id", "" },
    { "string for a bool", R"({"on":"perhaps"})", "on", "invalid value" },
    { "unknown enum value", R"({"items":[{"color":"GREEN"}]})", "items[0].color", "GREEN" },
    { "invalid base64", R"({"data":"###"})", "data", "invalid value" },
    { "invalid UTF-8", "{\"id\":\"\xff\xfe\"}", "", "UTF-8" },
    { "unpaired surrogate", R"({"id":"\ud800"})", "", "" },
    { "deeply nested objects", nestedJson(40), "", "nested more than 32" },
    { "very deeply nested arrays", std::string(1000000, '['), "", "nested more than 32" },
};

/// Supports at most 63 levels, because the length of each level has to fit into one byte.
std::string nestedBinary(int depth)
{
    std::string binary;
    for (int i = 0; i < depth; ++i)
        binary.insert(0, { '\x2a', static_cast<char>(binary.size()) });
    return binary.insert(0, { '\x12', static_cast<char>(binary.size()) });
}

const InvalidMessage invalidBinary[] {
    { "truncated string",
        std::string("\x0a\x05"
                    "ab"),
        "id", "length 5, present 2" },
    { "truncated tag", std::string("\xff"), "", "malformed" },
    { "truncated varint", std::string("\x12\x02\x10\xff"), "items.row", "truncated" },
    { "varint that is too long", "\x28" + std::string(20, '\xff'), "on", "malformed" },
    { "field number 0", std::string("\x00\x01", 2), "", "malformed" },
    { "negative length", "\x0a" + std::string("\xff\xff\xff\xff\x0f"), "id", "length" },
    { "wrong wire type", std::string("\x08\x01"), "id", "wire type 0, expected 2" },
    { "wrong nested wire type",
        std::string("\x12\x03\x12\x01"
                    "a"),
        "items.row", "wire type 2, expected 0" },
    { "invalid UTF-8", std::string("\x0a\x02\xff\xfe"), "id", "UTF-8" },
    { "invalid UTF-8 in a map key", std::string("\x1a\x03\x0a\x01\xff"), "counts.key", "UTF-8" },
    { "truncated packed numbers", std::string("\x12\x03\x1a\x01\xff"), "items.rows", "truncated" },
    { "truncated fixed-width number", std::string("\x12\x03\x25\x01\x02"), "items.f", "truncated" },
    { "end of a group that was not started", std::string("\x0c"), "", "unexpected end of a group" },
    { "inner length larger than the outer",
        std::string("\x12\x03\x0a\x05"
                    "abcdef"),
        "items.name", "length 5" },
    { "truncated unknown field",
        std::string("\xfa\x01\x05"
                    "a"),
        "", "unknown field 31" },
    { "deeply nested messages", nestedBinary(40), "", "nested more than 32" },
};

template <typename Call> void checkRejected(const InvalidMessage& testCase, const Call& call)
{
    CAPTURE(std::string(testCase.what));
    try {
        call();
        FAIL_CHECK("expected an error");
    } catch (const RpcError& error) {
        CAPTURE(error.details().message);
        CHECK(error.details().code == ErrorCode::InvalidArgument);
        CHECK(error.details().verdict == Verdict::NotRun);
        CHECK((testCase.field.empty() || error.details().field == testCase.field));
        CAPTURE(error.details().field);
        CHECK(error.details().message.find(testCase.cause) != std::string::npos);
        CHECK(error.details().message.find("t.Request") != std::string::npos);
    }
}

} // namespace

// Guards against invalid schemas that crash the compiler, are accepted although they cannot be served, or are rejected
// without the location of the error.
TEST_CASE("Each invalid schema is rejected with file, line, column and cause")
{
    for (const auto& testCase : invalidSchemas) {
        CAPTURE(std::string(testCase.what));
        try {
            Schema::compile({ { "bad.proto", testCase.text } });
            FAIL_CHECK("expected an error");
        } catch (const SchemaError& error) {
            const auto& fault = error.faults().front();
            CAPTURE(std::string(error.what()));
            CHECK(fault.file == "bad.proto");
            CHECK(fault.line == testCase.line);
            CHECK(fault.column == testCase.column);
            CHECK(fault.cause.find(testCase.cause) != std::string::npos);
        }
    }
}

// Guards against a source file that silently replaces another source, a well-known type or options.proto.
TEST_CASE("Reserved, duplicate and empty schema paths are rejected")
{
    const std::string empty = "syntax = \"proto3\";";
    CHECK_THROWS_WITH(
        Schema::compile({ { "a.proto", empty }, { "a.proto", empty } }), doctest::Contains("listed twice"));
    CHECK_THROWS_WITH(Schema::compile({ { "google/protobuf/any.proto", empty } }), doctest::Contains("reserved"));
    CHECK_THROWS_WITH(Schema::compile({ { "balsammill/options.proto", empty } }), doctest::Contains("differs"));
    CHECK_THROWS_WITH(Schema::compile({ { "", empty } }), doctest::Contains("without a path"));
}

// Guards against invalid requests that reach an upstream, and against errors that do not name the invalid field.
TEST_CASE("Each invalid request is rejected as not-run and the error names the field")
{
    const auto schema = Schema::compile({ { "t.proto", testSchema } });
    const auto& method = *schema->findMethod("t.S/Do");
    for (const auto& testCase : invalidJson)
        checkRejected(testCase, [&] { schema->requestFromJson(method, testCase.text); });
    for (const auto& testCase : invalidBinary)
        checkRejected(testCase, [&] { schema->checkRequest(method, testCase.text); });
}

// Guards against an invalid upstream response that is passed on to the client or reported as not-run, which would allow
// a retry of a call that ran.
TEST_CASE("Each invalid response gives an internal error with the verdict ran")
{
    const auto schema = Schema::compile({ { "t.proto", testSchema } });
    const auto& method = *schema->findMethod("t.S/Do");
    for (const auto& testCase : invalidBinary) {
        CAPTURE(std::string(testCase.what));
        try {
            schema->answerToJson(method, testCase.text);
            FAIL_CHECK("expected an error");
        } catch (const RpcError& error) {
            CHECK(error.details().code == ErrorCode::Internal);
            CHECK(error.details().verdict == Verdict::Ran);
        }
    }
}

// Guards against checks that reject valid messages.
TEST_CASE("Nesting within the limit, unknown binary fields and unpacked numbers are accepted")
{
    const auto schema = Schema::compile({ { "t.proto", testSchema } });
    const auto& method = *schema->findMethod("t.S/Do");
    CHECK_NOTHROW(schema->requestFromJson(method, nestedJson(29)));
    CHECK_NOTHROW(schema->checkRequest(method, nestedBinary(31)));
    CHECK_NOTHROW(schema->checkRequest(method, std::string("\xf8\x01\x05")));
    CHECK_NOTHROW(schema->checkRequest(method, std::string("\x12\x04\x18\x01\x18\x02")));
    CHECK_NOTHROW(schema->checkRequest(method, ""));
}

// Guards against accepting proto2 messages without their required fields.
TEST_CASE("The error for a missing required field names the field")
{
    const auto schema = Schema::compile({ { "p2.proto", R"(syntax = "proto2"; package p;
        message Inner { required string id = 1; optional group G = 2 { optional string x = 3; } }
        message M { optional Inner inner = 1; }
        service S { rpc Do(M) returns (M); })" } });
    const auto& method = *schema->findMethod("p.S/Do");
    for (const bool json : { true, false }) {
        try {
            json ? static_cast<void>(schema->requestFromJson(method, R"({"inner":{}})"))
                 : schema->checkRequest(method, std::string("\x0a\x00", 2));
            FAIL_CHECK("expected an error");
        } catch (const RpcError& error) {
            CHECK(error.details().field == "inner.id");
        }
    }
    CHECK_NOTHROW(schema->checkRequest(method,
        std::string("\x0a\x08\x0a\x01"
                    "a\x13\x1a\x01"
                    "b\x14")));
}

// Guards against a stack overflow of the entry process: the JSON converter recurses once for each nested Any, without a
// limit.
TEST_CASE("Nested Any values count towards the nesting limit")
{
    const auto schema = Schema::compile({ { "a.proto", R"(syntax = "proto3"; package a;
        import "google/protobuf/any.proto";
        message M { google.protobuf.Any any = 1; string s = 2; }
        service S { rpc Do(M) returns (M); })" } });
    const auto& method = *schema->findMethod("a.S/Do");
    const auto nested = [](int depth) {
        google::protobuf::Any any;
        for (int i = 0; i < depth; ++i) {
            google::protobuf::Any outer;
            outer.PackFrom(any);
            any = outer;
        }
        // A message with an Any as field 1 is encoded like one whose field 1 holds the serialized Any as bytes.
        google::protobuf::BytesValue message;
        message.set_value(any.SerializeAsString());
        return message.SerializeAsString();
    };
    CHECK_NOTHROW(schema->answerToJson(method, nested(20)));
    CHECK_THROWS_WITH(schema->answerToJson(method, nested(100)), doctest::Contains("nested more than 32"));
    CHECK_THROWS_WITH(schema->checkRequest(method, nested(100)), doctest::Contains("nested more than 32"));
    CHECK_THROWS_WITH(schema->requestFromJson(method, R"({"any":{"@type":"type.googleapis.com/a.Missing"}})"),
        doctest::Contains("a.Missing"));
    CHECK_NOTHROW(schema->requestFromJson(method, R"({"any":{"@type":"type.googleapis.com/a.M","s":"x"}})"));
}
