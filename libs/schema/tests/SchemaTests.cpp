#include "EmbeddedOptions.h"

#include "balsammill/base/RpcError.h"
#include "balsammill/schema/Schema.h"

#include <doctest/doctest.h>

#include <atomic>
#include <fstream>
#include <sstream>
#include <thread>

using namespace Balsammill;

namespace {

std::string readRepositoryFile(const std::string& path)
{
    std::ifstream file(std::string(BALSAMMILL_SOURCE_DIR) + "/" + path);
    REQUIRE(file.good());
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::shared_ptr<const Schema> compileExample()
{
    return Schema::compile({ { "banhay/tanim.proto", readRepositoryFile("examples/banhay/tanim.proto") } });
}

} // namespace

// Guards against an embedded options.proto that is out of date compared with the published file.
TEST_CASE("The embedded options.proto equals the repository's file")
{
    CHECK(Detail::embeddedOptionsText == readRepositoryFile("proto/balsammill/options.proto"));
}

// Guards against policies that are read incorrectly, for example a non-idempotent method that would then be retried.
TEST_CASE("The method policies of a schema are read")
{
    const auto schema = compileExample();
    REQUIRE(schema->methods().size() == 3);
    const auto* check = schema->findMethod("banhay.Tanim/BulaklakCheck");
    REQUIRE(check != nullptr);
    CHECK(check->idempotent);
    CHECK(check->urgency == Urgency::High);
    CHECK(check->declaredRunTime == std::chrono::milliseconds(60));
    CHECK(check->defaultTimeout == std::chrono::seconds(5));
    CHECK(check->queueLimit == 4000);
    const auto* record = schema->findMethod("banhay.Tanim/TalaLog");
    REQUIRE(record != nullptr);
    CHECK_FALSE(record->idempotent);
    CHECK(record->urgency == Urgency::Normal);
    CHECK(schema->findMethod("banhay.Tanim/Missing") == nullptr);
}

// Guards against conversions between JSON and binary that lose fields.
TEST_CASE("A message keeps its fields when converted from JSON to binary and back")
{
    const auto schema = compileExample();
    const auto& method = *schema->findMethod("banhay.Tanim/ParesAssign");
    const auto binary = schema->requestFromJson(method, R"({"requestId":"r1","pollinator_id":"p","row":7})");
    CHECK(schema->answerToJson(method, binary) == R"({"requestId":"r1","pollinatorId":"p","row":7})");
}

// Guards against schemas that fail to compile because the .proto files of the well-known types are not installed.
TEST_CASE("Well-known types can be imported without their files")
{
    const auto schema = Schema::compile({ { "a.proto", R"(syntax = "proto3";
        import "google/protobuf/timestamp.proto"; import "google/protobuf/any.proto"; import "google/protobuf/struct.proto";
        import "google/protobuf/duration.proto"; import "google/protobuf/wrappers.proto"; import "google/protobuf/empty.proto";
        import "google/protobuf/field_mask.proto"; import "google/protobuf/type.proto"; import "google/protobuf/api.proto";
        import "balsammill/options.proto";
        message Q { google.protobuf.Timestamp t = 1; google.protobuf.Struct s = 2; }
        service S { rpc Do(Q) returns (Q); })" } });
    const auto& method = *schema->findMethod("S/Do");
    const auto binary = schema->requestFromJson(method, R"({"t":"2026-01-02T03:04:05Z","s":{"a":[1,"x"]}})");
    CHECK(schema->answerToJson(method, binary) == R"({"t":"2026-01-02T03:04:05Z","s":{"a":[1,"x"]}})");
}

// Guards against data races in the type tables that concurrent conversions share.
TEST_CASE("Conversions run concurrently on one schema")
{
    const auto schema = compileExample();
    std::atomic<int> mismatches { 0 };
    std::vector<std::thread> threads;
    for (int t = 0; t < 4; ++t) {
        threads.emplace_back([&] {
            for (const auto* method : schema->methods()) {
                const auto binary = schema->requestFromJson(*method, R"({"requestId":"r1"})");
                if (schema->answerToJson(*method, binary) != R"({"requestId":"r1"})")
                    ++mismatches;
            }
        });
    }
    for (auto& thread : threads)
        thread.join();
    CHECK(mismatches == 0);
}
