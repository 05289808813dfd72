#include "PlatformDocuments.h"

#include <Poco/Base64Decoder.h>
#include <Poco/Exception.h>
#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>
#include <Poco/JSON/Parser.h>
#include <Poco/Net/SocketAddress.h>
#include <Poco/StreamCopier.h>

#include <set>
#include <sstream>
#include <stdexcept>

namespace Balsammill::Detail {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

/// No document of the platform nests deeper than an object in an array in an object.
constexpr std::size_t maxDepth = 8;

Array::Ptr parseRows(const std::string& json, const std::string& member)
{
    Poco::JSON::Parser parser;
    parser.setDepth(maxDepth);
    const auto document = parser.parse(json).extract<Object::Ptr>();
    auto rows = document->getArray(member);
    if (rows.isNull())
        throw std::runtime_error("no array \"" + member + "\"");
    return rows;
}

std::string requireString(const Object& row, const std::string& member)
{
    const auto value = row.get(member);
    if (!value.isString())
        throw std::runtime_error("no text \"" + member + "\"");
    return value.extract<std::string>();
}

std::string requireName(const Object& row, const std::string& member)
{
    auto text = requireString(row, member);
    if (text.empty())
        throw std::runtime_error("empty \"" + member + "\"");
    return text;
}

std::string optionalString(const Object& row, const std::string& member)
{
    return row.has(member) ? requireString(row, member) : std::string();
}

VmRole parseRole(const std::string& text)
{
    if (text == "entry")
        return VmRole::Entry;
    if (text == "upstream")
        return VmRole::Upstream;
    throw std::runtime_error("unknown role \"" + text + "\"");
}

bool optionalFlag(const Object& row, const std::string& member)
{
    if (!row.has(member))
        return false;
    const auto value = row.get(member);
    if (!value.isBoolean())
        throw std::runtime_error("\"" + member + "\" is no truth value");
    return value.extract<bool>();
}

Slots optionalSlots(const Object& row)
{
    if (!row.has("slots"))
        return Slots { 0 };
    const auto value = row.get("slots");
    if (!value.isInteger())
        throw std::runtime_error("\"slots\" is no whole number");
    // Poco's conversion throws on negative and too large numbers.
    return Slots { value.convert<Poco::UInt32>() };
}

/// Accepts numeric hosts only, so that no row can make a reader wait for name resolution.
void checkAddress(const std::string& address)
{
    const auto colon = address.rfind(':');
    if (colon == std::string::npos)
        throw std::runtime_error("address without port");
    auto host = address.substr(0, colon);
    if (host.starts_with('[') && host.ends_with(']'))
        host = host.substr(1, host.size() - 2);
    Poco::Net::IPAddress::parse(host);
    if (Poco::Net::SocketAddress(address).port() == 0)
        throw std::runtime_error("port 0");
}

ListedVm parseVm(const Object& row)
{
    ListedVm vm {
        .name = VmName(requireName(row, "name")),
        .role = parseRole(requireName(row, "role")),
        .failureDomain = FailureDomain(requireName(row, "failure_domain")),
        .rack = optionalString(row, "rack"),
        .address = NetworkAddress(requireName(row, "address")),
        .label = optionalString(row, "label"),
        .slots = optionalSlots(row),
        .leaving = optionalFlag(row, "leaving"),
    };
    if (vm.role == VmRole::Upstream && vm.label.empty())
        throw std::runtime_error("upstream without label");
    checkAddress(vm.address.value);
    return vm;
}

std::string decodeBase64(const std::string& text)
{
    std::istringstream encoded(text);
    encoded.exceptions(std::ios::badbit);
    Poco::Base64Decoder decoder(encoded);
    // Lets the decoder's exception for an invalid character through instead of ending the text there.
    decoder.exceptions(std::ios::badbit);
    std::string decoded;
    Poco::StreamCopier::copyToString(decoder, decoded);
    return decoded;
}

} // namespace

ParsedVmList parseVmList(const std::string& json)
{
    const auto rows = parseRows(json, "vms");
    ParsedVmList parsed;
    std::set<std::string> names;
    for (unsigned i = 0; i < rows->size(); ++i) {
        try {
            const auto row = rows->getObject(i);
            if (row.isNull())
                throw std::runtime_error("row is no object");
            auto vm = parseVm(*row);
            if (!names.insert(vm.name.value).second)
                throw std::runtime_error("name is listed twice");
            parsed.vms.push_back(std::move(vm));
        } catch (const std::exception&) {
            ++parsed.malformedRows;
        }
    }
    return parsed;
}

std::vector<TableValue> parseTableList(const std::string& json)
{
    const auto rows = parseRows(json, "values");
    std::vector<TableValue> values;
    for (unsigned i = 0; i < rows->size(); ++i) {
        const auto row = rows->getObject(i);
        if (row.isNull())
            throw std::runtime_error("row is no object");
        values.push_back({ .key = requireName(*row, "key"),
            .value = decodeBase64(requireString(*row, "value_base64")),
            .etag = ETag(requireName(*row, "etag")) });
    }
    return values;
}

} // namespace Balsammill::Detail
