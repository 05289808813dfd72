#include "SchemaFiles.h"

#include "EmbeddedOptions.h"

#include <google/protobuf/descriptor.h>
#include <google/protobuf/io/zero_copy_stream_impl_lite.h>

#include <algorithm>

namespace Balsammill::Detail {

namespace {

constexpr auto optionsPath = "balsammill/options.proto";
// The compiler recurses once per nested block, so unbounded nesting would overflow the stack.
constexpr int maxBlockDepth = 64;

int blockNestingDepth(std::string_view text)
{
    int depth = 0;
    int maxDepth = 0;
    for (char c : text) {
        if (c == '{')
            maxDepth = std::max(maxDepth, ++depth);
        else if (c == '}')
            --depth;
    }
    return maxDepth;
}

bool isWellKnown(std::string_view path) { return path.starts_with("google/protobuf/"); }

} // namespace

SchemaFiles::SchemaFiles(const std::vector<SchemaSource>& sources)
{
    texts_[optionsPath] = embeddedOptionsText;
    for (const auto& source : sources)
        add(source);
}

void SchemaFiles::add(const SchemaSource& source)
{
    auto reject = [&](std::string cause) { faults_.push_back({ .file = source.path, .cause = std::move(cause) }); };
    if (source.path.empty())
        return reject("a schema file without a path");
    if (isWellKnown(source.path))
        return reject("the path is reserved for the well-known types");
    if (const auto found = texts_.find(source.path); found != texts_.end()) {
        if (source.path == optionsPath && found->second == source.text)
            return;
        return reject(
            source.path == optionsPath ? "differs from the options.proto of this program" : "the path is listed twice");
    }
    if (blockNestingDepth(source.text) > maxBlockDepth)
        return reject("blocks are nested more than " + std::to_string(maxBlockDepth) + " levels deep");
    texts_[source.path] = source.text;
}

google::protobuf::io::ZeroCopyInputStream* SchemaFiles::Open(const std::string& filename)
{
    auto found = texts_.find(filename);
    if (found == texts_.end() && isWellKnown(filename)) {
        const auto* wellKnownFile = google::protobuf::DescriptorPool::generated_pool()->FindFileByName(filename);
        if (wellKnownFile != nullptr)
            found = texts_.emplace(filename, wellKnownFile->DebugString()).first;
    }
    if (found == texts_.end())
        return nullptr;
    return new google::protobuf::io::ArrayInputStream(found->second.data(), static_cast<int>(found->second.size()));
}

std::string SchemaFiles::GetLastErrorMessage() { return "File is not part of the schema."; }

void FaultCollector::AddError(const std::string& filename, int line, int column, const std::string& message)
{
    // The compiler counts from 0 and reports line -1 for faults of a whole file.
    const bool isLocated = line >= 0;
    faults_.push_back(
        { .file = filename, .line = isLocated ? line + 1 : 0, .column = isLocated ? column + 1 : 0, .cause = message });
}

} // namespace Balsammill::Detail
