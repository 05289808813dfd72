#include "balsammill/observe/TimelineMerge.h"

#include <google/protobuf/struct.pb.h>
#include <google/protobuf/util/json_util.h>

#include <map>
#include <stdexcept>

namespace Balsammill {

namespace {

using google::protobuf::ListValue;
using google::protobuf::Struct;

bool endsSpan(EventKind kind) { return kind == EventKind::Answered || kind == EventKind::Failed; }

/// Invalid UTF-8 is not allowed in protobuf strings; names and details may come from callers.
std::string asciiOnly(const std::string& text)
{
    std::string clean = text;
    for (char& c : clean) {
        if (static_cast<unsigned char>(c) >= 0x80)
            c = '?';
    }
    return clean;
}

void setText(Struct& object, const std::string& key, const std::string& text)
{
    (*object.mutable_fields())[key].set_string_value(asciiOnly(text));
}

void setNumber(Struct& object, const std::string& key, double number)
{
    (*object.mutable_fields())[key].set_number_value(number);
}

class TraceWriter {
public:
    explicit TraceWriter(ListValue& events)
        : events_(events)
    {
    }

    void add(const MergedEvent& event)
    {
        const std::pair key { event.vm, event.event.subject };
        if (event.event.kind == EventKind::Started) {
            // A second start of the same subject, as after a retry, leaves the first one as an instant.
            if (const auto open = started_.find(key); open != started_.end())
                addInstant(*open->second);
            started_.insert_or_assign(key, &event);
            return;
        }
        if (const auto open = started_.find(key); endsSpan(event.event.kind) && open != started_.end()) {
            addSpan(*open->second, event);
            started_.erase(open);
            return;
        }
        addInstant(event);
    }

    void finish()
    {
        for (const auto& [key, event] : started_)
            addInstant(*event);
    }

private:
    Struct& addEvent(const MergedEvent& event, const std::string& phase)
    {
        auto& object = *events_.add_values()->mutable_struct_value();
        setText(object, "ph", phase);
        setText(object, "cat", std::string(nameOf(event.event.kind)));
        setNumber(object, "ts", static_cast<double>(event.correctedUs));
        const auto process = processOf(event.vm);
        setNumber(object, "pid", process);
        setNumber(object, "tid", process);
        return object;
    }

    void addInstant(const MergedEvent& event)
    {
        auto& object = addEvent(event, "i");
        setText(object, "name", std::string(nameOf(event.event.kind)) + " " + event.event.subject);
        setText(object, "s", "p");
        setText(*(*object.mutable_fields())["args"].mutable_struct_value(), "detail", event.event.detail);
    }

    void addSpan(const MergedEvent& start, const MergedEvent& end)
    {
        auto& object = addEvent(start, "X");
        setText(object, "name", start.event.subject);
        setNumber(object, "dur", static_cast<double>(end.correctedUs - start.correctedUs));
        auto& arguments = *(*object.mutable_fields())["args"].mutable_struct_value();
        setText(arguments, "start", start.event.detail);
        setText(arguments, std::string(nameOf(end.event.kind)), end.event.detail);
    }

    int processOf(const VmName& vm)
    {
        const auto [place, isNew] = processes_.try_emplace(vm, static_cast<int>(processes_.size()) + 1);
        if (isNew) {
            auto& object = *events_.add_values()->mutable_struct_value();
            setText(object, "ph", "M");
            setText(object, "name", "process_name");
            setNumber(object, "pid", place->second);
            setText(*(*object.mutable_fields())["args"].mutable_struct_value(), "name", vm.value);
        }
        return place->second;
    }

    ListValue& events_;
    std::map<VmName, int> processes_;
    std::map<std::pair<VmName, std::string>, const MergedEvent*> started_;
};

} // namespace

std::string traceEventJson(const std::vector<MergedEvent>& events)
{
    Struct document;
    auto& list = *(*document.mutable_fields())["traceEvents"].mutable_list_value();
    TraceWriter writer(list);
    for (const auto& event : events)
        writer.add(event);
    writer.finish();
    setText(document, "displayTimeUnit", "ms");
    std::string text;
    const auto status = google::protobuf::util::MessageToJsonString(document, &text);
    if (!status.ok())
        throw std::runtime_error("cannot write trace-event JSON: " + status.ToString());
    return text;
}

} // namespace Balsammill
