#include <optional>

#include "fleet_sim.h"

#include "CppUTest/TestHarness.h"

using namespace sapphirewheel;  // NOLINT(google-build-using-namespace)
using sapphirewheel::testing::FleetSim;

namespace {

constexpr std::int64_t kLinkBytesPerMs = 1250;  // 10 Mbit/s
constexpr std::int64_t kChangedAt = 3000;
constexpr std::size_t kConfigBytes = 2'800'000;
// Duration of the configuration on the link, in base64.
constexpr std::int64_t kTransferMs = 3000;

FleetSim::Settings SlowLinks() {
  FleetSim::Settings settings;
  settings.link_bytes_per_ms = kLinkBytesPerMs;
  return settings;
}

bool AllReady(const FleetSim& sim) {
  const MonotonicTime now{Millis(sim.now())};
  return std::all_of(sim.nodes.begin(), sim.nodes.end(),
                     [now](const FleetSim::Node& it) { return it.entry->Ready(now); });
}

std::optional<CallerReply> SubmitTo(FleetSim& sim, int node) {
  StoredJob job;
  job.queue = QueueId("queue0");
  job.spec.steps.resize(1);
  job.spec.steps[0].count = 1;
  const CallerCall call{CallKind::kSubmit,    "host",      "/q0/00000000000000aa", "",
                        EncodeStoredJob(job), Millis(3000)};
  std::optional<CallerReply> reply;
  sim.nodes[node].entry->Handle(call, [&](const CallerReply& it) { reply = it; });
  return reply;
}

}  // namespace

TEST_GROUP(LargeConfig){};

// Guards against a configuration that takes longer to arrive than a reply takes to begin: it was
// given up and requested again for ever, and the node never became ready again.
TEST(LargeConfig, IsReadOverASlowLink) {
  FleetSim sim(SlowLinks());
  sim.RunUntil(kChangedAt);
  CHECK(AllReady(sim));
  sim.GrowConfig(kConfigBytes);
  sim.RunUntil(kChangedAt + kTransferMs + 1500);
  CHECK(AllReady(sim));
}

// Guards against a node that cannot start with such a configuration: the first read of the
// operator's table had a time limit of its own.
TEST(LargeConfig, IsReadByANodeThatStarts) {
  FleetSim sim(SlowLinks());
  sim.GrowConfig(kConfigBytes);
  sim.RunUntil(kChangedAt);
  sim.KillNode(1);
  sim.StartNode(1);
  sim.RunUntil(kChangedAt + 2 * kTransferMs);
  CHECK(AllReady(sim));
}

// Guards against a node that stays unready for a poll's wait after the configuration has arrived:
// that reply confirms only the state at the time of its request.
TEST(LargeConfig, IsConfirmedAtOnceAfterItHasArrived) {
  FleetSim sim(SlowLinks());
  sim.RunUntil(kChangedAt);
  sim.GrowConfig(kConfigBytes);
  sim.RunUntil(kChangedAt + kTransferMs - 100);
  CHECK_FALSE(AllReady(sim));
  constexpr std::int64_t kConfirmMs = 200;
  sim.RunUntil(kChangedAt + kTransferMs + kConfirmMs);
  CHECK(AllReady(sim));
}

// Guards against calls that are accepted by an outdated configuration, and against calls that are
// refused too early: until the new one has arrived, the age of the old one decides.
TEST(LargeConfig, CallsAreAcceptedOnlyWithinTheBoundWhileItArrives) {
  FleetSim sim(SlowLinks());
  sim.RunUntil(kChangedAt);
  sim.GrowConfig(kConfigBytes);
  const AdmissionController::Settings bounds;
  // The feed was asked at most one wait before the change.
  constexpr std::int64_t kPollWait = 800;
  sim.RunUntil(kChangedAt + bounds.refusal_freshness.count() - kPollWait);
  CHECK_FALSE(SubmitTo(sim, 0).has_value());
  CHECK(AllReady(sim));
  sim.RunUntil(kChangedAt + bounds.refusal_freshness.count() + 100);
  CHECK(sim.now() < kChangedAt + bounds.key_freshness.count() - kPollWait);
  const auto refused = SubmitTo(sim, 0);
  CHECK(refused.has_value());
  STRCMP_EQUAL("not-fresh", ErrorCode(refused->error.kind));
  CHECK(refused->error.run == RunState::kNotRun);
  CHECK(refused->error.retry_after.has_value());
  sim.RunUntil(kChangedAt + kTransferMs + 1500);
  CHECK_FALSE(SubmitTo(sim, 0).has_value());
}

// Guards against a node that never catches up while versions follow one another: it must know each
// one that has arrived, and the last one soon after the changes end.
TEST(LargeConfig, IsKnownSoonAfterTheLastOfManyChanges) {
  FleetSim sim(SlowLinks());
  sim.RunUntil(kChangedAt);
  constexpr int kChanges = 8;
  constexpr std::int64_t kChangeEveryMs = 1500;
  for (int n = 0; n < kChanges; ++n) {
    sim.At(kChangedAt + n * kChangeEveryMs, [&sim] { sim.GrowConfig(kConfigBytes); });
  }
  sim.RunUntil(kChangedAt + (kChanges - 1) * kChangeEveryMs + 2 * kTransferMs + 500);
  CHECK(AllReady(sim));
}
