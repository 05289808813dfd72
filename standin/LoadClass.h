#pragma once

#include "balsammill/base/StrongId.h"
#include "balsammill/base/Units.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Balsammill::Standin {

/// One kind of load: calls of one method, or jobs of such tasks, by one client account.
struct LoadClass {
    std::string name;
    MethodName method;
    ClientAccountName clientAccount { "default" };
    /// Arrivals per second.
    double rate { 0 };
    /// Tasks per job; 0 means plain calls.
    std::uint32_t tasksPerJob { 0 };
    /// Home failure domain of the jobs; empty lets balsammill derive it.
    std::string home {};
    /// From this time on, counted from the start, the rate is multiplied by the factor.
    std::optional<Duration> floodAt {};
    double floodFactor { 10 };
    /// How long the flood lasts; absent means until the end.
    std::optional<Duration> floodFor {};
    /// Response time without any queueing or overhead; absent means the run time that the schema declares.
    std::optional<Duration> ideal {};
};

/// Parses "name=...,method=...,team=...,rate=...,jobs=...,home=...,flood_at=seconds,flood_factor=...,flood_for=seconds,
/// ideal_ms=...". Throws std::invalid_argument that names the fault.
LoadClass parseLoadClass(const std::string& text);

/// Reads one class a line; empty lines and lines that start with # are skipped. Throws like parseLoadClass().
std::vector<LoadClass> readMix(const std::string& path);

/// Poisson arrivals of one class, by a seed and independent of any answer.
class ArrivalProcess {
public:
    ArrivalProcess(const LoadClass&, Duration length, std::uint64_t seed);

    /// Time of the next arrival, counted from the start; empty at the end.
    std::optional<Duration> next();

private:
    struct Phase {
        Duration end;
        double rate;
    };

    std::vector<Phase> phases_;
    std::size_t phase_ { 0 };
    std::chrono::duration<double, std::micro> time_ {};
    std::mt19937_64 random_;
};

} // namespace Balsammill::Standin
