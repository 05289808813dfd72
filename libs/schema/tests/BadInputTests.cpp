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

struct BadSchema {
    const char* what;
    std::string text;
    int line;
    int column;
    std::string cause;
};

const BadSchema badSchemas[] {
    { "syntax error", "syntax = \"proto3\";\nmessage M {\n  string a = ;\n}", 3, 14, "Expected field number" },
    { "unclosed block", "syntax = \"proto3\";\nmessage M {", 2, 12, "end of input" },
    { "unknown type", "syntax = \"proto3\";\nmessage M { Missing a = 1; }", 2, 13, "not defined" },
    { "field number twice", "syntax = \"proto3\"; message M { string a = 1; string b = 1; }", 1, 57,
        "already been used" },
    { "streaming call", "syntax = \"proto3\";\nmessage M {}\nservice S {\n  rpc Do(stream M) returns (M);\n}", 4, 3,
        "streaming" },
    { "unknown policy field",
        "syntax = \"proto3\";\nimport \"balsammill/options.proto\";\nmessage M {}\nservice S {\n"
        "  rpc Do(M) returns (M) { option (balsammill.policy) = { speed: 1 }; }\n}",
        5, 56, "speed" },
    { "policy without its import",
        "syntax = \"proto3\";\nmessage M {}\nservice S {\n"
        "  rpc Do(M) returns (M) { option (balsammill.policy) = { slots: 1 }; }\n}",
        4, 34, "balsammill.policy" },
    { "impossible slots",
        "syntax = \"proto3\";\nimport \"balsammill/options.proto\";\nmessage M {}\nservice S {\n"
        "  rpc Do(M) returns (M) { option (balsammill.policy) = { slots: 5000 }; }\n}",
        5, 3, "policy.slots is 5000" },
    { "run time beyond the deadline",
        "syntax = \"proto3\";\nimport \"balsammill/options.proto\";\nmessage M {}\nservice S {\n"
        "  rpc Do(M) returns (M) { option (balsammill.policy) = { run_time_ms: 20 deadline_ms: 10 }; }\n}",
        5, 3, "exceeds policy.deadline_ms 10" },
    { "own import", "syntax = \"proto3\";\nimport \"bad.proto\";", 2, 1, "recursively imports itself" },
    { "deep blocks",
        [] {
            std::string text = "syntax = \"proto3\";";
            for (int i = 0; i < 100000; ++i)
                text += "message M {";
            return text;
        }(),
        0, 0, "nested more than 64" },
    { "binary", std::string("\x00\x01\xff\xfe", 4), 1, 1, "" },
};

