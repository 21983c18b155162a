#include <boost/json.hpp>
#include <chrono>
#include <iostream>
#include <map>
#include <string>

#include "sapphirewheel/state/json.h"
#include "tests/integration/fleet_setup.h"
#include "tests/standins/support.h"

// MemoryLeakWarningPlugin.h needs types of TestHarness.h, so the order is fixed.
// clang-format off
#include "CppUTest/TestHarness.h"
#include "CppUTest/MemoryLeakWarningPlugin.h"
// clang-format on

namespace json = boost::json;
using namespace std::chrono_literals;    // NOLINT(google-build-using-namespace)
using namespace sapphirewheel::testing;  // NOLINT(google-build-using-namespace)

namespace {

// Time limit from the confirmation of a change until it is in force everywhere.
constexpr double kInForceSeconds = 6;

// Reads the configuration version that daemons show to operators, and counts decreases of it.
class ConfigObserver {
 public:
  explicit ConfigObserver(const Fleet& fleet) : fleet_(fleet) {}

  // The version at a daemon, or -1 while it does not respond or is not ready.
  std::int64_t Read(const std::string& vm) {
    const HttpOutcome outcome = fleet_.Call(vm, {"GET", "/v1/fleet", "", {}}, 1s);
    if (!outcome.ok() || outcome.response.status != 200) return -1;
    const json::object view = ParseOrThrow(outcome.response.body);
    if (!sapphirewheel::BoolField(view, "ready")) return -1;
    const std::int64_t version = sapphirewheel::IntField(view, "config_version");
    std::int64_t& highest = highest_[vm];
    if (version < highest) ++reversions_;
    highest = std::max(highest, version);
    return version;
  }

  // Waits until every listed daemon shows at least the version, and returns the seconds since
  // `from_us`.
  double AwaitEverywhere(const std::vector<std::string>& vms, std::int64_t version,
                         std::int64_t from_us) {
    CHECK_TRUE(WaitUntil(
        [&]() {
          bool everywhere = true;
          for (const auto& vm : vms) everywhere = Read(vm) >= version && everywhere;
          return everywhere;
        },
        20s));
    return static_cast<double>(MonotonicMicros() - from_us) / 1e6;
  }

  [[nodiscard]] int reversions() const { return reversions_; }

 private:
  const Fleet& fleet_;
  std::map<std::string, std::int64_t> highest_;
  int reversions_ = 0;
};

std::int64_t ChangeTeam(Fleet& fleet, const std::string& vm, int n) {
  return ApplyOrThrow(fleet, vm, TeamIntent("team-" + std::to_string(n), n));
}

bool ReadyAt(const Fleet& fleet, const std::string& vm) {
  const HttpOutcome outcome = fleet.Call(vm, {"GET", "/readyz", "", {}}, 1s);
  return outcome.ok() && outcome.response.status == 200;
}

void Report(const char* test, double seconds) {
  std::cout << "\n" << test << ": in force everywhere after " << seconds << " s" << std::endl;
}

}  // namespace

// clang-format off
TEST_GROUP(Config) {
  void setup() override { MemoryLeakWarningPlugin::turnOnThreadSafeNewDeleteOverloads(); }
};
// clang-format on

// Guards against changes that reach each daemon only by its next read from a slow platform.
TEST(Config, ChangesAreInForceInTimeWithASlowStore) {
  Fleet fleet(SmallFleet(2, 1));
  CHECK_TRUE(fleet.AwaitReady(30s));
  fleet.ControlPlatform({{"op", "slow"}, {"before_ms", 300}, {"after_ms", 300}});
  ConfigObserver observer(fleet);
  double slowest = 0;
  for (int i = 1; i <= 3; ++i) {
    const std::int64_t version = ChangeTeam(fleet, i % 2 == 0 ? "dc1-e1" : "dc2-e2", i);
    LONGS_EQUAL(i, version);
    const double seconds = observer.AwaitEverywhere(fleet.entries(), version, MonotonicMicros());
    slowest = std::max(slowest, seconds);
  }
  Report("slow store", slowest);
  CHECK_TRUE(slowest < kInForceSeconds);
  LONGS_EQUAL(0, observer.reversions());
}

