// Faults that the review has shown beside its cases; see REPORT.md. No cases.
// Use: further gang|large|waiting RECORD [0]; 0 leaves the trouble out.
#include "standin.hpp"

using namespace review;

namespace {

// A gang whose members are to be kept apart, on four idle executors.
awaitable<int> Gang(World& world) {
  for (int n = 0; n < 4; ++n) {
    world.AddExecutor({"press-" + std::to_string(n), "vm-p" + std::to_string(n), "press"});
  }
  world.WriteConfig(1, {{"quotes", "press"}}, {"press"});
  world.StartDaemons(3);
  co_await world.AwaitReady();
  co_await world.AwaitOwner();
  co_await Sleep(1000);
  json::object step{{"count", 3},           {"cpu", 1000},  {"mem_mb", 100},
                    {"estimate_ms", 1000}, {"gang", true}};
  if (world.trouble) step["anti_affinity"] = 1;
  json::object body{{"spec", R"({"steps":[{"ms":1000,"cpu":1000,"gang":3}]})"},
                    {"steps", json::array{step}}};
  if (!co_await world.Submit("quotes", JobId(1), body)) world.Abort("the job was not accepted");
  Rec()("the traffic has ended");
  co_await Sleep(14'000);  // finish_s
  bool ran = false;
  for (int n = 0; n < 60; ++n) {
    ran = ran || world.Running(JobId(1)) > 0;
    co_await Sleep(50);
  }
  const std::string state = co_await world.State("quotes", JobId(1));
  const bool broken = state != "completed" && !ran && world.InUse("press") < 0.5;
  Rec()("job " + JobId(1) + ": state '" + state + "'" + (ran ? "" : ", nothing ran for 3 s") +
        (broken ? "; LOST" : ""));
  co_return broken ? 1 : 0;
}

// One job of very many tasks is accepted, far more than the site's own jobs have.
constexpr int kLargeTasks = 15'000;

awaitable<int> Large(World& world) {
  for (int n = 0; n < 4; ++n) {
    world.AddExecutor({"press-" + std::to_string(n), "vm-p" + std::to_string(n), "press"});
  }
  for (int n = 0; n < 2; ++n) {
    world.AddExecutor({"oven-" + std::to_string(n), "vm-o" + std::to_string(n), "oven"});
  }
  world.executors.quiet = true;
  world.WriteConfig(1, {{"labels", "press"}, {"quotes", "oven"}}, {"press", "oven"});
  world.StartDaemons(3);
  co_await world.AwaitReady();
  co_await world.AwaitOwner();
  co_await Sleep(1000);
  if (world.trouble) {
    json::object step{{"count", kLargeTasks}, {"cpu", 400}, {"mem_mb", 100}, {"estimate_ms", 500}};
    json::object body{{"spec", R"({"steps":[{"ms":500,"cpu":400}]})"}, {"steps", json::array{step}}};
    if (!co_await world.Submit("labels", JobId(0), body)) {
      Rec()("the large job was not accepted");
      co_return 0;
    }
    const std::int64_t until = NowMs() + 50'000;
    std::int64_t next = 0;
    while (NowMs() < until && static_cast<int>(world.executors.done.size()) < kLargeTasks &&
           world.store->refused_large() < 3) {
      if (NowMs() > next) {
        next = NowMs() + 2000;
        Rec()("tasks of the large job that ended done: " +
              std::to_string(world.executors.done.size()));
      }
      co_await Sleep(100);
    }
    Rec()("tasks of the large job that ended done: " + std::to_string(world.executors.done.size()));
  }
  co_await Sleep(4000);
  // Ordinary jobs, on another service whose executors are idle.
  std::vector<std::string> accepted;
  world.executors.quiet = false;
  for (int n = 1; n <= 5; ++n) {
    json::object step{{"count", 2}, {"cpu", 1000}, {"mem_mb", 100}, {"estimate_ms", 800}};
    json::object body{{"spec", R"({"steps":[{"ms":800,"cpu":1000}]})"}, {"steps", json::array{step}}};
    if (co_await world.Submit("quotes", JobId(n), body)) accepted.push_back(JobId(n));
    co_await Sleep(200);
  }
  if (accepted.empty()) world.Abort("no ordinary job was accepted");
  Rec()("the traffic has ended");
  // finish_s is 14; then nothing of the job runs for 3 s.
  co_await Sleep(14'000);
  std::map<std::string, bool> ran;
  for (int n = 0; n < 60; ++n) {
    for (const auto& it : accepted) ran[it] = ran[it] || world.Running(it) > 0;
    co_await Sleep(50);
  }
  int lost = 0;
  for (const auto& it : accepted) {
    const std::string state = co_await world.State("quotes", it);
    const int ends = static_cast<int>(world.executors.done.count(it + ".0.0.0") +
                                      world.executors.done.count(it + ".0.0.1"));
    const bool broken = state != "completed" && ends < 2 && !ran[it];
    Rec()("job " + it + ": state '" + state + "', tasks that have ended done " +
          std::to_string(ends) + (ran[it] ? ", runs" : ", nothing ran for 3 s") +
          (broken ? "; LOST" : ""));
    lost += broken ? 1 : 0;
  }
  Rec()("calls that the store refused for their size: " +
        std::to_string(world.store->refused_large()));
  co_return lost > 0 ? 1 : 0;
}

// Jobs whose first start was ordered of an executor that has just crashed are not counted as waiting.
awaitable<int> Waiting(World& world) {
  for (int n = 0; n < 8; ++n) {
    world.AddExecutor({"press-" + std::to_string(n), "vm-p" + std::to_string(n), "press"});
  }
  world.WriteConfig(1, {{"archive", "press"}, {"quotes", "press"}}, {"press"});
  world.StartDaemons(3);
  co_await world.AwaitReady();
  co_await world.AwaitOwner();
  co_await Sleep(1000);
  for (int n = 0; n < 7; ++n) {
    json::object step{{"count", 1}, {"cpu", 30000}, {"mem_mb", 100}, {"estimate_ms", 60000}};
    json::object body{{"spec", R"({"steps":[{"ms":60000,"cpu":30000}]})"}, {"steps", json::array{step}}};
    if (!co_await world.Submit("archive", JobId(n), body)) world.Abort("a job was not accepted");
  }
  co_await Sleep(1000);
  Executor* idle = nullptr;
  for (const auto& it : world.executors.all) if (it->Idle()) idle = it.get();
  if (idle == nullptr) world.Abort("no idle executor");
  if (world.trouble) world.Crash(*idle);
  std::vector<std::string> accepted;
  for (int n = 100; n < 106; ++n) {
    json::object step{{"count", 1}, {"cpu", 5000}, {"mem_mb", 100}, {"estimate_ms", 40000}};
    json::object body{{"spec", R"({"steps":[{"ms":40000,"cpu":5000}]})"}, {"steps", json::array{step}}};
    if (co_await world.Submit("quotes", JobId(n), body)) accepted.push_back(JobId(n));
  }
  const std::int64_t last = NowMs();
  int broken = 0;
  while (NowMs() < last + 20000) {
    co_await Sleep(1000);
    int not_begun = 0;
    for (const auto& it : accepted) {
      bool begun = false;
      for (const auto& s : world.executors.starts) begun = begun || s.task.rfind(it + ".", 0) == 0;
      not_begun += begun ? 0 : 1;
    }
    for (const auto& d : world.daemons) {
      const Reply reply = co_await Call(d->front(), "GET", "/quotes/", "", 3000);
      const std::int64_t waiting = Int(reply.body, "waiting", -1);
      Rec()("client: GET /quotes/ at " + d->name() + " -> " + std::to_string(reply.status) + " waiting " + std::to_string(waiting) + "; accepted and not begun: " + std::to_string(not_begun));
      // visible_ms + 2 s, and the count may be 2 s old
      if (reply.status == 200 && NowMs() > last + 8000 && 2 * waiting < not_begun) ++broken;
    }
  }
  co_return broken > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  const std::string name = argc > 1 ? argv[1] : "";
  World world(argc - 1, argv + 1);
  const int status = world.Run([&] {
    if (name == "gang") return Gang(world);
    if (name == "large") return Large(world);
    if (name == "waiting") return Waiting(world);
    std::cerr << "further gang|large|waiting RECORD [0]" << std::endl;
    std::_Exit(2);
  });
  world.~World();
  std::_Exit(status);
}
