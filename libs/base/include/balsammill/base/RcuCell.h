#pragma once

#include <memory>
#include <mutex>

#include <urcu/urcu-bp.h>

namespace Balsammill {

/// Holds a value that the request path reads without locking and that is rarely replaced.
///
/// Readers copy a shared pointer inside a short userspace RCU read-side critical section. A writer swaps the holder and
/// frees the previous one after a grace period. The value itself lives as long as any reader holds a pointer to it.
template <typename T> class RcuCell {
public:
    explicit RcuCell(std::shared_ptr<const T> initial = {})
        : holder_(new Holder { std::move(initial) })
    {
    }

    RcuCell(const RcuCell&) = delete;
    RcuCell& operator=(const RcuCell&) = delete;

    ~RcuCell() { delete holder_; }

    std::shared_ptr<const T> load() const
    {
        urcu_bp_read_lock();
        const Holder* holder = __atomic_load_n(&holder_, __ATOMIC_ACQUIRE);
        std::shared_ptr<const T> value = holder->value;
        urcu_bp_read_unlock();
        return value;
    }

    /// Blocks for an RCU grace period, so it must not be called on the request path.
    void store(std::shared_ptr<const T> value)
    {
        auto* next = new Holder { std::move(value) };
        std::lock_guard lock(writerMutex_);
        Holder* previous = __atomic_exchange_n(&holder_, next, __ATOMIC_ACQ_REL);
        urcu_bp_synchronize_rcu();
        delete previous;
    }

private:
    struct Holder {
        std::shared_ptr<const T> value;
    };

    Holder* holder_;
    std::mutex writerMutex_;
};

} // namespace Balsammill
