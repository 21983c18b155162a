#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "sapphirewheel/state/units.h"

namespace sapphirewheel {

// Identifies an open request of one server; never reused.
enum class RequestId : std::uint64_t {};

// The memory that the open requests of a server may hold together, and the choice of the request
// that is ended when it is used up. A request counts from its first byte until its reply is
// written. Does not measure anything itself and has no clock. Not thread-safe.
class RequestBudget {
 public:
  using Time = std::chrono::steady_clock::time_point;

  struct Limits {
    std::size_t total_bytes = 0;
    // Requests that hold at most this much may use the whole budget; larger ones together leave
    // `reserved_bytes` of it free, so that large bodies do not keep out ordinary requests.
    std::size_t small_bytes = 0;
    std::size_t reserved_bytes = 0;
    // A request that has received less than `progress_bytes` within this time may be ended in
    // favour of another one.
    Millis patience{500};
    std::size_t progress_bytes = 4096;
  };

  explicit RequestBudget(const Limits& limits) : limits_(limits) {}

  // Registers a request whose first byte has arrived.
  [[nodiscard]] RequestId Open(Time now);
  // Records how much of the request has arrived so far.
  void Received(RequestId id, std::size_t bytes, Time now);
  // Sets what the request holds. Returns false, and changes nothing, when there is no room for it.
  // The only request, and the only large one, always have room, as they keep the limits of a single
  // request.
  [[nodiscard]] bool Hold(RequestId id, std::size_t bytes);
  // The request has arrived completely and is no longer ended in favour of others.
  void Complete(RequestId id);
  // The request has ended; an unknown id is ignored.
  void Close(RequestId id);

  // The request to end so that `grower` can hold `bytes`: of the incomplete requests without
  // progress within the patience, the one whose last progress was the longest ago. For a large
  // request only large ones count, as others may not hold what it needs.
  [[nodiscard]] std::optional<RequestId> FindStalled(RequestId grower, std::size_t bytes,
                                                     Time now) const;

  [[nodiscard]] std::size_t held() const noexcept { return held_; }

 private:
  struct Request {
    std::size_t held = 0;
    bool complete = false;
    // When and at how many bytes progress was last noted.
    Time progress_at;
    std::size_t progress_bytes = 0;
  };
  [[nodiscard]] bool IsLarge(std::size_t bytes) const noexcept {
    return bytes > limits_.small_bytes;
  }
  // Adds to or removes from the totals what a request holds.
  void Add(std::size_t bytes);
  void Remove(std::size_t bytes);

  const Limits limits_;
  std::map<RequestId, Request> requests_;
  std::uint64_t last_id_ = 0;
  std::size_t held_ = 0;
  // The part of held_ of large requests, and their number.
  std::size_t large_held_ = 0;
  std::size_t large_ = 0;
};

}  // namespace sapphirewheel
