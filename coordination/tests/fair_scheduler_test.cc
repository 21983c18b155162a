#include "sapphirewheel/coordination/fair_scheduler.h"

#include <map>
#include <string>

#include "CppUTest/TestHarness.h"

using namespace sapphirewheel;

namespace {

MonotonicTime At(std::int64_t ms) { return MonotonicTime(Millis(ms)); }

WorkItem Item(const std::string& task, const std::string& team, std::int64_t slots = 1,
              bool urgent = false) {
  WorkItem item;
  item.task = TaskId(task);
  item.team = TeamId(team);
  item.service = ServiceId("s");
  item.slots = Slots(slots);
  item.urgent = urgent;
  return item;
}

FleetConfig Shares() {
  FleetConfig config;
  config.teams[TeamId("a")] = {TeamId("a"), Share(1), Slots(100)};
  config.teams[TeamId("b")] = {TeamId("b"), Share(3), Slots(100)};
  return config;
}

Slots Unlimited(const ServiceId&) { return Slots(1000); }

}  // namespace

// clang-format off
TEST_GROUP(FairScheduler) {};
// clang-format on

// Guards against a full fleet that is not divided by share, also if one team submits first.
TEST(FairScheduler, DividesAFullFleetByShare) {
  FairScheduler scheduler({});
  scheduler.OnConfig(Shares());
  for (int i = 0; i < 2000; ++i) {
    CHECK_TRUE(scheduler.Enqueue(Item("a" + std::to_string(i), "a")).has_value());
    CHECK_TRUE(scheduler.Enqueue(Item("b" + std::to_string(i), "b")).has_value());
  }
  std::map<TeamId, int> placed;
  for (int round = 0; round < 100; ++round) {
    std::map<TeamId, int> running;
    int free = 8;
    const auto place = [&](const WorkItem& item) {
      if (free == 0) return false;
      --free;
      ++running[item.team];
      return true;
    };
    static_cast<void>(scheduler.Dispatch(
        place, [&](const ServiceId&) { return Slots(free); }, At(round)));
    for (const auto& [team, n] : running) {
      placed[team] += n;
      for (int i = 0; i < n; ++i) scheduler.Charge(team, Slots(1), Millis(200));
    }
  }
  CHECK_TRUE(placed[TeamId("a")] > 180 && placed[TeamId("a")] < 220);
  CHECK_TRUE(placed[TeamId("b")] > 580);
}

// Guards against urgent work that waits behind normal work of other teams.
TEST(FairScheduler, OffersUrgentWorkFirst) {
  FairScheduler scheduler({});
  CHECK_TRUE(scheduler.Enqueue(Item("n", "a")).has_value());
  CHECK_TRUE(scheduler.Enqueue(Item("u", "b", 1, true)).has_value());
  std::string order;
  static_cast<void>(scheduler.Dispatch(
      [&](const WorkItem& item) {
        order += item.task.str();
        return true;
      },
      Unlimited, At(0)));
  STRCMP_EQUAL("un", order.c_str());
  LONGS_EQUAL(0, scheduler.size());
}

// Guards against head-of-line blocking by an item that does not fit, and against its starvation.
TEST(FairScheduler, SkipsAndThenReservesForALargeItem) {
  FairScheduler scheduler({});
  CHECK_TRUE(scheduler.Enqueue(Item("large", "a", 4)).has_value());
  for (int i = 0; i < 100; ++i) {
    CHECK_TRUE(scheduler.Enqueue(Item("s" + std::to_string(i), "b")).has_value());
  }
  int free = 1;
  bool large_placed = false;
  const auto place = [&](const WorkItem& item) {
    if (item.slots > Slots(free)) return false;
    free -= static_cast<int>(item.slots.count());
    large_placed = large_placed || item.task == TaskId("large");
    return true;
  };
  const auto left = [&](const ServiceId&) { return Slots(free); };
  LONGS_EQUAL(1, scheduler.Dispatch(place, left, At(0)));
  // Two slots become free per second; without the reservation the small items would take them.
  for (int second = 1; second < 10 && !large_placed; ++second) {
    free += 2;
    static_cast<void>(scheduler.Dispatch(place, left, At(second * 1000)));
  }
  CHECK_TRUE(large_placed);
}

