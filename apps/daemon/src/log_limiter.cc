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
  ++window.left_out;
  ++total_;
  return false;
}

std::optional<LogLimiter::LeftOut> LogLimiter::TakeLeftOut(MonotonicTime now) {
  for (auto& [event, window] : windows_) {
    if (window.left_out == 0 || now - window.start < kWindow) continue;
    const LeftOut left_out{event, window.left_out};
    window.left_out = 0;
    return left_out;
  }
  return std::nullopt;
}

}  // namespace sapphirewheel
