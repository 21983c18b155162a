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

constexpr const char* kVm = "dc1-e1";
constexpr int kWorkerSlots = 8;

FleetOptions OneDaemonOneWorker() {
  FleetOptions options;
  options.data_centres = 1;
  options.entries = 1;
  options.workers = 1;
  return options;
}

// A fleet with the teams small (limit 1) and large (limit 100), and requests in the background.
struct ExplainFleet {
  Fleet fleet{OneDaemonOneWorker()};
  std::vector<std::future<HttpOutcome>> responses;

  void SetUp() {
    CHECK_TRUE(fleet.AwaitReady(60s));
    fleet.Apply(kVm, {{"kind", "pool"},
                      {"pool", "blending"},
                      {"services", json::array{"blend"}},
                      {"size", 1},
                      {"max_out", 1},
                      {"max_out_per_rack", 1}});
    AddTeam("small", 1);
    AddTeam("large", 100);
    const auto works = [this]() {
      return fleet.Call(kVm, Request("large", "", 1, "1000")).response.status == 200;
    };
    CHECK_TRUE(WaitUntil(works, 60s));
  }

  void AddTeam(const std::string& team, int limit) {
    fleet.Apply(kVm, {{"kind", "team"}, {"team", team}, {"share", 1}, {"upper_limit", limit}});
    const json::object intent{{"kind", "key-grant"}, {"key", "k-" + team}, {"team", team}};
    const json::object plan = ParseOrThrow(
        fleet.Call(kVm, {"POST", "/v1/intents", json::serialize(intent), {}}).response.body);
    (void)fleet.Call(kVm,
                     {"POST", "/v1/plans/" + TextOrThrow(plan, "plan") + "/confirm", "{}", {}});
    tokens[team] = TextOrThrow(plan, "token");
  }

  [[nodiscard]] HttpRequest Request(const std::string& team, const std::string& id, int run_ms,
                                    const std::string& deadline_ms = "60000") const {
    HttpRequest request{"POST",
                        "/v1/services/blend/requests",
                        json::serialize(json::object{{"run_ms", run_ms}}),
                        {{"Authorization", "Bearer " + tokens.at(team)},
                         {"Sapphirewheel-Deadline-Ms", deadline_ms}}};
    if (id.empty()) {
      request.headers["Sapphirewheel-Repeatable"] = "true";
    } else {
      request.headers["Idempotency-Key"] = id;
    }
    return request;
  }

  void Send(const std::string& team, const std::string& id, int run_ms) {
    responses.push_back(std::async(std::launch::async, [this, request = Request(team, id, run_ms)] {
      return fleet.Call(kVm, request, 60s);
    }));
  }

  // Waits until the request is in this phase, and returns the reason that is shown.
  std::string ReasonInPhase(const std::string& id, const std::string& phase) const {
    std::string reason;
    const auto explained = [&]() {
      const HttpOutcome outcome = fleet.Call(kVm, {"GET", "/v1/explain/request/" + id, "", {}});
      if (outcome.response.status != 200) return false;
      const json::object view = ParseOrThrow(outcome.response.body);
      const json::object& request = view.at("requests").at(0).as_object();
      reason = TextField(request, "reason");
      return TextField(request, "phase") == phase;
    };
    CHECK_TRUE_TEXT(WaitUntil(explained, 20s), (id + ": " + reason).c_str());
    return reason;
  }

  std::map<std::string, std::string> tokens;
};

}  // namespace

// clang-format off
TEST_GROUP(Explain) {
  // Makes the leak check safe for the threads of std::async.
  void setup() override { MemoryLeakWarningPlugin::turnOnThreadSafeNewDeleteOverloads(); }
};
// clang-format on

// Guards against explanations that do not distinguish a team at its limit, a fleet without free
// slots, a slow platform and a long task.
TEST(Explain, TellsWhyARequestWaits) {
  ExplainFleet fixture;
  fixture.SetUp();
  fixture.Send("small", "first", 8000);
  STRCMP_EQUAL("it runs on worker dc1-w1", fixture.ReasonInPhase("first", "running").c_str());
  fixture.Send("small", "second", 1);
  STRCMP_CONTAINS("its upper limit is 1 slots", fixture.ReasonInPhase("second", "queued").c_str());
  for (int i = 1; i < kWorkerSlots; ++i) {
    const std::string id = "fill-" + std::to_string(i);
    fixture.Send("large", id, 8000);
    (void)fixture.ReasonInPhase(id, "running");
  }
  fixture.Send("large", "late", 1);
  STRCMP_CONTAINS("no worker of service blend", fixture.ReasonInPhase("late", "queued").c_str());
  for (auto& response : fixture.responses) {
    const HttpOutcome outcome = response.get();
    LONGS_EQUAL_TEXT(200, outcome.response.status, outcome.response.body.c_str());
  }
  fixture.responses.clear();

  fixture.fleet.ControlPlatform({{"op", "slow"}, {"ms", 1000}});
  fixture.Send("large", "slow-claim", 1);
  STRCMP_CONTAINS("is being recorded", fixture.ReasonInPhase("slow-claim", "claiming").c_str());
  fixture.fleet.ControlPlatform({{"op", "slow"}, {"ms", 0}});
  LONGS_EQUAL(200, fixture.responses.front().get().response.status);
  const HttpOutcome unknown = fixture.fleet.Call(kVm, {"GET", "/v1/explain/request/none", "", {}});
  LONGS_EQUAL(404, unknown.response.status);
  STRCMP_CONTAINS("not-found", unknown.response.body.c_str());
}