struct BadMessage {
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

const BadMessage badJson[] {
    { "empty", "", "", "empty" },
    { "blank", " \n", "", "empty" },
    { "cut off", R"({"id":"a)", "", "" },
    { "no JSON", "hello", "", "" },
    { "array", "[]", "", "Root element must be a message" },
    { "number", "5", "", "Root element must be a message" },
    { "null", "null", "", "Root element must be a message" },
    { "trailing text", "{} {}", "", "" },
    { "unknown field", R"({"vine":"a"})", "vine", "Cannot find field" },
    { "unknown nested field", R"({"items":[{"name":"a"},{"vine":"a"}]})", "items[1].vine", "Cannot find field" },
    { "text for a number", R"({"items":[{"row":"x"}]})", "items[0].row", "invalid value" },
    { "negative unsigned", R"({"items":[{"row":-1}]})", "items[0].row", "invalid value" },
    { "number out of range", R"({"items":[{"row":4294967296}]})", "items[0].row", "invalid value" },
    { "number for text", R"({"id":5})", "id", "" },
    { "object for text", R"({"id":{}})", "id", "" },
    { "nested object for text", R"({"items":[{"name":{}}]})", "items[0].name", "" },
    { "list for a single field", R"({"id":["a"]})", "id", "" },
    { "text for a truth value", R"({"on":"perhaps"})", "on", "invalid value" },
    { "unknown enumerator", R"({"items":[{"color":"GREEN"}]})", "items[0].color", "GREEN" },
    { "bad base64", R"({"data":"###"})", "data", "invalid value" },
    { "invalid UTF-8", "{\"id\":\"\xff\xfe\"}", "", "UTF-8" },
    { "half a surrogate pair", R"({"id":"\ud800"})", "", "" },
    { "deep objects", nestedJson(40), "", "nested more than 32" },
    { "very deep arrays", std::string(1000000, '['), "", "nested more than 32" },
};

/// The length of each level has to fit into one byte, so at most 63 levels.
std::string nestedBinary(int depth)
{
    std::string binary;
    for (int i = 0; i < depth; ++i)
        binary.insert(0, { '\x2a', static_cast<char>(binary.size()) });
    return binary.insert(0, { '\x12', static_cast<char>(binary.size()) });
}

const BadMessage badBinary[] {
    { "cut off text",
        std::string("\x0a\x05"
                    "ab"),
        "id", "length 5, present 2" },
    { "cut off tag", std::string("\xff"), "", "malformed" },
    { "cut off varint", std::string("\x12\x02\x10\xff"), "items.row", "truncated" },
    { "endless varint", "\x28" + std::string(20, '\xff'), "on", "malformed" },
    { "field number 0", std::string("\x00\x01", 2), "", "malformed" },
    { "negative length", "\x0a" + std::string("\xff\xff\xff\xff\x0f"), "id", "length" },
    { "other wire type", std::string("\x08\x01"), "id", "wire type 0, expected 2" },
    { "other nested wire type",
        std::string("\x12\x03\x12\x01"
                    "a"),
        "items.row", "wire type 2, expected 0" },
    { "invalid UTF-8", std::string("\x0a\x02\xff\xfe"), "id", "UTF-8" },
    { "invalid UTF-8 in a map key", std::string("\x1a\x03\x0a\x01\xff"), "counts.key", "UTF-8" },
    { "cut off packed numbers", std::string("\x12\x03\x1a\x01\xff"), "items.rows", "truncated" },
    { "cut off fixed number", std::string("\x12\x03\x25\x01\x02"), "items.f", "truncated" },
    { "end of a group that never began", std::string("\x0c"), "", "unexpected end of a group" },
    { "inner length beyond the outer",
        std::string("\x12\x03\x0a\x05"
                    "abcdef"),
        "items.name", "length 5" },
    { "cut off unknown field",
        std::string("\xfa\x01\x05"
                    "a"),
        "", "unknown field 31" },
    { "deep messages", nestedBinary(40), "", "nested more than 32" },
};

template <typename Call> void checkRefused(const BadMessage& bad, const Call& call)
{
    CAPTURE(std::string(bad.what));
    try {
        call();
        FAIL_CHECK("expected an error");
    } catch (const RpcError& error) {
        CAPTURE(error.details().message);
        CHECK(error.details().code == ErrorCode::InvalidArgument);
        CHECK(error.details().verdict == Verdict::NotRun);
        CHECK((bad.field.empty() || error.details().field == bad.field));
        CAPTURE(error.details().field);
        CHECK(error.details().message.find(bad.cause) != std::string::npos);
        CHECK(error.details().message.find("t.Request") != std::string::npos);
    }
}

} // namespace

// Guards against schemas that crash the compiler, are accepted although they cannot be served, or are refused without
// a place to look at.
TEST_CASE("Each faulty schema is refused with file, line, column and cause")
{
    for (const auto& bad : badSchemas) {
        CAPTURE(std::string(bad.what));
        try {
            Schema::compile({ { "bad.proto", bad.text } });
            FAIL_CHECK("expected an error");
        } catch (const SchemaError& error) {
            const auto& fault = error.faults().front();
            CAPTURE(std::string(error.what()));
            CHECK(fault.file == "bad.proto");
            CHECK(fault.line == bad.line);
            CHECK(fault.column == bad.column);
            CHECK(fault.cause.find(bad.cause) != std::string::npos);
        }
    }
}

TEST_CASE("Reserved and repeated schema paths are refused")
{
    const std::string empty = "syntax = \"proto3\";";
    CHECK_THROWS_WITH(
        Schema::compile({ { "a.proto", empty }, { "a.proto", empty } }), doctest::Contains("listed twice"));
    CHECK_THROWS_WITH(Schema::compile({ { "google/protobuf/any.proto", empty } }), doctest::Contains("reserved"));
    CHECK_THROWS_WITH(Schema::compile({ { "balsammill/options.proto", empty } }), doctest::Contains("differs"));
    CHECK_THROWS_WITH(Schema::compile({ { "", empty } }), doctest::Contains("without a path"));
}

// Guards against bad requests that reach an upstream or get an error that does not name what to correct.
TEST_CASE("Each faulty request is refused as not-run with its field")
{
    const auto schema = Schema::compile({ { "t.proto", testSchema } });
    const auto& method = *schema->findMethod("t.S/Do");
    for (const auto& bad : badJson)
        checkRefused(bad, [&] { schema->requestFromJson(method, bad.text); });
    for (const auto& bad : badBinary)
        checkRefused(bad, [&] { schema->checkRequest(method, bad.text); });
}

// Guards against an upstream's faulty answer that is passed on, or that is reported as not run.
TEST_CASE("Each faulty answer is an internal error of a call that ran")
{
    const auto schema = Schema::compile({ { "t.proto", testSchema } });
    const auto& method = *schema->findMethod("t.S/Do");
    for (const auto& bad : badBinary) {
        CAPTURE(std::string(bad.what));
        try {
            schema->answerToJson(method, bad.text);
            FAIL_CHECK("expected an error");
        } catch (const RpcError& error) {
            CHECK(error.details().code == ErrorCode::Internal);
            CHECK(error.details().verdict == Verdict::Ran);
        }
    }
}

// Guards against limits that refuse what the design allows.
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

// Guards against proto2 messages whose required fields are missing.
TEST_CASE("A missing required field is named")
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

// Guards against a crash of the entry: the JSON converter recurses once per nested Any without a limit.
TEST_CASE("Nested Any values count as levels")
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
        // A message with field 1 of type Any has the same bytes as one with a field 1 of type bytes.
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
