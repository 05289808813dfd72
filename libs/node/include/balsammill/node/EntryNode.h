#pragma once

#include "balsammill/routing/NodeSettings.h"

#include <memory>

namespace Balsammill {

/// An entry process on the operators' platform: serves clients, and owns shards of its failure domain.
class EntryNode {
public:
    /// Binds its addresses. Throws boost::system::system_error if one is not free.
    explicit EntryNode(const NodeSettings&);
    ~EntryNode();

    /// Runs until a termination signal has been handled. Returns the exit status of the process.
    int run();

private:
    struct Detail;
    std::unique_ptr<Detail> detail_;
};

} // namespace Balsammill
