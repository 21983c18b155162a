// A lasting job that serves and one that fills beside it, each kept apart, share eight executors.
// One executor with a serving task is lost for good.
#include "standin.hpp"

using namespace review;

namespace {

awaitable<int> Scenario(World& world) {
  for (int n = 0; n < 8; ++n) {
    world.AddExecutor({"press-" + std::to_string(n), "vm-p" + std::to_string(n), "press"});
  }
  world.WriteConfig(1, {{"archive", "press"}}, {"press"});
  world.StartDaemons(3);
  co_await world.AwaitReady();
  co_await world.AwaitOwner();
  co_await Sleep(1000);
  const std::string spec = R"({"steps":[{"lasts":1,"cpu":2700}]})";
  json::object serving{{"count", 5},         {"cpu", 2700},       {"mem_mb", 200},
                       {"estimate_ms", 900}, {"perpetual", true}, {"anti_affinity", 1},
                       {"target_ms", 200},   {"image", "web"}};
  json::object filling{{"count", 3},         {"cpu", 2700},       {"mem_mb", 200},
                       {"estimate_ms", 900}, {"perpetual", true}, {"anti_affinity", 1},
                       {"fills", true},      {"image", "sweep"}};
  json::object first{{"spec", spec}, {"steps", json::array{serving}}};
  json::object second{{"spec", spec}, {"steps", json::array{filling}}};
  const bool accepted = co_await world.Submit("archive", JobId(1), first);
  if (!accepted) world.Abort("the serving job was not accepted");
  while (world.Running(JobId(1)) < 5) co_await Sleep(50);
  const bool also = co_await world.Submit("archive", JobId(2), second);
  if (!also) world.Abort("the filling job was not accepted");
  co_await Sleep(3000);
  Rec()("serving tasks: " + std::to_string(world.Running(JobId(1))) +
        ", filling tasks: " + std::to_string(world.Running(JobId(2))));
  if (world.trouble) {
    for (const auto& it : world.executors.all) {
      const auto& rows = it->running();
      const bool serves = !rows.empty() && rows.begin()->first.rfind(JobId(1), 0) == 0;
      if (!serves) continue;
      world.Crash(*it);
      break;
    }
  }
  Rec()("the traffic has ended");
  co_await Sleep(20'000);  // lease, 6 s after its last run, and finish_s
  int least = 5;
  for (int n = 0; n < 60; ++n) {
    least = std::min(least, world.Running(JobId(1)));
    co_await Sleep(50);
  }
  int most = 0;
  for (int n = 0; n < 20; ++n) {
    most = std::max(most, world.Running(JobId(1)));
    co_await Sleep(50);
  }
  Rec()("serving tasks that run: " + std::to_string(least) + " to " + std::to_string(most) +
        " of 5; in use of the capacity: " + std::to_string(world.InUse("press")));
  co_return most < 5 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) {
  World world(argc, argv);
  const int status = world.Run([&] { return Scenario(world); });
  world.~World();
  std::_Exit(status);
}
