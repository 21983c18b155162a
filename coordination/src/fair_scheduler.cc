#include "sapphirewheel/coordination/fair_scheduler.h"

#include <algorithm>
#include <limits>
#include <queue>

namespace sapphirewheel {
namespace {

// Weight of a new charge in the moving average of the charged times.
constexpr double kMeanSecondsWeight = 0.1;

Error Overloaded(const std::string& what) {
  return {ErrorKind::kOverloaded, what + " is full", "retry later or with fewer requests at once",
          RunState::kNotRun, Millis(1000)};
}

}  // namespace

// State of one call of Dispatch.
struct FairScheduler::DispatchPass {
  struct Cursor {
    std::uint64_t next = 0;
    // Items with at least this many slots do not fit.
    Slots min_failed{std::numeric_limits<std::int64_t>::max()};
  };
  const TryPlace& try_place;
  const FreeSlots& free_slots;
  MonotonicTime now;
  std::map<std::pair<TeamId, ServiceId>, Cursor> cursors;
  std::size_t placed = 0;
};

FairScheduler::FairScheduler(Settings settings) : settings_(settings) {}

void FairScheduler::OnConfig(const FleetConfig& config) {
  for (auto& [id, team] : teams_) team.share = Share(1);
  for (const auto& [id, change] : config.teams) teams_[id].share = change.share;
  groups_.clear();
  for (const auto& [id, pool] : config.pools) {
    for (const ServiceId& service : pool.services) {
      const ServiceId joined = GroupOf(service);
      const ServiceId group = GroupOf(pool.services.front());
      groups_.emplace(service, group);
      for (auto& [member, leader] : groups_) {
        if (leader == joined) leader = group;
      }
    }
  }
  reservations_.clear();
}

const ServiceId& FairScheduler::GroupOf(const ServiceId& service) const {
  const auto it = groups_.find(service);
  return it == groups_.end() ? service : it->second;
}

Result<void> FairScheduler::Enqueue(WorkItem item) {
  if (size_ >= settings_.max_items) return Overloaded("the queue");
  TeamQueue& team = teams_[item.team];
  if (team.queued >= static_cast<std::int64_t>(settings_.max_items_per_team)) {
    return Overloaded("the queue of team " + item.team.str());
  }
  const std::uint64_t sequence = next_sequence_++;
  const Position position{item.team, item.service, item.urgent, sequence};
  if (!positions_.emplace(item.task, position).second) {
    return Error{ErrorKind::kInvalidArgument, "task " + item.task.str() + " is already queued",
                 "use a new task id for each attempt", RunState::kNotRun, std::nullopt};
  }
  if (team.queued == 0) team.virtual_time = std::max(team.virtual_time, virtual_now_);
  if (item.deadline != MonotonicTime{}) deadlines_.emplace(item.deadline, item.task);
  ++queued_[{item.service, item.urgent}];
  ++team.queued;
  ++size_;
  ClassQueue& queue = item.urgent ? team.urgent : team.normal;
  ServiceQueue& items = queue[item.service];
  items.emplace(sequence, std::move(item));
  return boost::outcome_v2::success();
}

bool FairScheduler::Remove(const TaskId& task) {
  if (!positions_.contains(task)) return false;
  Erase(task);
  return true;
}

void FairScheduler::Erase(const TaskId& id) {
  const auto node = positions_.extract(id);
  const TaskId& task = node.key();
  const Position& position = node.mapped();
  TeamQueue& team = teams_[position.team];
  ClassQueue& queue = position.urgent ? team.urgent : team.normal;
  ServiceQueue& items = queue[position.service];
  const auto item = items.find(position.sequence);
  deadlines_.erase({item->second.deadline, task});
  const auto reservation = reservations_.find(GroupOf(position.service));
  if (reservation != reservations_.end() && reservation->second.task == task) {
    reservations_.erase(reservation);
  }
  items.erase(item);
  if (items.empty()) queue.erase(position.service);
  --team.queued;
  --size_;
  const auto count = queued_.find({position.service, position.urgent});
  if (--count->second == 0) queued_.erase(count);
}

std::size_t FairScheduler::Dispatch(const TryPlace& try_place, const FreeSlots& free_slots,
                                    MonotonicTime now) {
  DispatchPass pass{try_place, free_slots, now, {}, 0};
  DispatchClass(pass, true);
  pass.cursors.clear();
  DispatchClass(pass, false);
  return pass.placed;
}

void FairScheduler::DispatchClass(DispatchPass& pass, bool urgent) {
  using Entry = std::pair<double, TeamId>;
  std::priority_queue<Entry, std::vector<Entry>, std::greater<>> order;
  for (const auto& [id, team] : teams_) {
    const ClassQueue& queue = urgent ? team.urgent : team.normal;
    if (!queue.empty()) order.emplace(team.virtual_time, id);
  }
  while (!order.empty()) {
    const TeamId id = order.top().second;
    order.pop();
    TeamQueue& team = teams_[id];
    const double start = team.virtual_time;
    if (!PlaceNext(pass, id, team, urgent)) continue;
    virtual_now_ = std::max(virtual_now_, start);
    ++pass.placed;
    if (!(urgent ? team.urgent : team.normal).empty()) order.emplace(team.virtual_time, id);
  }
}

// Places the team's earliest item that fits.
bool FairScheduler::PlaceNext(DispatchPass& pass, const TeamId& id, TeamQueue& team, bool urgent) {
  ClassQueue& queue = urgent ? team.urgent : team.normal;
  std::vector<std::pair<std::uint64_t, ServiceId>> heads;
  for (const auto& [service, items] : queue) heads.emplace_back(items.begin()->first, service);
  std::sort(heads.begin(), heads.end());
  for (const auto& [sequence, service] : heads) {
    if (PlaceFrom(pass, id, team, service, queue[service])) return true;
  }
  return false;
}

bool FairScheduler::PlaceFrom(DispatchPass& pass, const TeamId& id, TeamQueue& team,
                              const ServiceId& service, ServiceQueue& queue) {
  DispatchPass::Cursor& cursor = pass.cursors[{id, service}];
  for (auto it = queue.lower_bound(cursor.next); it != queue.end(); ++it) {
    if (cursor.min_failed <= Slots(1)) return false;
    const WorkItem& item = it->second;
    cursor.next = it->first + 1;
    if (item.slots >= cursor.min_failed) continue;
    if (item.deadline != MonotonicTime{} && item.deadline <= pass.now) continue;
    if (BlockedByReservation(pass, item)) {
      cursor.min_failed = item.slots;
    } else if (pass.try_place(item)) {
      ChargeInAdvance(team, item.slots);
      Erase(TaskId(item.task));
      return true;
    } else {
      cursor.min_failed = item.slots;
      Reserve(pass, item);
    }
  }
  return false;
}

// Whether placing the item would use capacity that is reserved for a larger one.
bool FairScheduler::BlockedByReservation(DispatchPass& pass, const WorkItem& item) const {
  const auto it = reservations_.find(GroupOf(item.service));
  if (it == reservations_.end()) return false;
  const Reservation& held = it->second;
  if (held.task.empty() || pass.now >= held.since + settings_.reserve_limit) return false;
  if (held.task == item.task || (item.urgent && !held.urgent)) return false;
  const std::int64_t growth = 1 + (pass.now - held.since) / settings_.reserve_after;
  return pass.free_slots(item.service) - item.slots < Slots(held.slots.count() * growth);
}

// Reserves capacity for an item that has waited for `reserve_after`. The reserved amount grows with
// time, because the free slots are counted in total but may be spread over several workers.
void FairScheduler::Reserve(DispatchPass& pass, const WorkItem& item) {
  if (item.slots <= Slots(1) || pass.now - item.arrived < settings_.reserve_after) return;
  if (limit_admits_ && !limit_admits_(item.team, item.slots)) {
    const auto held = reservations_.find(GroupOf(item.service));
    if (held != reservations_.end() && held->second.task == item.task) reservations_.erase(held);
    return;
  }
  const auto held = reservations_.find(GroupOf(item.service));
  if (held != reservations_.end() && pass.now >= held->second.since + settings_.reserve_limit) {
    if (held->second.task.empty()) {
      reservations_.erase(held);
    } else {
      held->second = {TaskId(), Slots(0), false, pass.now};
    }
  }
  const Reservation reservation{item.task, item.slots, item.urgent, pass.now};
  reservations_.try_emplace(GroupOf(item.service), reservation);
}

// Charges the expected use at dispatch, so that a team cannot take all free slots before its first
// task is charged.
void FairScheduler::ChargeInAdvance(TeamQueue& team, Slots slots) {
  const double expected = team.mean_seconds * static_cast<double>(slots.count());
  team.prepaid += expected;
  team.virtual_time += expected / static_cast<double>(team.share.count());
}

void FairScheduler::Charge(const TeamId& id, Slots slots, Millis used) {
  TeamQueue& team = teams_[id];
  const double seconds = static_cast<double>(used.count()) / 1000.0;
  const double amount = seconds * static_cast<double>(slots.count());
  team.mean_seconds += kMeanSecondsWeight * (seconds - team.mean_seconds);
  const double covered = std::min(team.prepaid, amount);
  team.prepaid -= covered;
  team.virtual_time += (amount - covered) / static_cast<double>(team.share.count());
}

std::vector<WorkItem> FairScheduler::TakeExpired(MonotonicTime now) {
  std::vector<WorkItem> expired;
  while (!deadlines_.empty() && deadlines_.begin()->first <= now) {
    const TaskId task = deadlines_.begin()->second;
    const Position& position = positions_.at(task);
    TeamQueue& team = teams_[position.team];
    ClassQueue& queue = position.urgent ? team.urgent : team.normal;
    expired.push_back(queue[position.service].at(position.sequence));
    Erase(task);
  }
  return expired;
}

std::int64_t FairScheduler::Queued(const ServiceId& service, bool urgent) const {
  const auto it = queued_.find({service, urgent});
  return it == queued_.end() ? 0 : it->second;
}

std::int64_t FairScheduler::QueuedForTeam(const TeamId& team) const {
  const auto it = teams_.find(team);
  return it == teams_.end() ? 0 : it->second.queued;
}

}  // namespace sapphirewheel
