// Lasting jobs whose tasks are kept apart fill a service of eight executors evenly and lightly. One
// executor is lost for good. Ordinary jobs that come later find seven executors mostly free.
#include "standin.hpp"

using namespace review;

namespace {

constexpr int kExecutors = 8;
constexpr int kLastingJobs = 7;

awaitable<int> Scenario(World& world) {
  for (int n = 0; n < kExecutors; ++n) {
    world.AddExecutor({"press-" + std::to_string(n), "vm-p" + std::to_string(n), "press"});
  }
  world.executors.quiet = true;
  world.WriteConfig(1, {{"archive", "press"}, {"quotes", "press"}}, {"press"});
  world.StartDaemons(3);
  co_await world.AwaitReady();
  co_await world.AwaitOwner();
  co_await Sleep(1000);
  for (int n = 0; n < kLastingJobs; ++n) {
    json::object step{{"count", kExecutors}, {"cpu", 1000},       {"mem_mb", 200},
                      {"estimate_ms", 900},  {"perpetual", true}, {"anti_affinity", 1}};
    json::object body{{"spec", R"({"steps":[{"lasts":1,"cpu":1000}]})"}, {"steps", json::array{step}}};
    if (!co_await world.Submit("archive", JobId(n), body)) world.Abort("a job was not accepted");
  }
  co_await Sleep(3000);
  for (int n = 0; n < kLastingJobs; ++n) {
    Rec()("lasting job " + JobId(n) + ": " + std::to_string(world.Running(JobId(n))) +
          " tasks run");
  }
  if (world.trouble) world.Crash(*world.executors.all[3]);
  co_await Sleep(12'000);
  world.executors.quiet = false;
  std::vector<std::string> accepted;
  for (int n = 100; n < 105; ++n) {
    json::object step{{"count", 2}, {"cpu", 1000}, {"mem_mb", 100}, {"estimate_ms", 800}};
    json::object body{{"spec", R"({"steps":[{"ms":800,"cpu":1000}]})"}, {"steps", json::array{step}}};
    if (co_await world.Submit("quotes", JobId(n), body)) accepted.push_back(JobId(n));
    co_await Sleep(200);
  }
  if (accepted.empty()) world.Abort("no ordinary job was accepted");
  Rec()("the traffic has ended");
  co_await Sleep(14'000);  // finish_s
  std::map<std::string, bool> ran;
  double in_use = 0;
  for (int n = 0; n < 60; ++n) {
    for (const auto& it : accepted) ran[it] = ran[it] || world.Running(it) > 0;
    in_use = std::max(in_use, world.InUse("press"));
    co_await Sleep(50);
  }
  Rec()("in use of the capacity of the service, at most: " + std::to_string(in_use));
  int lost = 0;
  for (const auto& it : accepted) {
    const std::string state = co_await world.State("quotes", it);
    const bool broken = state != "completed" && !ran[it] && in_use < 0.5;
    Rec()("job " + it + ": state '" + state + "'" + (ran[it] ? "" : ", nothing ran for 3 s") +
          (broken ? "; LOST" : ""));
    lost += broken ? 1 : 0;
  }
  co_return lost > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  World world(argc, argv);
  const int status = world.Run([&] { return Scenario(world); });
  world.~World();
  std::_Exit(status);
}
