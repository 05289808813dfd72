#pragma once

#include "LoopLagMonitor.h"
#include "StallDetector.h"
#include "ownership/EvacuationTable.h"

#include "balsammill/observe/Metrics.h"
#include "balsammill/observe/StructuredLog.h"
#include "balsammill/routing/NodeSettings.h"

#include <boost/asio/io_context.hpp>

namespace Balsammill {

/// Converts to milliseconds, the unit of logs and metrics.
inline double toMs(Duration duration) { return static_cast<double>(duration.count()) / 1000.0; }

/// State shared by all components of an entry. The settings may change while the entry runs.
struct NodeContext {
    boost::asio::io_context& loop;
    NodeSettings settings;
    Incarnation incarnation;
    StructuredLog& log;
    Metrics& metrics;
    StallDetector stall {};
    LoopLagMonitor loopLag {};
    EvacuationTable evacuations {};

    /// Logs and counts a malformed record of the store.
    void reportBadRecord(std::string_view event, std::string_view table, LogFields fields) const
    {
        log.event(event, fields);
        metrics.add("balsammill_bad_records_total", "table=\"" + std::string(table) + "\"");
    }
};

} // namespace Balsammill
