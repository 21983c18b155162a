#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "sapphirewheel/state/units.h"
#include "sapphirewheel/transport/events.h"

namespace sapphirewheel {

// Bounds the log lines of each event. Not thread-safe.
class LogLimiter {
 public:
  // Lines a second and event that are written; more than the busiest owner of today's sites needs.
  static constexpr int kLinesPerSecond = 250;

  struct Suppressed {
    Event event;
    std::uint64_t lines = 0;
  };

  // Whether a line of the event may be written now.
  [[nodiscard]] bool Allow(Event event, MonotonicTime now);
  // Lines that were left out in a second that is over; each is told once.
  [[nodiscard]] std::optional<Suppressed> TakeSuppressed(MonotonicTime now);
  [[nodiscard]] std::uint64_t total() const noexcept { return total_; }

 private:
  struct Window {
    MonotonicTime start;
    int lines = 0;
    std::uint64_t suppressed = 0;
  };
  std::map<Event, Window> windows_;
  std::uint64_t total_ = 0;
};

}  // namespace sapphirewheel
