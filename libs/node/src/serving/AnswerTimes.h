#pragma once

#include "balsammill/base/Units.h"

namespace Balsammill {

/// Estimates from earlier answers of a server how long the next one takes, as TCP does for its retransmission timeout.
class AnswerTimes {
public:
    void record(Duration answerTime);
    /// Time after which a request without an answer is probably lost.
    Duration repeatInterval() const;

private:
    Duration mean_ {};
    Duration deviation_ {};
    bool hasSamples_ { false };
};

} // namespace Balsammill
