#include "log_limiter.h"

namespace sapphirewheel {
namespace {

constexpr Millis kWindow{1000};

}  // namespace

bool LogLimiter::Allow(Event event, MonotonicTime now) {
  Window& window = windows_[event];
  if (now - window.start >= kWindow) {
    window.start = now;
    window.lines = 0;
  }
  if (window.lines < kLinesPerSecond) {
    ++window.lines;
    return true;
  }
  ++window.suppressed;
  ++total_;
  return false;
}

std::optional<LogLimiter::Suppressed> LogLimiter::TakeSuppressed(MonotonicTime now) {
  for (auto& [event, window] : windows_) {
    if (window.suppressed == 0 || now - window.start < kWindow) continue;
    const Suppressed suppressed{event, window.suppressed};
    window.suppressed = 0;
    return suppressed;
  }
  return std::nullopt;
}

}  // namespace sapphirewheel
