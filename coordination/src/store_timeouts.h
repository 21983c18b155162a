#pragma once

#include "sapphirewheel/coordination/fleet_ports.h"
#include "sapphirewheel/state/units.h"

namespace sapphirewheel {

// Timeout of calls to the table service. It exceeds the response time of a service that is 80 times
// slower than usual.
inline constexpr Millis kStoreTimeout{1300};
// Time limit of a reply that makes progress, so that a peer that sends a byte now and then does not
// keep a call open for ever.
inline constexpr Millis kMaxReplyTime{60'000};
// Delay before a call that timed out is retried.
inline constexpr Millis kStoreRetryDelay{100};

// The limits of a small reply, or of one that is of no use later.
[[nodiscard]] constexpr ReplyLimits Within(Millis total) { return {total, total, total}; }
// The limits of a reply whose size is not bounded: on a slow link it may take long, but a
// connection that has gone silent is noticed soon.
[[nodiscard]] constexpr ReplyLimits WhileInProgress(Millis begin) {
  return {begin, kStoreTimeout, kMaxReplyTime};
}

}  // namespace sapphirewheel
