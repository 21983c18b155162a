#include <boost/json.hpp>
#include <chrono>
#include <iostream>
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
using sapphirewheel::TextField;
using namespace std::chrono_literals;    // NOLINT(google-build-using-namespace)
using namespace sapphirewheel::testing;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int kLimit = 16;

// A caller of the team.
struct JobCaller {
  const Fleet& fleet;
  std::string token;

  // Submits a job and returns its id.
  [[nodiscard]] std::string Submit(const std::string& vm, const json::object& body,
                                   const std::string& slots = "1") const {
    HttpRequest request{
        "POST", std::string("/v1/services/") + kService + "/jobs", json::serialize(body), {}};
    request.headers["Authorization"] = "Bearer " + token;
    request.headers["Sapphirewheel-Slots"] = slots;
    const HttpOutcome outcome = fleet.Call(vm, std::move(request));
    CHECK_TRUE(outcome.ok());
    LONGS_EQUAL(202, outcome.response.status);
    return TextOrThrow(ParseOrThrow(outcome.response.body), "job");
  }
  [[nodiscard]] json::object Show(const std::string& vm, const std::string& job) const {
    HttpRequest request{"GET", "/v1/jobs/" + job, "", {}};
    request.headers["Authorization"] = "Bearer " + token;
    const HttpOutcome outcome = fleet.Call(vm, std::move(request), 3s);
    return outcome.ok() && outcome.response.status == 200 ? ParseOrThrow(outcome.response.body)
                                                          : json::object();
  }
  [[nodiscard]] bool AwaitState(const std::string& vm, const std::string& job,
                                const std::string& state) const {
    const bool reached =
        WaitUntil([&]() { return TextField(Show(vm, job), "state") == state; }, 30s);
    if (!reached) std::cout << "\nlast seen: " << json::serialize(Show(vm, job)) << std::endl;
    return reached;
  }
  [[nodiscard]] std::string Result(const std::string& vm, const std::string& job) const {
    HttpRequest request{"GET", "/v1/jobs/" + job + "/result", "", {}};
    request.headers["Authorization"] = "Bearer " + token;
    return fleet.Call(vm, std::move(request)).response.body;
  }
};

// The event of the job's latest start on a worker; empty when it has not started.
json::object LastStart(const Fleet& fleet, const std::string& job) {
  json::object last;
  for (const auto& event : fleet.WorkerEvents()) {
    if (TextField(event, "event") == "start" && TextField(event, "job") == job) last = event;
  }
  return last;
}

// Waits until the job has started and returns the worker; empty when it did not start in time.
std::string AwaitWorker(const Fleet& fleet, const std::string& job) {
  std::string vm;
  (void)WaitUntil(
      [&]() {
        vm = TextField(LastStart(fleet, job), "vm");
        return !vm.empty();
      },
      20s);
  return vm;
}

bool HasEnd(const Fleet& fleet, const std::string& job, const std::string& outcome) {
  for (const auto& event : fleet.WorkerEvents()) {
    const bool match = TextField(event, "event") == "end" && TextField(event, "job") == job;
    if (match && TextField(event, "outcome") == outcome) return true;
  }
  return false;
}

// Number of tasks that failed on a worker.
int FailuresAt(const Fleet& fleet, const std::string& vm) {
  int failures = 0;
  for (const auto& event : fleet.WorkerEvents()) {
    const bool at = TextField(event, "event") == "end" && TextField(event, "vm") == vm;
    failures += at && TextField(event, "outcome") == "failed" ? 1 : 0;
  }
  return failures;
}

// The entry VM that started the job's latest attempt.
std::string NodeOf(const Fleet& fleet, const std::string& job) {
  const std::string node = TextField(LastStart(fleet, job), "node");
  return node.substr(0, node.find('#'));
}

void Report(const char* test, std::int64_t from_us) {
  std::cout << "\n"
            << test << ": finished after " << static_cast<double>(MonotonicMicros() - from_us) / 1e6
            << " s" << std::endl;
}

}  // namespace

// clang-format off
TEST_GROUP(Jobs) {
  void setup() override { MemoryLeakWarningPlugin::turnOnThreadSafeNewDeleteOverloads(); }
};
// clang-format on

// Guards against an acknowledged job that is lost with the daemon that manages it.
TEST(Jobs, JobIsFinishedAfterItsDaemonIsKilled) {
  Fleet fleet(SmallFleet(2, 2));
  const JobCaller caller{fleet, SetUpTeam(fleet, 4, kLimit)};
  const std::string job = caller.Submit("dc1-e1", {{"run_ms", 1500}, {"echo", "batch"}});
  CHECK_FALSE(AwaitWorker(fleet, job).empty());
  const std::string node = NodeOf(fleet, job);
  const std::int64_t killed = MonotonicMicros();
  fleet.Kill(node);
  const std::string other = node == "dc1-e1" ? "dc1-e2" : "dc1-e1";
  CHECK_TRUE(caller.AwaitState(other, job, "done"));
  Report("holder killed", killed);
  CHECK_TRUE(caller.Result(other, job).find("batch") != std::string::npos);
}

