// One large job of many short tasks is accepted. Ordinary jobs that come later are accepted too.
#include "standin.hpp"

using namespace review;

namespace {

constexpr int kLargeTasks = 15'000;

awaitable<int> Scenario(World& world) {
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

}  // namespace

int main(int argc, char** argv) {
  World world(argc, argv);
  const int status = world.Run([&] { return Scenario(world); });
  world.~World();
  std::_Exit(status);
}