// Guards against a daemon that serves before it has loaded the newest version.
TEST(Config, RestartedDaemonServesTheNewestVersion) {
  Fleet fleet(SmallFleet(2, 1));
  CHECK_TRUE(fleet.AwaitReady(30s));
  ConfigObserver observer(fleet);
  for (int i = 1; i <= 3; ++i) (void)ChangeTeam(fleet, "dc1-e1", i);
  (void)observer.AwaitEverywhere(fleet.entries(), 3, MonotonicMicros());
  for (int i = 0; i < 2; ++i) {
    fleet.Kill("dc2-e1");
    fleet.Start("dc2-e1");
    CHECK_TRUE(WaitUntil([&]() { return observer.Read("dc2-e1") >= 0; }, 20s));
  }
  const double seconds =
      observer.AwaitEverywhere(fleet.entries(), ChangeTeam(fleet, "dc2-e1", 4), MonotonicMicros());
  Report("restart", seconds);
  CHECK_TRUE(seconds < kInForceSeconds);
  LONGS_EQUAL(0, observer.reversions());
}

// Guards against a daemon that starts during a platform outage and serves an empty or old version.
TEST(Config, DaemonThatStartsInAPlatformOutageNeverShowsAnOlderVersion) {
  Fleet fleet(SmallFleet(2, 1));
  CHECK_TRUE(fleet.AwaitReady(30s));
  ConfigObserver observer(fleet);
  for (int i = 1; i <= 3; ++i) (void)ChangeTeam(fleet, "dc1-e1", i);
  (void)observer.AwaitEverywhere(fleet.entries(), 3, MonotonicMicros());
  fleet.ControlPlatform({{"op", "outage"}, {"mode", "503"}});
  fleet.Kill("dc2-e1");
  fleet.Start("dc2-e1");
  const std::int64_t started = MonotonicMicros();
  CHECK_TRUE(WaitUntil(
      [&]() {
        (void)observer.Read("dc2-e1");
        return MonotonicMicros() - started > 4000000;
      },
      20s));
  std::cout << "\nstarted in an outage: "
            << (ReadyAt(fleet, "dc2-e1") ? "serves" : "does not serve") << " after 4 s"
            << std::endl;
  fleet.ControlPlatform({{"op", "outage"}, {"mode", ""}});
  const std::int64_t ended = MonotonicMicros();
  Report("after the outage", observer.AwaitEverywhere(fleet.entries(), 3, ended));
  LONGS_EQUAL(0, observer.reversions());
}

// Guards against a data centre that brings back its old version after a partition, or keeps it.
TEST(Config, ReconnectedDataCentreCatchesUp) {
  Fleet fleet(SmallFleet(2, 1));
  CHECK_TRUE(fleet.AwaitReady(30s));
  ConfigObserver observer(fleet);
  (void)observer.AwaitEverywhere(fleet.entries(), ChangeTeam(fleet, "dc2-e1", 1),
                                 MonotonicMicros());
  PartitionDataCentre(fleet, 2);
  std::int64_t version = 0;
  for (int i = 2; i <= 4; ++i) version = ChangeTeam(fleet, "dc1-e1", i);
  (void)observer.AwaitEverywhere({"dc1-e1", "dc1-e2"}, version, MonotonicMicros());
  // Longer than the time after which the data centres consider each other dead.
  const std::int64_t cut = MonotonicMicros();
  CHECK_TRUE(WaitUntil(
      [&]() {
        LONGS_EQUAL(1, observer.Read("dc2-e1"));
        return MonotonicMicros() - cut > 4000000;
      },
      20s));
  HealPartition(fleet);
  const double seconds = observer.AwaitEverywhere(fleet.entries(), version, MonotonicMicros());
  Report("joined again", seconds);
  CHECK_TRUE(seconds < kInForceSeconds);
  LONGS_EQUAL(0, observer.reversions());
}
