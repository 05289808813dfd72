#pragma once

#include <unistd.h>
#include <utility>

namespace Balsammill::Standin {

/// Owns a file descriptor and closes it on destruction.
class FileDescriptor {
public:
    FileDescriptor() = default;
    explicit FileDescriptor(int descriptor)
        : descriptor_(descriptor)
    {
    }
    FileDescriptor(FileDescriptor&& other) noexcept
        : descriptor_(std::exchange(other.descriptor_, -1))
    {
    }
    FileDescriptor& operator=(FileDescriptor&& other) noexcept
    {
        std::swap(descriptor_, other.descriptor_);
        return *this;
    }
    ~FileDescriptor() { reset(); }

    int get() const { return descriptor_; }
    bool isOpen() const { return descriptor_ >= 0; }
    void reset()
    {
        if (descriptor_ >= 0)
            ::close(std::exchange(descriptor_, -1));
    }

private:
    int descriptor_ { -1 };
};

} // namespace Balsammill::Standin
