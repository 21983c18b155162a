#include "tests/integration/fleet_setup.h"

#include <algorithm>
#include <boost/json.hpp>
#include <stdexcept>

#include "sapphirewheel/state/json.h"
#include "tests/standins/support.h"

namespace sapphirewheel::testing {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr std::chrono::seconds kSetUpLimit{30};
// Longer than the deadline of a request, so that a caller always gets the daemon's response.
constexpr std::chrono::seconds kCallerTimeout{10};
// Pause of a caller after a call that failed, as a refusal may come immediately.
constexpr milliseconds kCallerPause{20};

json::object Confirm(Fleet& fleet, const std::string& vm, const json::object& plan) {
  const std::string id = TextOrThrow(plan, "plan");
  const auto outcome = fleet.Call(vm, {"POST", "/v1/plans/" + id + "/confirm", "{}", {}});
  if (!outcome.ok() || outcome.response.status != 200) {
    throw std::runtime_error("plan refused: " + outcome.error + outcome.response.body);
  }
  return ParseOrThrow(outcome.response.body);
}

json::object PlanOf(Fleet& fleet, const std::string& vm, const json::object& intent) {
  const auto outcome = fleet.Call(vm, {"POST", "/v1/intents", json::serialize(intent), {}});
  if (!outcome.ok() || outcome.response.status != 201) {
    throw std::runtime_error("intent refused: " + outcome.error + outcome.response.body);
  }
  return ParseOrThrow(outcome.response.body);
}

std::string NetworkPrefix(int data_centre) { return "127.0." + std::to_string(data_centre) + "."; }

void AddCutRule(const Fleet& fleet, const std::string& source, const std::string& destination) {
  fleet.ControlProxy({{"op", "add"},
                      {"id", "cut-" + source + destination},
                      {"source", source},
                      {"destination", destination},
                      {"action", "cut"}});
}

}  // namespace

FleetOptions SmallFleet(int entries, int workers) {
  FleetOptions options;
  options.data_centres = 2;
  options.entries = entries;
  options.workers = workers;
  options.workers_per_rack = 1;
  options.platform_flags = {"--list-lag-ms", "300"};
  options.daemon_flags = {"--dead-after-ms", "3000", "--pause-limit-ms", "2000",
                          "--list-lag-ms",   "1000"};
  return options;
}

json::object TeamIntent(const std::string& team, std::int64_t upper_limit) {
  return {{"kind", "team"}, {"team", team}, {"share", 1}, {"upper_limit", upper_limit}};
}

std::int64_t ApplyOrThrow(Fleet& fleet, const std::string& vm, const json::object& intent) {
  return IntField(Confirm(fleet, vm, PlanOf(fleet, vm, intent)), "confirmed_version");
}

std::string GrantKey(Fleet& fleet, const std::string& vm, const std::string& key,
                     const std::string& team, std::int64_t grace_ms) {
  const json::object plan = PlanOf(
      fleet, vm,
      {{"kind", "key-grant"}, {"key", key}, {"team", team}, {"isolation_grace_ms", grace_ms}});
  (void)Confirm(fleet, vm, plan);
  return TextOrThrow(plan, "token");
}

namespace {

// Whether a daemon reports at least `workers` workers in the pool.
bool KnowsWorkers(const Fleet& fleet, const std::string& entry, int workers) {
  const HttpOutcome outcome = fleet.Call(entry, {"GET", "/v1/fleet", "", {}});
  if (!outcome.ok() || outcome.response.status != 200) return false;
  const json::object view = ParseOrThrow(outcome.response.body);
  const auto& vms = view.at("vms").as_array();
  return std::count_if(vms.begin(), vms.end(), [](const json::value& vm) {
           return TextField(vm.as_object(), "pool") == "blending";
         }) >= workers;
}

}  // namespace

