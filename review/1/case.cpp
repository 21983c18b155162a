// A queue was moved to another service by a configuration. Later one executor of its former service
// is cut off and runs on, while the daemon that owns the fleet is stopped in a rolling restart.
#include "standin.hpp"

using namespace review;

namespace {

awaitable<int> Scenario(World& world) {
  for (int n = 0; n < 9; ++n) {
    world.AddExecutor({"press-" + std::to_string(n), "vm-p" + std::to_string(n), "press"});
  }
  for (int n = 0; n < 3; ++n) {
    world.AddExecutor({"oven-" + std::to_string(n), "vm-o" + std::to_string(n), "oven"});
  }
  world.WriteConfig(1, {{"labels", "press"}}, {"press", "oven"});
  world.StartDaemons(3);
  co_await world.AwaitReady();
  const int owner = co_await world.AwaitOwner();
  co_await Sleep(1000);
  const std::string job = JobId(1);
  const std::string spec = R"({"steps":[{"ms":25000,"cpu":1000}]})";
  json::object step{{"count", 9},
                    {"cpu", 1000},
                    {"mem_mb", 100},
                    {"estimate_ms", 25000},
                    {"anti_affinity", 1}};
  json::object body{{"spec", spec}, {"steps", json::array{step}}};
  if (!co_await world.Submit("labels", job, body)) world.Abort("the job was not accepted");
  const std::int64_t until = NowMs() + 5000;
  while (world.Running(job) < 9 && NowMs() < until) co_await Sleep(50);
  if (world.Running(job) < 9) world.Abort("the tasks did not start");
  world.WriteConfig(2, {{"labels", "oven"}}, {"press", "oven"});
  co_await Sleep(5000);  // config_ms is 2,000, contact_ms 3,000
  if (world.Owner() != owner) world.Abort("the ownership changed before the disruption");
  if (world.trouble) world.executors.all[4]->SetCut(true);
  co_await Sleep(500);
  Rec()("daemon " + world.daemons[owner]->name() + ", the owner, gets SIGTERM");
  world.daemons[owner]->Kill(SIGTERM);
  co_await Sleep(5000);
  if (world.trouble) world.executors.all[4]->SetCut(false);  // after 5.5 s
  co_await Sleep(2000);
  if (!world.daemons[owner]->Running()) world.daemons[owner]->Start();
  co_await Sleep(4000);
  co_return world.executors.twice.empty() ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  World world(argc, argv);
  const int status = world.Run([&] { return Scenario(world); });
  world.~World();
  std::_Exit(status);
}
