#include "sapphirewheel/coordination/share_meter.h"

#include "CppUTest/TestHarness.h"

using namespace sapphirewheel;  // NOLINT(google-build-using-namespace)

namespace {

// Counts the submissions within the share, of `count` that arrive `gap` ms apart from `start` on.
int Within(ShareMeter& meter, double jobs_per_s, int count, int gap, int start = 0) {
  int within = 0;
  for (int n = 0; n < count; ++n) {
    within += meter.Take(TeamId("t"), jobs_per_s, UnixMillis(start + n * gap)) ? 1 : 0;
  }
  return within;
}

}  // namespace

TEST_GROUP(ShareMeter){};

TEST(ShareMeter, AdmitsWhatArrivesAtTheRateOfTheShare) {
  ShareMeter meter;
  LONGS_EQUAL(100, Within(meter, 10, 100, 100));
}

// 10 s at five times the share: the share itself and the burst.
TEST(ShareMeter, LimitsAFloodToTheShareAndOneBurst) {
  ShareMeter meter;
  const int within = Within(meter, 10, 500, 20);
  CHECK(within >= 10 * 10);
  CHECK(within <= 10 * 10 + 20 + 1);
}

TEST(ShareMeter, KeepsAnUnusedShareForTheBurstTimeOnly) {
  ShareMeter meter;
  LONGS_EQUAL(20, Within(meter, 10, 100, 0));
  LONGS_EQUAL(20, Within(meter, 10, 100, 0, 60'000));
}

TEST(ShareMeter, TeamsDoNotShareALevel) {
  ShareMeter meter;
  CHECK_FALSE(Within(meter, 1, 100, 0) == 100);
  CHECK(meter.Take(TeamId("other"), 1, UnixMillis(0)));
}

// A clock that is set back must not refill a share twice.
TEST(ShareMeter, IgnoresTimesBeforeTheLastOne) {
  ShareMeter meter;
  LONGS_EQUAL(20, Within(meter, 10, 30, 0, 100'000));
  LONGS_EQUAL(0, Within(meter, 10, 30, 0, 50'000));
  LONGS_EQUAL(0, Within(meter, 10, 30, 0, 100'000));
}
