#include <boost/json.hpp>
#include <chrono>
#include <string>
#include <utility>

#include "sapphirewheel/state/json.h"
#include "tests/integration/fleet.h"
#include "tests/standins/support.h"

#include "CppUTest/TestHarness.h"

namespace json = boost::json;
using sapphirewheel::DoubleField;
using sapphirewheel::IntField;
using sapphirewheel::TextField;
using namespace std::chrono_literals;    // NOLINT(google-build-using-namespace)
using namespace sapphirewheel::testing;  // NOLINT(google-build-using-namespace)

namespace {

FleetOptions NoDaemons() {
  FleetOptions options;
  options.entries = 1;
  options.workers = 2;
  options.start_daemons = false;
  options.platform_flags = {"--list-lag-ms", "300", "--reboot-ms", "100"};
  return options;
}

// Acts as the daemon of dc1-e1 towards the stand-ins.
struct Caller {
  const Fleet& fleet;

  [[nodiscard]] HttpOutcome Post(const std::string& address, const std::string& target,
                                 const json::object& body, HttpHeaders headers = {},
                                 std::chrono::milliseconds timeout = 10s) const {
    return HttpCall({address, fleet.ProxyOf("dc1-e1")},
                    {"POST", target, json::serialize(body), std::move(headers)}, timeout);
  }
  [[nodiscard]] HttpOutcome Transact(const std::string& attempt, std::int64_t revision) const {
    const json::object row{{"table", "t"}, {"key", "k"}, {"revision", revision}, {"value", "v"}};
    return Post(fleet.platform(), "/v1/transact",
                {{"attempt", attempt}, {"checks", json::array{row}}, {"writes", json::array{row}}});
  }
  [[nodiscard]] json::object Own(const std::string& vm) const {
    return ParseOrThrow(Post(fleet.Address(vm), "/v1/ownership", {{"node", "n1"}}).response.body);
  }
  [[nodiscard]] HttpOutcome Run(const std::string& vm, const std::string& task,
                                const json::object& body, HttpHeaders headers = {}) const {
    headers["Sapphirewheel-Task"] = task;
    headers["Sapphirewheel-Node"] = "n1";
    headers["Sapphirewheel-Epoch"] = std::to_string(IntField(Own(vm), "epoch"));
    return Post(fleet.Address(vm), "/v1/tasks", body, std::move(headers));
  }
};

bool IsEvent(const json::object& event, const char* kind, const char* task) {
  return TextField(event, "event") == kind && TextField(event, "task") == task;
}

}  // namespace

// clang-format off
TEST_GROUP(Standins) {};
// clang-format on

// Guards against a platform stand-in that applies a transaction twice, or does not report one whose
// response was lost.
TEST(Standins, LostResponseToATransactionIsResolvedByItsAttempt) {
  const Fleet fleet(NoDaemons());
  const Caller caller{fleet};
  fleet.ControlPlatform({{"op", "lose_answers"}, {"next", 1}});
  CHECK_FALSE(caller.Transact("a1", 0).ok());
  const HttpOutcome retry = caller.Transact("a1", 0);
  LONGS_EQUAL(409, retry.response.status);
  const json::value current = json::parse(retry.response.body).at("current").at(0);
  STRCMP_EQUAL("a1", current.at("attempt").as_string().c_str());
  LONGS_EQUAL(1, fleet.Transactions().size());
}

// Guards against a rate limit or an outage that does not prevent writes.
TEST(Standins, RefusedTransactionsHaveNoEffect) {
  const Fleet fleet(NoDaemons());
  const Caller caller{fleet};
  fleet.ControlPlatform({{"op", "limits"}, {"row_writes", 0.5}});
  LONGS_EQUAL(429, caller.Transact("a1", 0).response.status);
  fleet.ControlPlatform({{"op", "limits"}});
  fleet.ControlPlatform({{"op", "outage"}, {"mode", "503"}});
  LONGS_EQUAL(503, caller.Transact("a2", 0).response.status);
  fleet.ControlPlatform({{"op", "outage"}, {"mode", ""}});
  LONGS_EQUAL(0, fleet.Transactions().size());
  LONGS_EQUAL(200, caller.Transact("a3", 0).response.status);
}

