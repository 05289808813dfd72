#include "balsammill/shards/CompletedOccurrences.h"

namespace Balsammill::Shards {

namespace {

constexpr unsigned bitsPerByte = 8;

} // namespace

CompletedOccurrences::CompletedOccurrences(std::uint32_t allBelow, const std::string& bitmap)
    : allBelow_(allBelow)
    , count_(allBelow)
{
    for (std::size_t i = 0; i < bitmap.size() * bitsPerByte; ++i) {
        if (((static_cast<unsigned char>(bitmap[i / bitsPerByte]) >> (i % bitsPerByte)) & 1U) != 0)
            insert(allBelow + static_cast<std::uint32_t>(i));
    }
}

bool CompletedOccurrences::insert(std::uint32_t occurrence)
{
    if (contains(occurrence))
        return false;
    const auto position = occurrence - allBelow_;
    if (later_.size() <= position)
        later_.resize(position + 1);
    later_[position] = true;
    ++count_;
    if (position == 0)
        advance();
    return true;
}

void CompletedOccurrences::advance()
{
    std::size_t completed = 0;
    while (completed < later_.size() && later_[completed])
        ++completed;
    later_.erase(later_.begin(), later_.begin() + static_cast<std::ptrdiff_t>(completed));
    allBelow_ += static_cast<std::uint32_t>(completed);
}

bool CompletedOccurrences::contains(std::uint32_t occurrence) const
{
    if (occurrence < allBelow_)
        return true;
    const auto position = occurrence - allBelow_;
    return position < later_.size() && later_[position];
}

std::vector<std::uint32_t> CompletedOccurrences::toVector() const
{
    std::vector<std::uint32_t> completed;
    completed.reserve(count_);
    for (std::uint32_t i = 0; i < allBelow_; ++i)
        completed.push_back(i);
    for (std::size_t i = 0; i < later_.size(); ++i) {
        if (later_[i])
            completed.push_back(allBelow_ + static_cast<std::uint32_t>(i));
    }
    return completed;
}

std::string CompletedOccurrences::bitmap() const
{
    std::string bytes((later_.size() + bitsPerByte - 1) / bitsPerByte, '\0');
    for (std::size_t i = 0; i < later_.size(); ++i) {
        if (later_[i])
            bytes[i / bitsPerByte]
                = static_cast<char>(static_cast<unsigned char>(bytes[i / bitsPerByte]) | (1U << (i % bitsPerByte)));
    }
    return bytes;
}

} // namespace Balsammill::Shards
