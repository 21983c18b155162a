#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/json.hpp>
#include <csignal>
#include <functional>
#include <iostream>
#include <map>
#include <stdexcept>

#include "sapphirewheel/state/json.h"
#include "tests/integration/fleet.h"
#include "tests/integration/soak_checks.h"
#include "tests/integration/soak_faults.h"
#include "tests/integration/soak_load.h"
#include "tests/standins/support.h"

namespace sapphirewheel::testing {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr seconds kReadyLimit{60};
constexpr seconds kServeLimit{60};
constexpr seconds kJobLimit{120};
constexpr std::size_t kShownViolations = 5;

struct SoakOptions {
  std::uint64_t seed = 1;
  double minutes = 1;
};

FleetOptions SoakFleet() {
  FleetOptions options;
  options.data_centres = 3;
  options.entries = 2;
  options.workers = 4;
  options.workers_per_rack = 2;
  options.platform_flags = {"--list-lag-ms", "1000"};
  return options;
}

json::object ApplyOrThrow(const Fleet& fleet, const json::object& intent) {
  const HttpOutcome plan =
      fleet.Call("dc1-e1", {"POST", "/v1/intents", json::serialize(intent), {}});
  if (!plan.ok() || plan.response.status >= 300) {
    throw std::runtime_error("intent refused: " + plan.error + plan.response.body);
  }
  json::object body = ParseOrThrow(plan.response.body);
  const std::string target = "/v1/plans/" + TextOrThrow(body, "plan") + "/confirm";
  const HttpOutcome done = fleet.Call("dc1-e1", {"POST", target, "{}", {}});
  if (!done.ok() || done.response.status >= 300) {
    throw std::runtime_error("plan refused: " + done.error + done.response.body);
  }
  return body;
}

std::vector<SoakTeam> Configure(const Fleet& fleet) {
  const auto pool = [&fleet](const char* name, const char* service, int size) {
    ApplyOrThrow(fleet, {{"kind", "pool"},
                         {"pool", name},
                         {"services", json::array{service}},
                         {"size", size},
                         {"max_out", 1},
                         {"max_out_per_rack", 1}});
  };
  pool("blending", "blend", 8);
  pool("shipping", "ship", 4);
  std::vector<SoakTeam> teams{{"brewers", 3, ""}, {"crews", 5, ""}, {"schools", 12, ""}};
  for (SoakTeam& team : teams) {
    ApplyOrThrow(
        fleet, {{"kind", "team"}, {"team", team.name}, {"share", 1}, {"upper_limit", team.limit}});
    const json::object grant{{"kind", "key-grant"}, {"key", team.name}, {"team", team.name}};
    team.token = TextOrThrow(ApplyOrThrow(fleet, grant), "token");
  }
  return teams;
}

// Waits until every daemon serves both services to every team. Returns a description of what is not
// served, or an empty string.
std::string AwaitService(const Fleet& fleet, const std::vector<SoakTeam>& teams) {
  static int n = 0;
  std::string missing;
  for (const std::string& vm : fleet.entries()) {
    for (const SoakTeam& team : teams) {
      for (const char* service : {"blend", "ship"}) {
        HttpOutcome outcome;
        const auto served = [&]() {
          HttpRequest request{"POST",
                              std::string("/v1/services/") + service + "/requests",
                              R"({"run_ms":1,"id":"probe"})",
                              {}};
          request.headers["Authorization"] = "Bearer " + team.token;
          request.headers["Idempotency-Key"] = "probe-" + std::to_string(++n);
          outcome = fleet.Call(vm, request);
          return outcome.ok() && outcome.response.status == 200;
        };
        if (WaitUntil(served, kServeLimit)) continue;
        missing += vm + " does not serve " + service + " to " + team.name + ": " + outcome.error +
                   outcome.response.body + "\n";
        if (missing.size() > 1000) return missing;
      }
    }
  }
  return missing;
}

// Runs the schedule. After the first violation that a caller sees, the remaining faults are
// injected and healed without delay.
void RunSchedule(FaultInjector& injector, const std::vector<Fault>& schedule, milliseconds length,
                 const SoakLoad& load) {
  std::multimap<milliseconds, std::function<void()>> actions;
  for (const Fault& fault : schedule) {
    actions.emplace(fault.at, [&injector, &fault]() {
      std::cout << "fault at " << Describe(fault) << std::endl;
      injector.Inject(fault);
    });
    actions.emplace(fault.at + fault.length, [&injector, &fault]() { injector.Heal(fault); });
  }
  actions.emplace(length, []() {});
  const auto start = MonotonicClock::now();
  std::size_t done = 0;
  for (const auto& [at, action] : actions) {
    const auto due = [&load, time = start + at]() {
      return load.Violated() || MonotonicClock::now() >= time;
    };
    (void)WaitUntil(due, milliseconds(length) + seconds(60));
    // Continues after a violation, so that every injected fault is healed.
    if (load.Violated() && done == 0) std::cout << "a caller saw a violation" << std::endl;
    ++done;
    action();
  }
}

void CheckJobs(const Fleet& fleet, const CallerLog& log, std::vector<std::string>& violations) {
  const auto deadline = MonotonicClock::now() + kJobLimit;
  const std::string vm = fleet.entries().front();
  for (const SentJob& job : log.jobs) {
    HttpOutcome outcome;
    const auto ended = [&]() {
      HttpRequest request{"GET", "/v1/jobs/" + job.id + "/result", "", {}};
      request.headers["Authorization"] = "Bearer " + job.token;
      outcome = fleet.Call(vm, request);
      return outcome.ok() && outcome.response.status == 200;
    };
    const auto left = std::chrono::duration_cast<milliseconds>(deadline - MonotonicClock::now());
    const bool done = WaitUntil(ended, std::max(left, milliseconds(1)));
    const auto body = ParseObject(outcome.response.body);
    if (done && body && TextField(body.value(), "echo") == job.echo) continue;
    violations.push_back("acknowledged job " + job.id + " (" + job.echo +
                         ") is not done or has the result of another job: " + outcome.error +
                         outcome.response.body);
  }
}

void PrintCounts(const CheckCounts& counts, const CallerLog& log) {
  std::cout << "requests " << counts.requests << ", answered 200 " << counts.answered
            << ", not-run " << counts.not_run << " (of these to a repetition of a started request "
            << counts.not_run_after_start << "), starts " << counts.starts << ", jobs "
            << log.jobs.size() << ", VM row writes " << counts.vm_writes << ", configuration reads "
            << log.config_reads << "\n";
  for (const auto& [team, slots] : counts.peak_slots) {
    std::cout << "peak slots of " << team << ": " << slots << "\n";
  }
}

int Report(const SoakOptions& options, const std::vector<std::string>& violations) {
  if (violations.empty()) {
    std::cout << "no violation, seed " << options.seed << std::endl;
    return 0;
  }
  std::cout << violations.size() << " violations, seed " << options.seed << ", minutes "
            << options.minutes << ", now at_us " << MonotonicMicros() << "\n";
  for (std::size_t n = 0; n < std::min(violations.size(), kShownViolations); ++n) {
    std::cout << "VIOLATION: " << violations[n] << "\n";
  }
  return 1;
}

int Run(const SoakOptions& options) {
  const milliseconds length(static_cast<std::int64_t>(options.minutes * 60000));
  const std::vector<Fault> schedule = MakeSchedule(options.seed, length);
  Fleet fleet(SoakFleet());
  if (!fleet.AwaitReady(kReadyLimit)) {
    throw std::runtime_error("the daemons were not ready within 60 s");
  }
  const std::vector<SoakTeam> teams = Configure(fleet);
  if (const auto missing = AwaitService(fleet, teams); !missing.empty()) {
    throw std::runtime_error("before any fault: " + missing);
  }
  EntryList entries;
  const auto update = [&fleet, &entries]() {
    std::map<std::string, std::string> addresses;
    for (const auto& vm : fleet.entries()) addresses[vm] = fleet.Address(vm);
    entries.Set(std::move(addresses));
  };
  update();
  std::cout << "load starts at_us " << MonotonicMicros() << std::endl;
  FaultInjector injector(fleet, options.seed, update);
  SoakLoad load(entries, teams, options.seed * 1000);
  RunSchedule(injector, schedule, length, load);
  std::cout << "healed at_us " << MonotonicMicros() << std::endl;
  std::vector<std::string> violations = injector.violations();
  if (!fleet.AwaitReady(kReadyLimit)) {
    violations.emplace_back("a daemon is not ready within 60 s of healing all faults");
  }
  const CallerLog log = load.Finish();
  violations.insert(violations.end(), log.violations.begin(), log.violations.end());
  if (const auto missing = AwaitService(fleet, teams); !missing.empty()) {
    violations.push_back("after healing all faults: " + missing);
  }
  CheckJobs(fleet, log, violations);
  CheckCounts counts;
  const auto events = fleet.WorkerEvents();
  CheckStartsOnce(log, events, violations, counts);
  CheckNotRun(log, events, violations, counts);
  CheckLimits(teams, events, violations, counts);
  CheckWorkerPools(events, violations);
  CheckVmRows(fleet.Transactions(), {"blending", "shipping"}, violations, counts);
  PrintCounts(counts, log);
  return Report(options, violations);
}

}  // namespace
}  // namespace sapphirewheel::testing

// Exit status: 0 for no violation, 1 for violations (printed with the seed), 2 when the run itself
// failed.
int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app("Runs a fleet under load with a random schedule of faults, and checks invariants");
  sapphirewheel::testing::SoakOptions options;
  app.add_option("--seed", options.seed, "seed of the schedule and of the load");
  app.add_option("--minutes", options.minutes, "length of the schedule")
      ->check(CLI::Range(0.05, 600.0));
  CLI11_PARSE(app, argc, argv);
  std::cout << "seed " << options.seed << ", minutes " << options.minutes << std::endl;
  try {
    return sapphirewheel::testing::Run(options);
  } catch (const std::exception& ex) {
    std::cerr << "seed " << options.seed << ": " << ex.what() << "\n";
    return 2;
  }
}
