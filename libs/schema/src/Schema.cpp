#include "balsammill/schema/Schema.h"

#include "JsonText.h"
#include "JsonTypes.h"
#include "MethodPolicies.h"
#include "SchemaFiles.h"
#include "TypeTable.h"
#include "WireCheck.h"

#include "balsammill/base/RpcError.h"

#include <google/protobuf/compiler/importer.h>
#include <google/protobuf/dynamic_message.h>
#include <google/protobuf/stubs/logging.h>
#include <google/protobuf/util/json_util.h>

#include <map>
#include <optional>
#include <set>

namespace Balsammill {

namespace {

using google::protobuf::Descriptor;

std::string formatFaults(const std::vector<SchemaFault>& faults)
{
    std::string text;
    for (const auto& fault : faults) {
        if (!text.empty())
            text += '\n';
        text += fault.file + ":" + std::to_string(fault.line) + ":" + std::to_string(fault.column) + ": " + fault.cause;
    }
    return text;
}

[[noreturn]] void throwInvalidArgument(const Descriptor& type, const std::string& field, const std::string& cause)
{
    throw RpcError({ .code = ErrorCode::InvalidArgument,
        .message = type.full_name() + (field.empty() ? "" : "." + field) + ": " + cause,
        .verdict = Verdict::NotRun,
        .field = field });
}

bool hasRequiredFields(const Descriptor& type, std::set<const Descriptor*>& visited)
{
    if (!visited.insert(&type).second)
        return false;
    for (int i = 0; i < type.field_count(); ++i) {
        const auto* field = type.field(i);
        if (field->is_required()
            || (field->message_type() != nullptr && hasRequiredFields(*field->message_type(), visited)))
            return true;
    }
    return false;
}

} // namespace

SchemaError::SchemaError(std::vector<SchemaFault> faults)
    : std::runtime_error(formatFaults(faults))
    , faults_(std::move(faults))
{
}

struct Schema::Detail {
    explicit Detail(const std::vector<SchemaSource>& sources)
        : files(sources)
        , importer(&files, &faultCollector)
        , factory(importer.pool())
    {
    }

    void importAll(const std::vector<SchemaSource>&);
    void addFile(const google::protobuf::FileDescriptor&, std::vector<SchemaFault>&);
    std::optional<Balsammill::Detail::WireFault> findFault(const Descriptor&, std::string_view binary) const;
    std::optional<Balsammill::Detail::WireFault> findMissingField(const Descriptor&, std::string_view binary) const;

