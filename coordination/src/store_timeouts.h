#pragma once

#include "sapphirewheel/state/units.h"

namespace sapphirewheel {

// Timeout of calls to the table service. It exceeds the response time of a service that is 80 times
// slower than usual.
inline constexpr Millis kStoreTimeout{1300};
// Delay before a call that timed out is retried.
inline constexpr Millis kStoreRetryDelay{100};

}  // namespace sapphirewheel