std::string SetUpTeam(Fleet& fleet, int workers, std::int64_t upper_limit) {
  if (!fleet.AwaitReady(kSetUpLimit)) {
    throw std::runtime_error("the daemons were not ready within 30 s");
  }
  const std::string vm = fleet.entries().front();
  ApplyOrThrow(fleet, vm,
               {{"kind", "pool"},
                {"pool", "blending"},
                {"services", json::array{kService}},
                {"size", workers},
                {"max_out", 1},
                {"max_out_per_rack", 1}});
  ApplyOrThrow(fleet, vm, TeamIntent(kTeam, upper_limit));
  std::string token = GrantKey(fleet, vm, "brewers-1", kTeam);
  for (const std::string& entry : fleet.entries()) {
    const bool served = WaitUntil(
        [&]() {
          // A response alone is not enough: it may come from a worker of another data centre.
          if (!KnowsWorkers(fleet, entry, workers)) return false;
          const auto outcome = fleet.Call(entry, ServiceCall(token, {{"run_ms", 1}}));
          return outcome.ok() && outcome.response.status == 200;
        },
        kSetUpLimit);
    if (!served) {
      throw std::runtime_error(entry + " did not serve requests with all workers within 30 s");
    }
  }
  return token;
}

HttpRequest ServiceCall(const std::string& token, const json::object& body, milliseconds deadline) {
  HttpRequest request{
      "POST", std::string("/v1/services/") + kService + "/requests", json::serialize(body), {}};
  request.headers["Sapphirewheel-Repeatable"] = "true";
  request.headers["Sapphirewheel-Deadline-Ms"] = std::to_string(deadline.count());
  if (!token.empty()) request.headers["Authorization"] = "Bearer " + token;
  return request;
}

void PartitionDataCentre(const Fleet& fleet, int data_centre) {
  const int other = 3 - data_centre;
  const std::string name = "dc" + std::to_string(data_centre) + "-";
  AddCutRule(fleet, name, "127.0.100.");
  AddCutRule(fleet, name, NetworkPrefix(other));
  AddCutRule(fleet, "dc" + std::to_string(other) + "-", NetworkPrefix(data_centre));
}

void HealPartition(const Fleet& fleet) { fleet.ControlProxy({{"op", "clear"}}); }

RequestLoad::RequestLoad(const Fleet& fleet, const std::string& vm, const std::string& token,
                         const json::object& body, int callers) {
  const HttpRequest request = ServiceCall(token, body);
  for (int i = 0; i < callers; ++i) {
    callers_.emplace_back(
        [this, address = fleet.Address(vm), request]() { Run(address, request); });
  }
}

RequestLoad::~RequestLoad() { Stop(); }

void RequestLoad::Run(const std::string& address, const HttpRequest& request) {
  while (!stopped_) {
    const HttpOutcome outcome = HttpCall({address, ""}, request, kCallerTimeout);
    const int status = outcome.ok() ? outcome.response.status : 0;
    {
      const std::lock_guard lock(mutex_);
      ++status_counts_[status];
    }
    if (status != 200) std::this_thread::sleep_for(kCallerPause);
  }
}

void RequestLoad::Stop() {
  stopped_ = true;
  for (auto& caller : callers_) caller.join();
  callers_.clear();
}

std::map<int, int> RequestLoad::StatusCounts() const {
  const std::lock_guard lock(mutex_);
  return status_counts_;
}

std::vector<SlotsAtStart> RunningSlots(const Fleet& fleet, const std::string& team) {
  std::int64_t running = 0;
  std::vector<SlotsAtStart> starts;
  for (const auto& event : fleet.WorkerEvents()) {
    if (TextField(event, "team") != team) continue;
    const std::string kind = TextField(event, "event");
    const std::int64_t slots = IntField(event, "slots");
    if (kind == "start") {
      running += slots;
      starts.push_back({IntField(event, "at_us"), running});
    } else if (kind == "end") {
      running -= slots;
    }
  }
  return starts;
}

std::int64_t PeakSlots(const Fleet& fleet, const std::string& team, std::int64_t from_us) {
  std::int64_t peak = 0;
  for (const auto& start : RunningSlots(fleet, team)) {
    if (start.at_us >= from_us) peak = std::max(peak, start.slots);
  }
  return peak;
}

int StartsOf(const Fleet& fleet, const std::string& request) {
  int starts = 0;
  for (const auto& event : fleet.WorkerEvents()) {
    const bool match =
        TextField(event, "event") == "start" && TextField(event, "request") == request;
    starts += match ? 1 : 0;
  }
  return starts;
}

}  // namespace sapphirewheel::testing
