#pragma once

#include <chrono>
#include <cstdint>

#include "sapphirewheel/state/strong_type.h"

namespace sapphirewheel {

using Millis = std::chrono::milliseconds;

// A monotonic clock with millisecond ticks. Its origin is arbitrary and differs between nodes.
struct MonotonicClock {
  using rep = std::int64_t;
  using period = std::milli;
  using duration = Millis;
  using time_point = std::chrono::time_point<MonotonicClock, Millis>;
  static constexpr bool is_steady = true;
};
using MonotonicTime = MonotonicClock::time_point;

// Capacity of workers for concurrent tasks; upper limits and tokens are also counted in slots.
using Slots = StrongNumber<struct SlotsTag, std::int64_t>;
// Weight of a team when the fleet is full; greater than zero.
using Share = StrongNumber<struct ShareTag, std::int64_t>;
// Position in the configuration log; 0 is the empty configuration.
using ConfigVersion = StrongNumber<struct ConfigVersionTag, std::uint64_t>;
// Fencing number that increases with each new owner.
using Epoch = StrongNumber<struct EpochTag, std::uint64_t>;
// Revision of a table row; 0 means that the row is absent.
using Revision = StrongNumber<struct RevisionTag, std::uint64_t>;

}  // namespace sapphirewheel
