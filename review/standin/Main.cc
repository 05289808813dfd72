#include "Cases.hh"

#include <csignal>
#include <cstdlib>
#include <cstring>
#include <iostream>

// review-case CASE RECORD PROGRAM: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
int main(int argc, char** argv)
{
    if (argc != 4) {
        std::cerr << "usage: review-case CASE RECORD PROGRAM\n";
        return Review::couldNotRun;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const char* trouble = std::getenv("TROUBLE");
    const bool disrupted = trouble == nullptr || std::strcmp(trouble, "0") != 0;
    try {
        Review::Record record(argv[2]);
        const auto found = Review::cases().find(argv[1]);
        if (found == Review::cases().end()) {
            std::cerr << "no case " << argv[1] << "\n";
            return Review::couldNotRun;
        }
        record.line(disrupted ? "with the disruption" : "without the disruption");
        const int result = found->second({ .record = record, .program = argv[3], .disrupted = disrupted });
        record.line("result " + std::to_string(result));
        std::cout << argv[1] << ": result " << result << "\n";
        return result;
    } catch (const std::exception& error) {
        std::cerr << "the case could not run: " << error.what() << "\n";
        return Review::couldNotRun;
    }
}
