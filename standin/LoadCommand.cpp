#include "Commands.h"

#include "LoadReport.h"

#include <CLI/CLI.hpp>

#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <stdexcept>

namespace Balsammill::Standin {

namespace {

struct Options {
    std::vector<std::string> entries;
    std::vector<std::string> schemaFiles;
    std::string protoRoot { "." };
    std::vector<std::string> classes;
    std::string mix;
    std::vector<std::string> idealMs;
    double seconds { 10 };
    double warmupSeconds { 0 };
    std::size_t maxInFlight { 512 };
    double timeoutMs { 5000 };
    std::uint64_t seed { 1 };
    bool json { false };
    std::string report;
    std::string plot;
};

Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

/// Sets the ideal response time of a class from "NAME=MS".
void setIdealResponseTime(std::vector<LoadClass>& classes, const std::string& text)
{
    const auto separator = text.find('=');
    for (auto& load : classes) {
        if (separator != std::string::npos && load.name == text.substr(0, separator)) {
            load.ideal = fromSeconds(std::stod(text.substr(separator + 1)) / 1000);
            return;
        }
    }
    throw std::invalid_argument("--ideal-ms \"" + text + "\" must be NAME=MS with the name of a class");
}

std::vector<LoadClass> readClasses(const Options& options)
{
    auto classes = options.mix.empty() ? std::vector<LoadClass> {} : readMix(options.mix);
    for (const auto& text : options.classes)
        classes.push_back(parseLoadClass(text));
    if (classes.empty())
        throw std::invalid_argument("no load class: use --class or --mix");
    for (const auto& text : options.idealMs)
        setIdealResponseTime(classes, text);
    return classes;
}

void writeFile(const std::string& path, const std::string& text)
{
    std::ofstream file(path);
    if (!(file << text).flush())
        throw std::runtime_error("cannot write " + path);
}

std::vector<std::unique_ptr<ClassRunner>> runAll(
    const std::vector<LoadClass>& classes, LoadCaller& caller, const Options& options)
{
    std::vector<std::unique_ptr<ClassRunner>> runners;
    for (std::size_t i = 0; i < classes.size(); ++i) {
        runners.push_back(std::make_unique<ClassRunner>(classes[i], caller,
            ClassRunner::Options { .length = fromSeconds(options.seconds),
                .maxInFlight = options.maxInFlight,
                .seed = options.seed * 1000 + i }));
    }
    // The load starts 100 ms from now, so that its threads have started by then.
    const auto start = monotonicNow() + std::chrono::milliseconds(100);
    std::vector<std::thread> threads;
    threads.reserve(runners.size());
    for (const auto& runner : runners)
        threads.emplace_back([&runner, start] { runner->run(start); });
    for (auto& thread : threads)
        thread.join();
    return runners;
}

void runLoad(const Options& options)
{
    std::signal(SIGPIPE, SIG_IGN);
    const auto classes = readClasses(options);
    const auto messages = std::make_shared<const EchoMessages>(loadSchema(options.protoRoot, options.schemaFiles));
    LoadTarget target { .entries = {}, .timeout = fromSeconds(options.timeoutMs / 1000) };
    for (const auto& entry : options.entries)
        target.entries.emplace_back(entry);
    LoadCaller caller(target, messages, options.seed);
    const auto runners = runAll(classes, caller, options);

    std::vector<ClassSummary> summaries;
    std::vector<std::pair<std::string, const LoadClassResult*>> plotted;
    const ReportRange range { .from = fromSeconds(options.warmupSeconds), .length = fromSeconds(options.seconds) };
    for (std::size_t i = 0; i < classes.size(); ++i) {
        const auto ideal = classes[i].ideal.value_or(caller.methodOf(classes[i]).declaredRunTime);
        summaries.push_back(summarize(classes[i], ideal, runners[i]->result(), range));
        plotted.emplace_back(classes[i].name, &runners[i]->result());
    }
    std::cout << (options.json ? toJson(summaries) : toText(summaries)) << std::flush;
    if (!options.report.empty())
        writeFile(options.report, toJson(summaries));
    if (!options.plot.empty())
        writeFile(options.plot, plotResponses(plotted, range.length));
}

} // namespace

void addLoadCommand(CLI::App& app)
{
    auto options = std::make_shared<Options>();
    auto* command = app.add_subcommand("load", "Generate open-loop load of Connect calls and print a report");
    command->add_option("--entry", options->entries, "Entry address HOST:PORT; several are used round-robin")
        ->required();
    command->add_option("--schema", options->schemaFiles, "Schema file relative to the import root")->required();
    command->add_option("--proto-root", options->protoRoot, "Import root of the schema files");
    command->add_option("--class", options->classes,
        "name=..,method=..,team=..,rate=..[,jobs=tasks per job][,home=..][,flood_at=s][,flood_factor=..]"
        "[,flood_for=s][,ideal_ms=..]");
    command->add_option("--mix", options->mix, "File with one class per line");
    command->add_option("--ideal-ms", options->idealMs, "NAME=MS, the ideal response time of a class");
    command->add_option("--seconds", options->seconds, "Length of the load in seconds")->check(CLI::Range(0.1, 300.0));
    command->add_option(
        "--warmup-seconds", options->warmupSeconds, "Initial part of the load that the report leaves out");
    command->add_option("--max-in-flight", options->maxInFlight, "Limit of calls in flight per class")
        ->check(CLI::Range(1, 8192));
    command->add_option("--timeout-ms", options->timeoutMs, "Timeout of each call or job")
        ->check(CLI::Range(1.0, 120000.0));
    command->add_option("--seed", options->seed, "Seed of the arrivals");
    command->add_flag("--json", options->json, "Print the report as JSON instead of text");
    command->add_option("--report", options->report, "File for the report as JSON");
    command->add_option("--plot", options->plot, "File for an SVG plot of response times");
    command->callback([options] { runLoad(*options); });
}

} // namespace Balsammill::Standin
