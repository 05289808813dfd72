#pragma once

#include "balsammill/observe/Metrics.h"
#include "balsammill/observe/StructuredLog.h"
#include "balsammill/routing/NodeSettings.h"

#include <boost/asio/io_context.hpp>

namespace Balsammill {

/// For logs and metrics.
inline double toMs(Duration duration) { return static_cast<double>(duration.count()) / 1000.0; }

/// What every part of an entry uses. The settings may be replaced while the entry runs.
struct NodeContext {
    boost::asio::io_context& loop;
    NodeSettings settings;
    Incarnation incarnation;
    StructuredLog& log;
    Metrics& metrics;

    /// Logs and counts a record of the store that cannot be used.
    void noteBadRecord(std::string_view event, std::string_view table, LogFields fields) const
    {
        log.event(event, fields);
        metrics.add("balsammill_bad_records_total", "table=\"" + std::string(table) + "\"");
    }
};

} // namespace Balsammill
