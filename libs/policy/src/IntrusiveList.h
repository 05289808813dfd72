#pragma once

#include <cstddef>

namespace Balsammill::Detail {

template <typename T> struct ListLink {
    T* previous { nullptr };
    T* next { nullptr };
};

/// Doubly linked list whose links are a member of the elements. Every operation takes constant time and allocates no
/// memory.
template <typename T, ListLink<T> T::*Link> class IntrusiveList {
public:
    bool empty() const { return first_ == nullptr; }
    std::size_t size() const { return size_; }
    T* front() const { return first_; }

    void pushBack(T& element)
    {
        (element.*Link) = { last_, nullptr };
        (last_ ? (last_->*Link).next : first_) = &element;
        last_ = &element;
        ++size_;
    }

    void pushFront(T& element)
    {
        (element.*Link) = { nullptr, first_ };
        (first_ ? (first_->*Link).previous : last_) = &element;
        first_ = &element;
        ++size_;
    }

    void remove(T& element)
    {
        auto& link = element.*Link;
        (link.previous ? (link.previous->*Link).next : first_) = link.next;
        (link.next ? (link.next->*Link).previous : last_) = link.previous;
        link = {};
        --size_;
    }

    static T* next(const T& element) { return (element.*Link).next; }

private:
    T* first_ { nullptr };
    T* last_ { nullptr };
    std::size_t size_ { 0 };
};

} // namespace Balsammill::Detail
