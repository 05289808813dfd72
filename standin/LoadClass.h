#pragma once

#include "balsammill/base/StrongId.h"
#include "balsammill/base/Units.h"

#include <cstdint>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace Balsammill::Standin {

/// A class of load: calls of one method, or jobs whose tasks call this method, by one client account.
struct LoadClass {
    std::string name;
    MethodName method;
    ClientAccountName clientAccount { "default" };
    /// Arrivals per second.
    double rate { 0 };
    /// Tasks per job; 0 means plain calls.
    std::uint32_t tasksPerJob { 0 };
    /// Home failure domain of the jobs; empty lets balsammill derive it.
    std::string homeFailureDomain {};
    /// Time from the start of the load to the start of the flood, during which the rate is multiplied by floodFactor.
    std::optional<Duration> floodAt {};
    double floodFactor { 10 };
    /// Length of the flood; absent means until the end of the load.
    std::optional<Duration> floodFor {};
    /// Response time without queueing or overhead; absent means the run time that the schema declares.
    std::optional<Duration> ideal {};
};

/// Parses "name=...,method=...,team=...,rate=...,jobs=...,home=...,flood_at=seconds,flood_factor=...,flood_for=seconds,
/// ideal_ms=...". Throws std::invalid_argument with a description of the error.
LoadClass parseLoadClass(const std::string& text);

/// Reads one class per line and skips empty lines and lines that start with #. Throws like parseLoadClass().
std::vector<LoadClass> readMix(const std::string& path);

/// Generates the Poisson arrivals of one class from a seed. Arrivals do not depend on answers (open-loop load).
class ArrivalProcess {
public:
    ArrivalProcess(const LoadClass&, Duration length, std::uint64_t seed);

    /// Returns the time of the next arrival, measured from the start of the load; empty after the last one.
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
