#pragma once

#include "balsammill/routing/NodeSettings.h"

#include <memory>
#include <string>

namespace Balsammill {

/// Logging and settings-reload options of an entry; the same on every platform.
struct NodeOptions {
    /// Path of the settings file, which is read again on SIGHUP.
    std::string settingsPath;
    /// One in this many requests is logged in detail; failures are always logged.
    std::uint32_t logSampleOneIn { 16 };
    /// Maximum number of log lines per second for each kind of event.
    std::uint32_t logLinesPerSecond { 100 };
};

/// An entry process on the operators' platform: serves clients, and owns shards of its failure domain.
class EntryNode {
public:
    /// Binds the listening addresses. Throws boost::system::system_error if one is already in use.
    explicit EntryNode(const NodeSettings&, const NodeOptions&);
    ~EntryNode();

    /// Runs the event loop until a termination signal has been handled. Returns the exit status of the process.
    int run();

private:
    struct Detail;
    std::unique_ptr<Detail> detail_;
};

} // namespace Balsammill
