#include "log_limiter.h"

#include "CppUTest/TestHarness.h"

using namespace sapphirewheel;  // NOLINT(google-build-using-namespace)

TEST_GROUP(LogLimiter){};

TEST(LogLimiter, ReportsLinesAboveTheLimit) {
  LogLimiter limiter;
  const MonotonicTime now(Millis(5000));
  int written = 0;
  for (int n = 0; n < LogLimiter::kLinesPerSecond + 7; ++n) {
    if (limiter.Allow(Event::kTaskStarted, now)) ++written;
  }
  LONGS_EQUAL(LogLimiter::kLinesPerSecond, written);
  CHECK(limiter.Allow(Event::kTaskEnded, now));
  CHECK_FALSE(limiter.TakeSuppressed(now).has_value());
  const auto suppressed = limiter.TakeSuppressed(now + Millis(1000));
  CHECK(suppressed.has_value());
  LONGS_EQUAL(7, suppressed->lines);
  CHECK(suppressed->event == Event::kTaskStarted);
  CHECK_FALSE(limiter.TakeSuppressed(now + Millis(1000)).has_value());
  CHECK(limiter.Allow(Event::kTaskStarted, now + Millis(1000)));
}
