#include "balsammill/jobs/JobIdentity.h"

#include "balsammill/v1/jobs.pb.h"

#include <Poco/SHA2Engine.h>

#include <algorithm>
#include <string_view>

namespace Balsammill {

namespace {

void appendEscaped(std::string& text, std::string_view part)
{
    for (const char character : part) {
        if (character == '/')
            text += "%2F";
        else if (character == '%')
            text += "%25";
        else
            text += character;
    }
}

// Prefixes each part with its length, so that shifting bytes from one part to another changes the digest.
void update(Poco::SHA2Engine& engine, std::string_view part)
{
    const auto size = std::to_string(part.size()) + ':';
    engine.update(size.data(), size.size());
    engine.update(part.data(), part.size());
}

Digest128 finish(Poco::SHA2Engine& engine)
{
    const auto& digest = engine.digest();
    Digest128 result;
    std::copy_n(digest.begin(), result.size(), result.begin());
    return result;
}

} // namespace

JobKey makeJobKey(const ClientAccountName& clientAccount, const FailureDomain& home, const JobId& id)
{
    std::string text;
    appendEscaped(text, clientAccount.value);
    text += '/';
    appendEscaped(text, home.value);
    text += '/';
    appendEscaped(text, id.value);
    return JobKey { std::move(text) };
}

JobId jobIdOf(const JobKey& key)
{
    const auto escaped = std::string_view(key.value).substr(key.value.rfind('/') + 1);
    std::string id;
    for (std::size_t index = 0; index < escaped.size(); ++index) {
        if (escaped[index] == '%') {
            id += escaped.substr(index, 3) == "%2F" ? '/' : '%';
            index += 2;
        } else {
            id += escaped[index];
        }
    }
    return JobId { std::move(id) };
}

Digest128 contentDigest(const balsammill::v1::SubmitRequest& request)
{
    Poco::SHA2Engine engine;
    update(engine, request.method());
    update(engine, std::to_string(request.tasks_size()));
    for (const auto& task : request.tasks())
        update(engine, task);
    for (const auto& task : request.tasks_json())
        update(engine, task);
    return finish(engine);
}

Digest128 keyDigest(const JobKey& key)
{
    Poco::SHA2Engine engine;
    update(engine, key.value);
    return finish(engine);
}

std::string toBytes(const Digest128& digest) { return { digest.begin(), digest.end() }; }

Digest128 digestFromBytes(const std::string& bytes)
{
    Digest128 digest {};
    std::copy_n(bytes.begin(), std::min(bytes.size(), digest.size()), digest.begin());
    return digest;
}

} // namespace Balsammill
