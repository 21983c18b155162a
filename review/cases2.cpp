// The cases review/6 to review/10 that are scripts: `cases2 NAME RECORD`. Exit status 1 if the rule
// was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
#include "platform2.hpp"

using namespace sim;  // NOLINT

namespace {

const bool kTrouble = std::getenv("TROUBLE") == nullptr || std::string(std::getenv("TROUBLE")) != "0";

int CannotRun(const char* why) {
  record.Line("case: cannot run: %s", why);
  std::printf("cannot run: %s\n", why);
  return 2;
}
int Verdict(bool broken, const std::string& what) {
  record.Line("case: %s: %s", broken ? "BROKEN" : "held", what.c_str());
  std::printf("%s: %s\n", broken ? "BROKEN" : "held", what.c_str());
  return broken ? 1 : 0;
}
std::string OwnerOf(Store& store) { return Text(Parse(store.Value("fleet", "fleet", "owner")), "holder"); }
std::string Rejections(Store& store) {
  std::string text;
  for (const auto& [why, n] : store.Rejected()) text += ", " + std::to_string(n) + " calls rejected (" + why + ")";
  return text;
}

// The whole deployment of a case: three or more machines of the system, services `orders` and `blending`.
struct Deployment {
  explicit Deployment(int machines_per_service = 4, int memory_mb = 260, int connections = 0, int nodes = 3)
      : ip(LoopbackPrefix()),
        fleet(store, FleetSettings(ip, machines_per_service, connections)),
        system(ip, nodes, ip + "100:" + std::to_string(store.Listen(ip + "100")),
               ip + "100:" + std::to_string(fleet.Listen()), memory_mb,
               ip + "100:" + std::to_string(store.ListenTroubled(ip + "100"))) {
    PutConfig(store, 1, routes, services);
  }
  static Fleet::Settings FleetSettings(const std::string& ip, int machines, int connections) {
    Fleet::Settings settings{ip + "100", {"orders", "blending"}, machines};
    settings.connections = connections;
    return settings;
  }
  bool Begin() {
    system.StartAll();
    if (!system.AwaitReady(10'000)) return false;
    for (int n = 0; n < 100 && OwnerOf(store).empty(); ++n) Sleep(100);
    return !OwnerOf(store).empty();
  }
  const std::vector<std::string> services{"orders", "blending"};
  const json::array routes{Route("orders", "orders"), Route("blending", "blending")};
  const std::string ip;
  Store store;
  Fleet fleet;
  System system;
};

std::unique_ptr<Deployment> deployed;
Deployment& Deploy(int machines_per_service = 4, int memory_mb = 260, int connections = 0, int nodes = 3) {
  deployed = std::make_unique<Deployment>(machines_per_service, memory_mb, connections, nodes);
  return *deployed;
}

// The check of LOST: of accepted jobs whose tasks' turn has come, how many have had nothing running
// and nothing done all the time since they were accepted, and how many aren't shown as completed.
struct Judged {
  int waiting = 0, incomplete = 0;
  double used = 0;
};
Judged Judge(const std::vector<std::string>& paths, const std::string& service) {
  Judged j;
  for (const auto& it : paths) {
    const std::string id = it.substr(it.rfind('/') + 1);
    const bool completed = deployed->system.State(it) == "completed";
    const auto c = deployed->fleet.Count(id);
    record.Line("executors: %d tasks of %s started, %d ended done, %d of them taken note of", c.started, id.c_str(), c.done, c.noted);
    j.waiting += c.started == 0;
    j.incomplete += !completed;
  }
  j.used = deployed->fleet.Used(service);
  record.Line("executors: %.2f tasks a machine of `%s` run", j.used, service.c_str());
  return j;
}
std::string Say(const Judged& j, std::size_t all, int seconds) {
  return "of " + std::to_string(all) + " accepted jobs " + std::to_string(j.waiting) + " had no task started and " +
         std::to_string(j.incomplete) + " were not completed " + std::to_string(seconds) + " s after the last was accepted";
}

// 100 finished waves, then the owner is killed.
int Waves() {
  constexpr int kWaves = 110;
  constexpr int kAtOnce = 10;
  Deployment& d = Deploy(20);
  if (!d.Begin()) return CannotRun("the system is not ready");
  if (!d.system.Submit("/orders/" + Id(1), Body("300", 4, 1000, 300))) return CannotRun("no job accepted");
  if (!d.system.AwaitState("/orders/" + Id(1), "completed", 15'000)) return CannotRun("no job completed");
  const auto machines = d.fleet.Machines();
  int next = 0;
  std::set<int> open;
  const std::int64_t until = Now() + 70'000;
  const auto completed = [&](int wave) {
    return Text(Parse(d.store.Value("status", "", "wave/" + std::to_string(wave))), "state") == "completed";
  };
  while ((next < kWaves || !open.empty()) && Now() < until) {
    while (next < kWaves && open.size() < kAtOnce) {
      ++next;
      d.fleet.Wave(next, {machines[static_cast<std::size_t>(next) % machines.size()]}, 20, 1);
      open.insert(next);
    }
    std::erase_if(open, completed);
    Sleep(100);
  }
  if (!open.empty() || next < kWaves) {
    return CannotRun(("only " + std::to_string(next - static_cast<int>(open.size())) + " waves completed").c_str());
  }
  record.Line("operator: %d waves are shown as completed", kWaves);
  Sleep(3500);
  const int owner = d.system.NodeOf(OwnerOf(d.store));
  if (kTrouble) d.system.Kill(owner, 1000);
  Sleep(9000);
  // The disruption is over for contact_ms: these jobs are accepted, and there is room for all of them.
  std::vector<std::string> jobs;
  for (int n = 2; n < 8; ++n) {
    jobs.push_back("/orders/" + Id(n));
    if (!d.system.Submit(jobs.back(), Body("300", 2, 1000, 300))) return CannotRun("a job is not accepted");
  }
  Sleep(14'000);
  const Judged j = Judge(jobs, "orders");
  return Verdict(j.waiting > 0 && j.used < 0.5, Say(j, jobs.size(), 14) + Rejections(d.store));
}

// A job that is repeated many times.
int Repeated() {
  const int repetitions = kTrouble ? 14'000 : 2'000;
  Deployment& d = Deploy(20);
  d.fleet.verbose = false;
  if (!d.Begin()) return CannotRun("the system is not ready");
  const std::string path = "/orders/" + Id(1);
  if (!d.system.Submit(path, Body("10", 1, 500, 10,
                                  {{"repetitions", repetitions}, {"initial_ms", UnixNow() + 500}, {"interval_ms", 4}}))) {
    return CannotRun("the job is not accepted");
  }
  const std::int64_t until = Now() + 85'000;
  int quiet = 0;
  int last = -1;
  while (Now() < until && quiet < 6) {
    Sleep(1000);
    const auto c = d.fleet.Count(Id(1));
    record.Line("executors: %d tasks started, %d ended done, %d of them taken note of", c.started, c.done, c.noted);
    quiet = c.noted == last ? quiet + 1 : 0;
    last = c.noted;
  }
  std::vector<std::string> jobs;
  for (int n = 2; n < 8; ++n) {
    jobs.push_back("/blending/" + Id(n));
    if (!d.system.Submit(jobs.back(), Body("300", 2, 1000, 300))) return CannotRun("a job is not accepted");
  }
  Sleep(14'000);
  const Judged j = Judge(jobs, "blending");
  const auto c = d.fleet.Count(Id(1));
  return Verdict(j.waiting > 0 && j.used < 0.5,
                 Say(j, jobs.size(), 14) + "; of the repeated job " + std::to_string(c.noted) + " of " +
                     std::to_string(c.done) + " ends were taken note of" + Rejections(d.store));
}

// A job for each minute of a year is handed in late in the year.
int Past() {
  auto& d = Deploy(8);
  d.fleet.verbose = false;
  if (!d.Begin()) return CannotRun("the system is not ready");
  if (!d.system.Submit("/blending/" + Id(1), Body("300", 4, 1000, 300))) return CannotRun("no job accepted");
  if (!d.system.AwaitState("/blending/" + Id(1), "completed", 15'000)) return CannotRun("no job completed");
  constexpr std::int64_t kMinute = 60'000;
  constexpr std::int64_t kYear = 525'600;
  const std::int64_t first = kTrouble ? UnixNow() - 340 * 24 * 60 * kMinute : UnixNow() + 500;
  const std::string path = "/orders/" + Id(2);
  if (!d.system.Submit(path, Body("50", 1, 500, 50,
                                  {{"repetitions", kYear}, {"initial_ms", first}, {"interval_ms", kMinute}}))) {
    return CannotRun("the job is not accepted");
  }
  Sleep(8000);
  std::vector<std::string> jobs;
  for (int n = 3; n < 9; ++n) {
    jobs.push_back("/blending/" + Id(n));
    if (!d.system.Submit(jobs.back(), Body("300", 2, 1000, 300), 20'000)) return CannotRun("a job is not accepted");
  }
  Sleep(20'000);
  const Judged j = Judge(jobs, "blending");
  const auto c = d.fleet.Count(Id(2));
  record.Line("executors: %d tasks of the repeated job started", c.started);
  return Verdict(j.waiting > 0 && j.used < 0.5,
                 Say(j, jobs.size(), 20) + "; " +
                     std::to_string(d.system.over_memory) + " processes above memory_mb, " +
                     std::to_string(d.system.ends_by_itself) + " ended by themselves, largest " +
                     std::to_string(d.system.peak_kb / 1024) + " MB" + Rejections(d.store));
}

// A version of the configuration removes the route of a job whose first step runs.
int Removed() {
  auto& d = Deploy(4);
  if (!d.Begin()) return CannotRun("the system is not ready");
  const std::string path = "/orders/" + Id(1);
  const json::object body{{"spec", "4000"},
                          {"steps", {json::object{{"count", 2}, {"cpu", 1000}, {"mem_mb", 64}, {"estimate_ms", 4000}},
                                     json::object{{"count", 2}, {"cpu", 1000}, {"mem_mb", 64}, {"estimate_ms", 4000},
                                                  {"after", {0}}}}}};
  if (!d.system.Submit(path, json::serialize(body))) return CannotRun("the job is not accepted");
  for (int n = 0; n < 100 && d.fleet.Count(Id(1) + ".0.0.").started < 2; ++n) Sleep(50);
  if (d.fleet.Count(Id(1) + ".0.0.").started < 2) return CannotRun("the first step does not start");
  const json::array left{Route("blending", "blending")};
  const json::array all{Route("orders", "orders", 501), Route("blending", "blending", 501)};
  PutConfig(d.store, 2, kTrouble ? left : all, d.services);
  for (int n = 0; n < 200 && d.fleet.Count(Id(1) + ".0.0.").done < 2; ++n) Sleep(50);
  const auto first = d.fleet.Count(Id(1) + ".0.0.");
  record.Line("executors: %d tasks of the first step ended done", first.done);
  if (first.done < 2) return CannotRun("the first step does not end");
  Sleep(14'000);
  const auto second = d.fleet.Count(Id(1) + ".0.1.");
  const double used = d.fleet.Used("orders");
  d.system.State(path);
  record.Line("executors: %d tasks of the second step started; %.2f tasks a machine of `orders` run", second.started, used);
  return Verdict(second.started == 0 && used < 0.5,
                 std::to_string(second.started) + " of 2 tasks of the second step started in the 14 s after the first step was done");
}

// Answers of the store are lost while a job is handed in; its client then cancels it.
int Cancelled() {
  auto& d = Deploy(4);
  // The machine whose calls are disturbed only answers clients.
  d.system.first_later = 2000;
  if (!d.Begin()) return CannotRun("the system is not ready");
  if (d.system.NodeOf(OwnerOf(d.store)) == 0) return CannotRun("no other owner");
  Sleep(4000);
  const std::string path = "/orders/" + Id(1);
  const std::int64_t from = Now();
  const int writes_before = d.store.write_calls;
  d.store.Lose(kTrouble);
  const int answer = d.system.Client(0, "POST", path, Body("300", 2, 1000, 300), 3000).status;
  d.store.Lose(false);
  record.Line("store: %d write calls of all machines in %ld ms, %d of them not answered", d.store.write_calls - writes_before,
              Now() - from, d.store.lost());
  if (kTrouble && d.store.lost() < 2) return CannotRun("the answers were not lost");
  if (kTrouble && answer != 504 && answer != 0) return CannotRun("the submission was answered");
  const int cancel = d.system.Client(1, "DELETE", path).status;
  const std::int64_t acknowledged = Now();
  record.Line("client: the cancelling is acknowledged with %d", cancel);
  if (cancel / 100 != 2 && cancel != 410) return CannotRun("the cancelling is not acknowledged");
  Sleep(12'000);
  std::int64_t late = 0;
  int started = 0;
  for (const auto& it : d.fleet.Starts()) {
    if (it.task.rfind(Id(1), 0) != 0) continue;
    late = std::max(late, it.at - acknowledged);
    ++started;
  }
  d.system.State(path);
  return Verdict(late > 3000, std::to_string(started) + " tasks started, the last " + std::to_string(late) +
                                  " ms after the cancelling was acknowledged with " + std::to_string(cancel));
}

// All open connections to the store, the executors and the service of machines go silent for good.
int Silent() {
  auto& d = Deploy(4);
  if (!d.Begin()) return CannotRun("the system is not ready");
  json::object step{{"count", 4}, {"cpu", 1000}, {"mem_mb", 64}, {"estimate_ms", 1000}, {"perpetual", true}};
  const std::string perpetual = "/orders/" + Id(2);
  if (!d.system.Submit(perpetual, json::serialize(json::object{{"spec", "last"}, {"steps", {step}}}))) {
    return CannotRun("the lasting job is not accepted");
  }
  for (int n = 0; n < 100 && d.fleet.Count(Id(2)).started < 4; ++n) Sleep(100);
  if (d.fleet.Count(Id(2)).started < 4) return CannotRun("the lasting tasks do not start");
  // The same clients hand in a small job each at one moment, a second later at the next machine, and so on.
  d.system.verbose = false;
  constexpr int kClients = 48;
  std::atomic<int> accepted{0};
  for (int n = 0; n < 3; ++n) {
    std::vector<std::thread> clients;
    for (int k = 0; k < kClients; ++k) {
      clients.emplace_back([&, n, k] {
        const std::string path = "/blending/" + Id(100 + n * kClients + k);
        accepted += d.system.Client(n, "POST", path, Body("100", 1, 500, 100), 3000).status == 200;
      });
    }
    for (auto& it : clients) it.join();
    Sleep(1000);
  }
  d.system.verbose = true;
  record.Line("clients: %d jobs were accepted of %d, %d handed in at once at each machine", accepted.load(), 3 * kClients, kClients);
  Sleep(5000);
  for (int n = 0; n < 3; ++n) record.Line("processes: %d sockets at %s", d.system.Sockets(n), d.system.Name(n).c_str());
  const std::int64_t at = Now();
  if (kTrouble) {
    record.Line("disruption: all open connections are silent from now on, new ones work");
    silent_before = at;
  }
  std::vector<std::string> jobs;
  std::map<std::string, std::int64_t> accepted_at;
  int next = 300;
  std::int64_t gap = 0, longest = 0, first_idle = 0;
  std::int64_t next_job = at + 4000;
  const std::int64_t until = at + 45'000;
  while (Now() < until) {
    Sleep(100);
    const int running = d.fleet.Running(Id(2));
    // Counted from the first look at which nothing ran, so never longer than it was.
    if (running > 0) first_idle = 0;
    else if (first_idle == 0) first_idle = Now();
    gap = running > 0 ? 0 : Now() - first_idle;
    longest = std::max(longest, gap);
    if (Now() >= next_job && Now() < until - 10'000) {
      next_job += 2000;
      const std::string path = "/blending/" + Id(next++);
      jobs.push_back(path);
      std::thread([&d, path] { d.system.Submit(path, Body("100", 1, 500, 100), 9000); }).detach();
    }
  }
  std::int64_t first = -1;
  for (const auto& it : d.fleet.Starts()) {
    if (it.at > at && it.task.rfind(Id(2), 0) != 0 && first < 0) first = it.at - at;
  }
  return Verdict(longest > 9000, "the lasting job had nothing running for " + std::to_string(longest) +
                                     " ms; the first start was " + std::to_string(first) + " ms after the disruption");
}

// The owner freezes and wakes again; its idle connections take up the executors' limits.
int Crowded() {
  constexpr int kConnections = 64;
  constexpr int kRounds = 10;  // at most
  constexpr int kJobs = 16;  // a service and round
  constexpr int kWidth = 24;
  Deployment& d = Deploy(4, 260, kConnections, 7);
  if (!d.Begin()) return CannotRun("the system is not ready");
  d.fleet.verbose = false;
  int number = 100;
  // The same clients hand in jobs in rounds, until each executor was once given as many at one moment as it has room for.
  for (int round = 0; round < kRounds && d.fleet.LeastConnections() < kConnections; ++round) {
    std::vector<std::thread> clients;
    std::vector<std::string> paths;
    for (const auto& service : d.services) {
      for (int n = 0; n < kJobs; ++n) paths.push_back("/" + service + "/" + Id(number++));
    }
    for (const auto& path : paths) {
      clients.emplace_back([&d, path] { d.system.Submit(path, Body("600", kWidth, 400, 600), 9000); });
    }
    for (auto& it : clients) it.join();
    for (const auto& path : paths) {
      if (!d.system.AwaitState(path, "completed", 15'000)) return CannotRun("no job completed");
    }
  }
  Sleep(1000);
  d.fleet.verbose = true;
  d.fleet.RecordConnections();
  const int owner = d.system.NodeOf(OwnerOf(d.store));
  if (kTrouble) {
    d.system.Signal(owner, SIGSTOP);
    Sleep(3500);
    d.system.Signal(owner, SIGCONT);
  }
  Sleep(9000);
  // The disruption is over for contact_ms: these jobs are accepted, and there is room for all of them.
  std::vector<std::string> jobs;
  for (int n = 2; n < 8; ++n) {
    jobs.push_back("/orders/" + Id(n));
    if (!d.system.Submit(jobs.back(), Body("300", 2, 1000, 300))) return CannotRun("a job is not accepted");
  }
  Sleep(14'000);
  d.fleet.RecordConnections();
  record.Line("store: the owner was %s and is %s", d.system.Name(owner).c_str(), OwnerOf(d.store).c_str());
  const Judged j = Judge(jobs, "orders");
  return Verdict(j.waiting > 0 && j.used < 0.5, Say(j, jobs.size(), 14));
}

}  // namespace

int main(int argc, char** argv) {
  if (argc < 3) return 2;
  ::signal(SIGPIPE, SIG_IGN);
  ::alarm(118);
  record.Open(argv[2]);
  const std::string name = argv[1];
  int status = 2;
  if (name == "waves") status = Waves();
  if (name == "repeated") status = Repeated();
  if (name == "past") status = Past();
  if (name == "removed") status = Removed();
  if (name == "crowded") status = Crowded();
  if (name == "silent") status = Silent();
  if (name == "cancelled") status = Cancelled();
  if (deployed) deployed->system.End();
  std::fflush(nullptr);
  // The threads of the stand-ins end with the process.
  std::_Exit(status);
}
