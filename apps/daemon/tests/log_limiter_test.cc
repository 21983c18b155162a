#include "log_limiter.h"

#include "CppUTest/TestHarness.h"

using namespace sapphirewheel;  // NOLINT(google-build-using-namespace)

TEST_GROUP(LogLimiter){};

TEST(LogLimiter, WritesUpToTheLimitAndTellsTheRest) {
  LogLimiter limiter;
  const MonotonicTime now(Millis(5000));
  int written = 0;
  for (int n = 0; n < LogLimiter::kLinesPerSecond + 7; ++n) {
    if (limiter.Allow(Event::kTaskStarted, now)) ++written;
  }
  LONGS_EQUAL(LogLimiter::kLinesPerSecond, written);
  CHECK(limiter.Allow(Event::kTaskEnded, now));
  CHECK_FALSE(limiter.TakeLeftOut(now).has_value());
  const auto left_out = limiter.TakeLeftOut(now + Millis(1000));
  CHECK(left_out.has_value());
  LONGS_EQUAL(7, left_out->lines);
  CHECK(left_out->event == Event::kTaskStarted);
  CHECK_FALSE(limiter.TakeLeftOut(now + Millis(1000)).has_value());
  CHECK(limiter.Allow(Event::kTaskStarted, now + Millis(1000)));
}
