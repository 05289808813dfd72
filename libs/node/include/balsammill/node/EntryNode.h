#pragma once

#include "balsammill/routing/NodeSettings.h"

#include <memory>
#include <string>

namespace Balsammill {

/// How an entry reports what it does; the same on every platform.
struct NodeOptions {
    /// Read again on SIGHUP.
    std::string settingsPath;
    /// Of how many requests one has its lines logged; failures are always logged.
    std::uint32_t logSampleOneIn { 16 };
    /// Log lines a second for each kind of event.
    std::uint32_t logLinesPerSecond { 100 };
};

/// An entry process on the operators' platform: serves clients, and owns shards of its failure domain.
class EntryNode {
public:
    /// Binds its addresses. Throws boost::system::system_error if one is not free.
    explicit EntryNode(const NodeSettings&, const NodeOptions&);
    ~EntryNode();

    /// Runs until a termination signal has been handled. Returns the exit status of the process.
    int run();

private:
    struct Detail;
    std::unique_ptr<Detail> detail_;
};

} // namespace Balsammill
