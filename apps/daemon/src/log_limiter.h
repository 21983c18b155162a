#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "sapphirewheel/state/units.h"
#include "sapphirewheel/transport/events.h"

namespace sapphirewheel {

// Limits the rate of log lines of each event. Not thread-safe.
class LogLimiter {
 public:
  // Lines written per second for each event. The busiest owner of the present sites needs fewer.
  static constexpr int kLinesPerSecond = 250;

  struct Suppressed {
    Event event;
    std::uint64_t lines = 0;
  };

  // Whether a line of the event may be written now.
  [[nodiscard]] bool Allow(Event event, MonotonicTime now);
  // An event with the lines that were suppressed in a second that is over. Each suppressed line is
  // reported once; no value when none is left to report.
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
