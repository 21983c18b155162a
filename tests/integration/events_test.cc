#include <algorithm>
#include <boost/json.hpp>
#include <chrono>
#include <future>
#include <string>
#include <vector>

#include "sapphirewheel/state/json.h"
#include "tests/integration/fleet.h"
#include "tests/standins/support.h"

#include "CppUTest/TestHarness.h"

namespace json = boost::json;
using sapphirewheel::TextField;
using namespace std::chrono_literals;    // NOLINT(google-build-using-namespace)
using namespace sapphirewheel::testing;  // NOLINT(google-build-using-namespace)

namespace {

constexpr std::chrono::seconds kLimit{60};

FleetOptions Daemons(int entries) {
  FleetOptions options;
  options.data_centres = 1;
  options.entries = entries;
  options.workers = 2;
  options.daemon_flags = {"--suspect-after-ms", "1000", "--dead-after-ms", "3000",
                          "--pause-limit-ms",   "2000"};
  return options;
}

// Waits until the daemon has logged the event with `text` in its line.
bool AwaitEvent(const Fleet& fleet, const std::string& vm, const std::string& name,
                const std::string& text = "") {
  return WaitUntil(
      [&]() {
        const std::string log = fleet.Daemon(vm).Output("err");
        const auto start = log.find("name=" + name + " ");
        return start != std::string::npos &&
               log.substr(start, log.find('\n', start) - start).find(text) != std::string::npos;
      },
      kLimit);
}

HttpOutcome SendOpenRequest(const Fleet& fleet, const std::string& vm) {
  return fleet.Call(
      vm, {"POST",
           "/v1/services/blend/requests",
           R"({"run_ms":100})",
           {{"Sapphirewheel-Repeatable", "true"}, {"Sapphirewheel-Deadline-Ms", "1000"}}});
}

// Sends more requests at the same time than one worker has slots, and returns their statuses.
std::vector<int> SendManyRequests(const Fleet& fleet) {
  constexpr int kRequests = 12;
  std::vector<std::future<HttpOutcome>> responses;
  for (int i = 0; i < kRequests; ++i) {
    responses.push_back(
        std::async(std::launch::async, [&fleet] { return SendOpenRequest(fleet, "dc1-e1"); }));
  }
  std::vector<int> statuses;
  for (auto& response : responses) statuses.push_back(response.get().response.status);
  return statuses;
}

// Sets up the service blend on both workers, for callers without a key.
void SetUpOpenService(Fleet& fleet) {
  CHECK_TRUE(fleet.AwaitReady(kLimit));
  fleet.Apply("dc1-e1", {{"kind", "pool"},
                         {"pool", "blending"},
                         {"services", json::array{"blend"}},
                         {"open_services", json::array{"blend"}},
                         {"size", 2},
                         {"max_out", 1},
                         {"max_out_per_rack", 1}});
  fleet.Apply("dc1-e1", {{"kind", "team"}, {"team", "open"}, {"share", 1}, {"upper_limit", 16}});
}

bool HasStarted(const Fleet& fleet, const std::string& vm) {
  const auto events = fleet.WorkerEvents();
  return std::any_of(events.begin(), events.end(), [&vm](const json::object& it) {
    return TextField(it, "event") == "start" && TextField(it, "vm") == vm;
  });
}

}  // namespace

// clang-format off
TEST_GROUP(Events) {
  // Makes the leak check safe for the threads of std::async.
  void setup() override { MemoryLeakWarningPlugin::turnOnThreadSafeNewDeleteOverloads(); }
};
// clang-format on

// Guards against a platform outage or the loss of a daemon that is not logged.
TEST(Events, OutagesAndLostDaemonsAreLogged) {
  Fleet fleet(Daemons(2));
  CHECK_TRUE(fleet.AwaitReady(kLimit));
  CHECK_TRUE(AwaitEvent(fleet, "dc1-e1", "peer-seen", "peer=dc1-e2#"));
  fleet.ControlPlatform({{"op", "outage"}, {"mode", "503"}});
  for (const char* vm : {"dc1-e1", "dc1-e2"}) {
    CHECK_TRUE(AwaitEvent(fleet, vm, "platform-unavailable"));
  }
  fleet.ControlPlatform({{"op", "outage"}, {"mode", ""}});
  for (const char* vm : {"dc1-e1", "dc1-e2"}) {
    CHECK_TRUE(AwaitEvent(fleet, vm, "platform-available"));
  }

  fleet.Freeze("dc1-e2");
  CHECK_TRUE(AwaitEvent(fleet, "dc1-e1", "peer-lost", "peer=dc1-e2#"));
  CHECK_TRUE(AwaitEvent(fleet, "dc1-e1", "node-fenced", "peer=dc1-e2#"));
  fleet.Thaw("dc1-e2");
  CHECK_TRUE(AwaitEvent(fleet, "dc1-e2", "incarnation-changed", "reason="));
}

// Guards against a worker that is quarantined without a log entry.
TEST(Events, QuarantinedWorkersAreLogged) {
  // A node only compares workers that it owns, so a single node owns both.
  Fleet fleet(Daemons(1));
  SetUpOpenService(fleet);
  const auto works = [&fleet]() { return SendOpenRequest(fleet, "dc1-e1").response.status == 200; };
  CHECK_TRUE(WaitUntil(works, kLimit));
  fleet.ControlWorker("dc1-w1", {{"op", "fail_all"}});
  // Only requests that succeed on another worker show that this worker is at fault.
  const auto quarantined = [&fleet]() {
    (void)SendManyRequests(fleet);
    const std::string log = fleet.Daemon("dc1-e1").Output("err");
    return log.find("name=worker-quarantined") != std::string::npos;
  };
  CHECK_TRUE(WaitUntil(quarantined, kLimit));
}

// Guards against a failing worker that receives every request and its retries while another worker
// is idle.
TEST(Events, AFailingWorkerFailsNoRequestWhileAnotherIsIdle) {
  Fleet fleet(Daemons(1));
  SetUpOpenService(fleet);
  const auto both_work = [&fleet]() {
    (void)SendManyRequests(fleet);
    return HasStarted(fleet, "dc1-w1") && HasStarted(fleet, "dc1-w2");
  };
  CHECK_TRUE(WaitUntil(both_work, kLimit));
  fleet.ControlWorker("dc1-w1", {{"op", "fail_all"}});
  for (int i = 0; i < 20; ++i) LONGS_EQUAL(200, SendOpenRequest(fleet, "dc1-e1").response.status);
}
