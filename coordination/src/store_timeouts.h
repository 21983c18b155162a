#pragma once

#include "sapphirewheel/state/units.h"

namespace sapphirewheel {

// Longest wait for an answer of the table service; above its time when it is 80 times slower.
inline constexpr Millis kStoreTimeout{1300};
// Pause after an answer that did not come.
inline constexpr Millis kStoreRetryDelay{100};

}  // namespace sapphirewheel
