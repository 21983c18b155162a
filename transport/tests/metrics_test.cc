#include "sapphirewheel/transport/metrics.h"

#include <string>
#include <thread>
#include <vector>

#include "transport/tests/test_support.h"

#include "CppUTest/TestHarness.h"

using sapphirewheel::MetricsRegistry;

// clang-format off
TEST_GROUP(Metrics) {
  void setup() override { sapphirewheel::EnableThreadSafeLeakCheck(); }
};
// clang-format on

// Guards against output that Prometheus cannot parse.
TEST(Metrics, RendersThePrometheusTextFormat) {
  MetricsRegistry registry;
  registry.GetCounter("requests_total", "Requests.", {{"team", "a\"b"}}).Add(3);
  registry.GetCounter("requests_total", "Requests.", {{"team", "c"}}).Add();
  registry.GetGauge("free_slots", "Free slots.").Set(2.5);
  auto& histogram = registry.GetHistogram("wait_seconds", "Wait.", {0.1, 1}, {{"x", "y"}});
  for (const double value : {0.05, 0.5, 0.5, 7.0}) histogram.Observe(value);
  STRCMP_EQUAL(
      "# HELP free_slots Free slots.\n# TYPE free_slots gauge\nfree_slots 2.5\n"
      "# HELP requests_total Requests.\n# TYPE requests_total counter\n"
      "requests_total{team=\"a\\\"b\"} 3\nrequests_total{team=\"c\"} 1\n"
      "# HELP wait_seconds Wait.\n# TYPE wait_seconds histogram\n"
      "wait_seconds_bucket{x=\"y\",le=\"0.1\"} 1\nwait_seconds_bucket{x=\"y\",le=\"1\"} 3\n"
      "wait_seconds_bucket{x=\"y\",le=\"+Inf\"} 4\nwait_seconds_sum{x=\"y\"} 8.05\n"
      "wait_seconds_count{x=\"y\"} 4\n",
      registry.Render().c_str());
}

// Guards against a crash when two components use one name for metrics of different types.
TEST(Metrics, SeparatesTypesOfOneName) {
  MetricsRegistry registry;
  registry.GetCounter("n", "N.").Add(2);
  registry.GetGauge("n", "N.").Set(9);
  STRCMP_EQUAL("# HELP n N.\n# TYPE n counter\nn 2\n", registry.Render().c_str());
}

// Guards against lost counts when several threads use one metric.
TEST(Metrics, CountsFromSeveralThreads) {
  MetricsRegistry registry;
  constexpr int kThreads = 4;
  constexpr int kEach = 10000;
  std::vector<std::thread> threads;
  for (int i = 0; i < kThreads; ++i) {
    threads.emplace_back([&] {
      for (int n = 0; n < kEach; ++n) {
        registry.GetCounter("n", "N.").Add();
        registry.GetHistogram("h", "H.").Observe(0.5);
      }
    });
  }
  for (auto& thread : threads) thread.join();
  CHECK_EQUAL(static_cast<std::uint64_t>(kThreads * kEach), registry.GetCounter("n", "N.").value());
  CHECK_EQUAL(static_cast<std::uint64_t>(kThreads * kEach),
              registry.GetHistogram("h", "H.").Cumulative().back());
}