// Guards against capacity that is reserved for a team at its limit, which must not use it.
TEST(FairScheduler, ReservesNothingForATeamAtItsLimit) {
  FairScheduler scheduler({});
  scheduler.SetLimitAdmits([](const TeamId& team, Slots) { return team != TeamId("a"); });
  CHECK_TRUE(scheduler.Enqueue(Item("large", "a", 4)).has_value());
  const auto place = [](const WorkItem& item) { return item.team != TeamId("a"); };
  const auto left = [](const ServiceId&) { return Slots(4); };
  static_cast<void>(scheduler.Dispatch(place, left, At(5000)));
  CHECK_TRUE(scheduler.Enqueue(Item("small", "b")).has_value());
  LONGS_EQUAL(1, scheduler.Dispatch(place, left, At(6000)));
}

// Guards against capacity that stays reserved forever for an item that is blocked by something
// other than capacity.
TEST(FairScheduler, EndsAReservationThatCannotBeUsed) {
  FairScheduler scheduler({});
  CHECK_TRUE(scheduler.Enqueue(Item("large", "a", 4)).has_value());
  const auto place = [](const WorkItem& item) { return item.team != TeamId("a"); };
  const auto left = [](const ServiceId&) { return Slots(4); };
  static_cast<void>(scheduler.Dispatch(place, left, At(5000)));
  CHECK_TRUE(scheduler.Enqueue(Item("small", "b")).has_value());
  LONGS_EQUAL(0, scheduler.Dispatch(place, left, At(34000)));
  LONGS_EQUAL(1, scheduler.Dispatch(place, left, At(35000)));
  CHECK_TRUE(scheduler.Enqueue(Item("later", "b")).has_value());
  LONGS_EQUAL(1, scheduler.Dispatch(place, left, At(60000)));
}

// Guards against dispatch after the deadline, and against counters that become wrong.
TEST(FairScheduler, TakesExpiredItemsAndKeepsCounts) {
  FairScheduler scheduler({});
  WorkItem item = Item("x", "a");
  item.deadline = At(100);
  CHECK_TRUE(scheduler.Enqueue(item).has_value());
  CHECK_TRUE(scheduler.Enqueue(Item("y", "a")).has_value());
  LONGS_EQUAL(2, scheduler.Queued(ServiceId("s"), false));
  const auto expired = scheduler.TakeExpired(At(100));
  LONGS_EQUAL(1, expired.size());
  CHECK_TRUE(expired[0].task == TaskId("x"));
  CHECK_TRUE(scheduler.Remove(TaskId("y")));
  CHECK_FALSE(scheduler.Remove(TaskId("y")));
  LONGS_EQUAL(0, scheduler.QueuedForTeam(TeamId("a")));
  LONGS_EQUAL(0, scheduler.size());
}

// Guards against one team that fills the whole queue.
TEST(FairScheduler, RefusesAboveTheTeamsPartOfTheQueue) {
  FairScheduler::Settings settings;
  settings.max_items = 10;
  settings.max_items_per_team = 2;
  FairScheduler scheduler(settings);
  CHECK_TRUE(scheduler.Enqueue(Item("1", "a")).has_value());
  CHECK_TRUE(scheduler.Enqueue(Item("2", "a")).has_value());
  const auto refused = scheduler.Enqueue(Item("3", "a"));
  CHECK_TRUE(refused.has_error() && refused.error().kind == ErrorKind::kOverloaded);
  CHECK_TRUE(refused.error().retry_after.has_value());
  CHECK_TRUE(scheduler.Enqueue(Item("4", "b")).has_value());
}
