#include "balsammill/peer/ReplayWindow.h"

namespace Balsammill {

bool ReplayWindow::accept(std::uint64_t sequence)
{
    if (sequence == 0)
        return false;
    if (sequence > highest_) {
        clearRange(highest_ + 1, sequence);
        highest_ = sequence;
    } else if (highest_ - sequence >= size) {
        return false;
    }
    return testAndSet(sequence);
}

bool ReplayWindow::testAndSet(std::uint64_t sequence)
{
    const auto index = sequence % size;
    auto& word = bits_.at(index / 64);
    const auto bit = std::uint64_t { 1 } << (index % 64);
    const bool isNew = (word & bit) == 0;
    word |= bit;
    return isNew;
}

void ReplayWindow::clearRange(std::uint64_t first, std::uint64_t last)
{
    if (last - first >= size - 1) {
        bits_.fill(0);
        return;
    }
    for (auto sequence = first; sequence != last + 1; ++sequence)
        bits_.at(sequence % size / 64) &= ~(std::uint64_t { 1 } << (sequence % 64));
}

} // namespace Balsammill
