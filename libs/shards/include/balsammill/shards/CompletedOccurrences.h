#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace Balsammill::Shards {

/// The completed occurrences of a repeated job. Needs at most one bit for each occurrence, in any order in which they
/// complete.
class CompletedOccurrences {
public:
    CompletedOccurrences() = default;
    /// allBelow and bitmap as returned by the functions of these names.
    CompletedOccurrences(std::uint32_t allBelow, const std::string& bitmap);

    /// Returns false if the occurrence was in the set already.
    bool insert(std::uint32_t occurrence);
    bool contains(std::uint32_t occurrence) const;
    std::size_t count() const { return count_; }
    /// In ascending order.
    std::vector<std::uint32_t> toVector() const;

    /// Lowest occurrence that is not completed.
    std::uint32_t allBelow() const { return allBelow_; }
    /// One bit for each occurrence from allBelow() on, least significant bit first; ends with the last completed one.
    std::string bitmap() const;

    bool operator==(const CompletedOccurrences&) const = default;

private:
    /// Moves the completed occurrences at the start of later_ below allBelow_.
    void advance();

    std::uint32_t allBelow_ { 0 };
    // Bit i stands for occurrence allBelow_ + i. The last bit is set.
    std::vector<bool> later_;
    std::size_t count_ { 0 };
};

} // namespace Balsammill::Shards