    Balsammill::Detail::SchemaFiles files;
    Balsammill::Detail::FaultCollector faultCollector;
    google::protobuf::compiler::Importer importer;
    mutable google::protobuf::DynamicMessageFactory factory;
    Balsammill::Detail::TypeTable types;
    std::unique_ptr<Balsammill::Detail::JsonTypes> jsonTypes;
    std::map<std::string, MethodInfo, std::less<>> methods;
    /// Types that contain proto2 required fields, also in nested messages; checkWire() does not check required fields.
    std::set<const Descriptor*> typesWithRequiredFields;
};

void Schema::Detail::importAll(const std::vector<SchemaSource>& sources)
{
    auto faults = files.faults();
    if (faults.empty()) {
        for (const auto& source : sources) {
            if (const auto* file = importer.Import(source.path))
                addFile(*file, faults);
        }
    }
    faults.insert(faults.begin(), faultCollector.faults().begin(), faultCollector.faults().end());
    if (!faults.empty())
        throw SchemaError(std::move(faults));
    jsonTypes = std::make_unique<Balsammill::Detail::JsonTypes>(importer.pool(), types);
}

void Schema::Detail::addFile(const google::protobuf::FileDescriptor& file, std::vector<SchemaFault>& faults)
{
    types.addFile(file);
    for (int s = 0; s < file.service_count(); ++s) {
        for (int m = 0; m < file.service(s)->method_count(); ++m) {
            auto info = Balsammill::Detail::readMethod(*file.service(s)->method(m), faults);
            for (const auto* type : { info.input, info.output }) {
                std::set<const Descriptor*> visited;
                if (hasRequiredFields(*type, visited))
                    typesWithRequiredFields.insert(type);
            }
            auto name = info.name.value;
            methods.emplace(std::move(name), std::move(info));
        }
    }
}

std::optional<Balsammill::Detail::WireFault> Schema::Detail::findFault(
    const Descriptor& type, std::string_view binary) const
{
    auto fault = Balsammill::Detail::checkWire(type, binary, types);
    if (!fault && typesWithRequiredFields.contains(&type))
        fault = findMissingField(type, binary);
    return fault;
}

std::optional<Balsammill::Detail::WireFault> Schema::Detail::findMissingField(
    const Descriptor& type, std::string_view binary) const
{
    std::unique_ptr<google::protobuf::Message> message(factory.GetPrototype(&type)->New());
    if (!message->ParsePartialFromArray(binary.data(), static_cast<int>(binary.size())))
        return Balsammill::Detail::WireFault { .field = {}, .cause = "malformed message" };
    std::vector<std::string> missing;
    message->FindInitializationErrors(&missing);
    if (missing.empty())
        return std::nullopt;
    return Balsammill::Detail::WireFault { .field = missing.front(), .cause = "required field is missing" };
}

Schema::Schema(std::unique_ptr<Detail> detail)
    : detail_(std::move(detail))
{
}

Schema::~Schema() = default;

std::shared_ptr<const Schema> Schema::compile(const std::vector<SchemaSource>& sources)
{
    // Keeps the compiler from printing warnings to standard error; its errors go to the FaultCollector.
    const google::protobuf::LogSilencer silencer;
    auto detail = std::make_unique<Detail>(sources);
    detail->importAll(sources);
    return std::shared_ptr<const Schema>(new Schema(std::move(detail)));
}

const MethodInfo* Schema::findMethod(std::string_view name) const
{
    const auto found = detail_->methods.find(name);
    return found == detail_->methods.end() ? nullptr : &found->second;
}

std::vector<const MethodInfo*> Schema::methods() const
{
    std::vector<const MethodInfo*> result;
    result.reserve(detail_->methods.size());
    for (const auto& [name, info] : detail_->methods)
        result.push_back(&info);
    return result;
}

std::string Schema::requestFromJson(const MethodInfo& method, std::string_view json) const
{
    const auto& type = *method.input;
    if (auto cause = Balsammill::Detail::checkJsonText(json, Balsammill::Detail::maxNesting))
        throwInvalidArgument(type, {}, *cause);
    std::string binary;
    const auto status = google::protobuf::util::JsonToBinaryString(detail_->jsonTypes.get(),
        Balsammill::Detail::JsonTypes::urlOf(type), { json.data(), json.size() }, &binary,
        google::protobuf::util::JsonParseOptions());
    if (!status.ok()) {
        const auto fault = Balsammill::Detail::parseJsonFault({ status.message().data(), status.message().size() });
        throwInvalidArgument(type, fault.field, fault.cause);
    }
    checkRequest(method, binary);
    return binary;
}

void Schema::checkRequest(const MethodInfo& method, std::string_view binary) const
{
    if (auto fault = detail_->findFault(*method.input, binary))
        throwInvalidArgument(*method.input, fault->field, fault->cause);
}

void Schema::checkAnswer(const MethodInfo& method, std::string_view binary) const
{
    if (auto fault = detail_->findFault(*method.output, binary))
        throw RpcError({ .code = ErrorCode::Internal,
            .message = "the upstream's answer does not fit " + method.output->full_name()
                + (fault->field.empty() ? "" : "." + fault->field) + ": " + fault->cause,
            .verdict = Verdict::Ran });
}

std::string Schema::answerToJson(const MethodInfo& method, std::string_view binary) const
{
    checkAnswer(method, binary);
    std::string json;
    const auto status = google::protobuf::util::BinaryToJsonString(detail_->jsonTypes.get(),
        Balsammill::Detail::JsonTypes::urlOf(*method.output), std::string(binary), &json,
        google::protobuf::util::JsonPrintOptions());
    if (!status.ok())
        throw RpcError({ .code = ErrorCode::Internal,
            .message = "the upstream's answer cannot be written as JSON: "
                + std::string(status.message().data(), status.message().size()),
            .verdict = Verdict::Ran });
    return json;
}

} // namespace Balsammill
