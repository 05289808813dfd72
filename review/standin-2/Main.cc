#include "Cases.hh"

#include <csignal>
#include <exception>
#include <string_view>

int main(int count, char** arguments)
{
    using namespace Review;
    ::signal(SIGPIPE, SIG_IGN);
    const std::pair<std::string_view, bool (*)(Record&)> cases[] = {
        { "ends-beyond-one-report", endsBeyondOneReport },
        { "cancelled-while-ending", cancelledWhileEnding },
        { "request-at-process-end", requestAtProcessEnd },
        { "cancelled-best-effort-job", cancelledBestEffortJob },
        { "cancelled-first-job", cancelledFirstJob },
    };
    Record record("record.txt");
    for (const auto& [name, run] : cases) {
        if (count < 2 || name != arguments[1])
            continue;
        try {
            record.line(std::string("case ") + arguments[1] + (troubled() ? "" : ", without the disruption"));
            const bool held = run(record);
            record.line(held ? "RESULT: the rule held" : "RESULT: the rule was broken");
            return held ? 0 : 1;
        } catch (const std::exception& error) {
            record.line(std::string("RESULT: the case could not run: ") + error.what());
            return 2;
        }
    }
    record.line("RESULT: no such case");
    return 2;
}
