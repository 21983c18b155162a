// Two waves that have machines in common are due at the same time.
#include "standin.hpp"

using namespace review;

namespace {

awaitable<int> Scenario(World& world) {
  for (int n = 0; n < 9; ++n) {
    world.AddExecutor({"press-" + std::to_string(n), "vm-p" + std::to_string(n), "press"});
  }
  world.WriteConfig(1, {{"labels", "press"}}, {"press"});
  world.StartDaemons(3);
  co_await world.AwaitReady();
  co_await world.AwaitOwner();
  co_await Sleep(2000);
  // 4 of 9 machines each (share 0.44).
  if (world.trouble) world.cloud->OrderWave(1, {"vm-p0", "vm-p1", "vm-p2", "vm-p3"}, 2, 26);
  co_await Sleep(1000);
  world.cloud->OrderWave(2, {"vm-p0", "vm-p1", "vm-p4", "vm-p5"}, 2, 26);
  const std::int64_t until = NowMs() + 40'000;
  while (NowMs() < until) {
    co_await Sleep(20);
    const auto row = world.store->Get("status", "", "wave/2");
    if (!row || Text(ParseBody(*row), "state") != "completed") continue;
    Rec()("status/wave/2 is said to be completed");
    int missing = 0;
    for (const auto& it : world.cloud->waves[2].machines) {
      if (world.cloud->machines[it].waves.count(2) > 0) continue;
      Rec()("MIXED: " + it + " has not begun its upkeep of wave 2");
      ++missing;
    }
    co_return missing > 0 ? 1 : 0;
  }
  Rec()("wave 2 was not completed in 40 s");
  co_return 2;
}

}  // namespace

int main(int argc, char** argv) {
  World world(argc, argv);
  const int status = world.Run([&] { return Scenario(world); });
  world.~World();
  std::_Exit(status);
}
