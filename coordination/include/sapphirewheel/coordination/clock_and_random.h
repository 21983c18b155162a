#pragma once

#include <cstdint>
#include <functional>

#include "sapphirewheel/state/units.h"

namespace sapphirewheel {

// The current time of the node's monotonic clock.
using Clock = std::function<MonotonicTime()>;

// Uniformly distributed 64-bit random numbers. Tests use a seeded source so that runs can be
// replayed.
using RandomSource = std::function<std::uint64_t()>;

}  // namespace sapphirewheel
