// Two teams with shares 3 and 1 queue more work than there are slots. The scheduler starts the work
// in proportion to the shares, and urgent work first.

#include "sapphirewheel/coordination/fair_scheduler.h"

#include <iostream>
#include <map>
#include <string>

using namespace sapphirewheel;  // NOLINT(google-build-using-namespace)

namespace {

constexpr int kSlots = 8;
constexpr Millis kTaskTime{100};

FleetConfig TwoTeams() {
  FleetConfig config;
  std::int64_t version = 0;
  const auto add = [&](const char* team, std::int64_t share) {
    const ConfigVersion next(++version);
    return ApplyEntry(config, {next, PlanId("p"), TeamChange{TeamId(team), Share(share), Slots(8)}})
        .has_value();
  };
  if (!add("brewers", 3) || !add("greasers", 1)) std::abort();
  return config;
}

}  // namespace

int main() {
  FairScheduler scheduler(FairScheduler::Settings{});
  scheduler.OnConfig(TwoTeams());
  MonotonicTime now(Millis(1000));
  for (int i = 0; i < 400; ++i) {
    for (const char* team : {"brewers", "greasers"}) {
      WorkItem item;
      item.task = TaskId(std::string(team) + "-" + std::to_string(i));
      item.team = TeamId(team);
      item.service = ServiceId("mix");
      item.urgent = i == 399;
      item.arrived = now;
      if (!scheduler.Enqueue(item)) return 1;
    }
  }

  std::map<TeamId, int> started;
  bool urgent_first = true;
  for (int round = 0; round < 40; ++round) {
    int free = kSlots;
    std::map<TeamId, int> running;
    const auto start = [&](const WorkItem& item) {
      if (free == 0) return false;
      --free;
      urgent_first = urgent_first && (item.urgent || round > 0 || free < kSlots - 2);
      ++running[item.team];
      return true;
    };
    scheduler.Dispatch(
        start, [&](const ServiceId&) { return Slots(free); }, now);
    now += kTaskTime;
    for (const auto& [team, n] : running) {
      started[team] += n;
      for (int i = 0; i < n; ++i) scheduler.Charge(team, Slots(1), kTaskTime);
    }
  }
  const int brewers = started[TeamId("brewers")];
  const int greasers = started[TeamId("greasers")];
  std::cout << "started for brewers " << brewers << ", for greasers " << greasers << "\n";
  const bool fair = brewers > 2.5 * greasers && brewers < 3.5 * greasers;
  return fair && urgent_first ? 0 : 1;
}
