#include "balsammill/observe/TimelineMerge.h"

#include <Poco/JSON/Array.h>
#include <Poco/JSON/Object.h>

#include <map>
#include <sstream>

namespace Balsammill {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

bool endsSpan(EventKind kind) { return kind == EventKind::Answered || kind == EventKind::Failed; }

/// Replaces non-ASCII bytes by '?'. Names and details may come from clients, and JSON must not contain invalid UTF-8.
std::string replaceNonAscii(const std::string& text)
{
    std::string clean = text;
    for (char& c : clean) {
        if (static_cast<unsigned char>(c) >= 0x80)
            c = '?';
    }
    return clean;
}

void setText(Object& object, const std::string& key, const std::string& text)
{
    object.set(key, replaceNonAscii(text));
}

class TraceWriter {
public:
    explicit TraceWriter(Array& events)
        : events_(events)
    {
    }

    void add(const MergedEvent& event)
    {
        const std::pair key { event.vm, event.event.subject };
        if (event.event.kind == EventKind::Started) {
            // On a second start of the same subject, as after a retry, the first start becomes an instant event.
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
    Object::Ptr addEvent(const MergedEvent& event, const std::string& phase)
    {
        const auto process = processOf(event.vm);
        Object::Ptr object = new Object;
        setText(*object, "ph", phase);
        setText(*object, "cat", std::string(nameOf(event.event.kind)));
        object->set("ts", event.correctedUs);
        object->set("pid", process);
        object->set("tid", process);
        events_.add(object);
        return object;
    }

    void addInstant(const MergedEvent& event)
    {
        auto object = addEvent(event, "i");
        setText(*object, "name", std::string(nameOf(event.event.kind)) + " " + event.event.subject);
        setText(*object, "s", "p");
        Object::Ptr arguments = new Object;
        setText(*arguments, "detail", event.event.detail);
        object->set("args", arguments);
    }

    void addSpan(const MergedEvent& start, const MergedEvent& end)
    {
        auto object = addEvent(start, "X");
        setText(*object, "name", start.event.subject);
        object->set("dur", end.correctedUs - start.correctedUs);
        Object::Ptr arguments = new Object;
        setText(*arguments, "start", start.event.detail);
        setText(*arguments, std::string(nameOf(end.event.kind)), end.event.detail);
        object->set("args", arguments);
    }

    int processOf(const VmName& vm)
    {
        const auto [entry, inserted] = processes_.try_emplace(vm, static_cast<int>(processes_.size()) + 1);
        if (inserted) {
            Object::Ptr arguments = new Object;
            setText(*arguments, "name", vm.value);
            Object::Ptr object = new Object;
            setText(*object, "ph", "M");
            setText(*object, "name", "process_name");
            object->set("pid", entry->second);
            object->set("args", arguments);
            events_.add(object);
        }
        return entry->second;
    }

    Array& events_;
    std::map<VmName, int> processes_;
    std::map<std::pair<VmName, std::string>, const MergedEvent*> started_;
};

} // namespace

std::string traceEventJson(const std::vector<MergedEvent>& events)
{
    Array::Ptr list = new Array;
    TraceWriter writer(*list);
    for (const auto& event : events)
        writer.add(event);
    writer.finish();
    Object document;
    document.set("traceEvents", list);
    setText(document, "displayTimeUnit", "ms");
    std::ostringstream text;
    document.stringify(text);
    return text.str();
}

} // namespace Balsammill