// Guards against a job that loses its progress, and a worker that keeps its tasks across a reboot.
TEST(Standins, JobResumesFromItsCheckpointAfterAReboot) {
  const Fleet fleet(NoDaemons());
  const Caller caller{fleet};
  const HttpHeaders job{
      {"Sapphirewheel-Kind", "job"}, {"Sapphirewheel-Job", "j"}, {"Sapphirewheel-Job-Epoch", "1"}};
  LONGS_EQUAL(202, caller.Run("dc1-w1", "t1", {{"run_ms", 60000}}, job).response.status);
  CHECK_TRUE(WaitUntil(
      [&]() { return caller.Own("dc1-w1").at("tasks").at(0).at("progress").as_double() > 0.001; },
      20s));
  const auto saved = caller.Post(fleet.Address("dc1-w1"), "/v1/tasks/t1/checkpoint", {});
  const std::string name = TextOrThrow(ParseOrThrow(saved.response.body), "checkpoint");
  const std::string boot = TextOrThrow(caller.Own("dc1-w1"), "boot");
  LONGS_EQUAL(202, caller.Post(fleet.platform(), "/v1/vms/dc1-w1/reboot", {}).response.status);
  CHECK_TRUE(WaitUntil(
      [&]() {
        const auto health = HttpCall({fleet.Address("dc1-w1"), ""}, {.target = "/v1/health"}, 1s);
        return health.ok() && TextOrThrow(ParseOrThrow(health.response.body), "boot") != boot;
      },
      20s));
  HttpHeaders resumed = job;
  resumed["Sapphirewheel-Job-Epoch"] = "2";
  resumed["Sapphirewheel-Checkpoint"] = name;
  LONGS_EQUAL(202, caller.Run("dc1-w1", "t2", {{"run_ms", 60000}}, resumed).response.status);
  CHECK_TRUE(WaitUntil(
      [&]() {
        for (const auto& event : fleet.WorkerEvents()) {
          if (IsEvent(event, "resume", "t2")) return DoubleField(event, "progress") > 0.001;
        }
        return false;
      },
      20s));
}

// Guards against a frozen worker that responds, and a thawed worker that lost the requests from the
// freeze.
TEST(Standins, FrozenWorkerRespondsAfterTheThaw) {
  const Fleet fleet(NoDaemons());
  const Caller caller{fleet};
  LONGS_EQUAL(1, IntField(caller.Own("dc1-w1"), "epoch"));
  fleet.ControlWorker("dc1-w1", {{"op", "freeze"}});
  const HttpOutcome frozen =
      caller.Post(fleet.Address("dc1-w1"), "/v1/fence", {{"node", "n1"}}, {}, 200ms);
  CHECK_FALSE(frozen.ok());
  fleet.ControlWorker("dc1-w1", {{"op", "thaw"}});
  CHECK_TRUE(WaitUntil([&]() { return TextField(caller.Own("dc1-w1"), "code") == "fenced"; }, 20s));
}

// Guards against a cut that lets bytes through or loses them.
TEST(Standins, CutHoldsBytesOfOpenConnectionsUntilItEnds) {
  const Fleet fleet(NoDaemons());
  const Caller caller{fleet};
  const json::object cut{{"op", "add"},
                         {"id", "c"},
                         {"action", "cut"},
                         {"source", "dc1-"},
                         {"destination", "127.0.2."}};
  (void)caller.Own("dc2-w1");
  fleet.ControlProxy(cut);
  CHECK_FALSE(caller.Post(fleet.Address("dc2-w1"), "/v1/ownership", {}, {}, 200ms).ok());
  LONGS_EQUAL(1, IntField(caller.Own("dc1-w1"), "epoch"));
  fleet.ControlProxy({{"op", "clear"}});
  json::object one_way = cut;
  one_way["direction"] = "back";
  boost::asio::io_context io;
  HttpOutcome late;
  AsyncHttpCall(
      io, {fleet.Address("dc2-w1"), fleet.ProxyOf("dc1-e1")},
      {"POST",
       "/v1/tasks",
       R"({"run_ms":60000})",
       {{"Sapphirewheel-Task", "t1"}, {"Sapphirewheel-Node", "n1"}, {"Sapphirewheel-Epoch", "1"}}},
      20s, [&late](HttpOutcome outcome) { late = std::move(outcome); });
  const auto started = [&]() {
    io.poll();
    for (const auto& event : fleet.WorkerEvents()) {
      if (IsEvent(event, "start", "t1")) return true;
    }
    return false;
  };
  CHECK_TRUE(WaitUntil(started, 20s));
  fleet.ControlProxy(one_way);
  const HttpRequest stop{"POST", "/v1/tasks/t1/stop", "{}", {}};
  LONGS_EQUAL(200, HttpCall({fleet.Address("dc2-w1"), ""}, stop, 10s).response.status);
  io.run_for(100ms);
  CHECK_TRUE(late.response.body.empty());
  fleet.ControlProxy({{"op", "clear"}});
  io.run();
  STRCMP_EQUAL("", late.error.c_str());
  STRCMP_EQUAL(R"({"reason":"stopped","task":"t1"})", late.response.body.c_str());
}

// Guards against truncated responses that a check would mistake for complete ones.
TEST(Standins, FaultyResponsesAreDetected) {
  const Fleet fleet(NoDaemons());
  const Caller caller{fleet};
  fleet.ControlWorker("dc1-w1", {{"op", "answers"}, {"mode", "truncated"}, {"next", 1}});
  CHECK_FALSE(caller.Run("dc1-w1", "t1", {{"echo", "x"}}).ok());
  fleet.ControlProxy({{"op", "add"},
                      {"id", "t"},
                      {"action", "truncate"},
                      {"direction", "back"},
                      {"bytes", 100},
                      {"destination", fleet.Address("dc1-w1")}});
  STRCMP_EQUAL("", caller.Run("dc1-w2", "t2", {{"echo", "x"}}).error.c_str());
  CHECK_FALSE(caller.Post(fleet.Address("dc1-w1"), "/v1/ownership", {{"node", "n1"}}).ok());
}