// Guards against a job that is lost with the worker that runs it.
TEST(Jobs, JobIsFinishedAfterItsWorkerIsKilled) {
  Fleet fleet(SmallFleet(1, 2));
  const JobCaller caller{fleet, SetUpTeam(fleet, 4, kLimit)};
  const std::string job = caller.Submit("dc1-e1", {{"run_ms", 1500}, {"echo", "batch"}});
  const std::string worker = AwaitWorker(fleet, job);
  CHECK_FALSE(worker.empty());
  const std::int64_t killed = MonotonicMicros();
  fleet.ControlWorker(worker, {{"op", "die"}, {"permanent", true}});
  CHECK_TRUE(caller.AwaitState("dc1-e1", job, "done"));
  Report("worker killed", killed);
  CHECK_TRUE(caller.Result("dc1-e1", job).find("batch") != std::string::npos);
}

// Guards against a job that waits forever for a worker that does not respond.
TEST(Jobs, JobIsFinishedAfterItsWorkerIsFrozen) {
  Fleet fleet(SmallFleet(1, 2));
  const JobCaller caller{fleet, SetUpTeam(fleet, 4, kLimit)};
  const std::string job = caller.Submit("dc1-e1", {{"run_ms", 1500}, {"echo", "batch"}});
  const std::string worker = AwaitWorker(fleet, job);
  CHECK_FALSE(worker.empty());
  const std::int64_t frozen = MonotonicMicros();
  fleet.ControlWorker(worker, {{"op", "freeze"}});
  CHECK_TRUE(caller.AwaitState("dc1-e1", job, "done"));
  Report("worker frozen", frozen);
  fleet.ControlWorker(worker, {{"op", "thaw"}});
}

// Guards against a job that waits forever because it needs more slots than any worker has.
TEST(Jobs, JobThatFitsNoWorkerIsReported) {
  Fleet fleet(SmallFleet(1, 2));
  const JobCaller caller{fleet, SetUpTeam(fleet, 4, kLimit)};
  const std::string job = caller.Submit("dc1-e1", {{"run_ms", 10}}, "9");
  CHECK_TRUE(caller.AwaitState("dc1-e1", job, "cannot-run"));
  CHECK_FALSE(TextField(caller.Show("dc1-e1", job), "reason").empty());
  CHECK_TRUE(LastStart(fleet, job).empty());
}

// Guards against a cancelled job that continues or starts again.
TEST(Jobs, CancelledJobIsStopped) {
  Fleet fleet(SmallFleet(1, 2));
  const JobCaller caller{fleet, SetUpTeam(fleet, 4, kLimit)};
  const std::string job = caller.Submit("dc1-e1", {{"run_ms", 60000}});
  CHECK_FALSE(AwaitWorker(fleet, job).empty());
  HttpRequest cancel{"DELETE", "/v1/jobs/" + job, "", {}};
  cancel.headers["Authorization"] = "Bearer " + caller.token;
  LONGS_EQUAL(200, fleet.Call("dc1-e1", std::move(cancel)).response.status);
  CHECK_TRUE(caller.AwaitState("dc1-e1", job, "cancelled"));
  CHECK_TRUE(WaitUntil([&]() { return HasEnd(fleet, job, "failed"); }, 20s));
}

// Guards against a single failing worker that uses up the retries of all jobs, and that keeps
// receiving tasks.
TEST(Jobs, WorkerThatFailsEveryTaskFailsNoJob) {
  constexpr int kJobs = 16;
  Fleet fleet(SmallFleet(1, 2));
  const JobCaller caller{fleet, SetUpTeam(fleet, 4, kLimit)};
  fleet.ControlWorker("dc1-w1", {{"op", "fail_all"}, {"value", true}});
  const auto run_all = [&]() {
    std::vector<std::string> jobs;
    jobs.reserve(kJobs);
    for (int i = 0; i < kJobs; ++i) jobs.push_back(caller.Submit("dc1-e1", {{"run_ms", 300}}));
    for (const std::string& job : jobs) CHECK_TRUE(caller.AwaitState("dc1-e1", job, "done"));
  };
  run_all();
  const int first = FailuresAt(fleet, "dc1-w1");
  run_all();
  const int second = FailuresAt(fleet, "dc1-w1") - first;
  std::cout << "\nbad worker: " << first << " failed tasks for the first " << kJobs << " jobs, "
            << second << " for as many after them" << std::endl;
  CHECK_TRUE(first > 0);
  LONGS_EQUAL(0, second);
}
