#pragma once

namespace Review {

/// A free port below the range of ports that the system gives out by itself.
int nextPort();

} // namespace Review
