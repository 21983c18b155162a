#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "sapphirewheel/state/error.h"
#include "sapphirewheel/state/fleet_config.h"
#include "sapphirewheel/state/ids.h"
#include "sapphirewheel/state/units.h"

namespace sapphirewheel {

// Work that waits for placement on a worker: a request or one attempt of a job.
struct WorkItem {
  TaskId task;
  TeamId team;
  ServiceId service;
  bool urgent = false;
  bool is_job = false;
  Slots slots{1};
  MonotonicTime arrived{};
  // The item is not dispatched after this time; the default value means no deadline.
  MonotonicTime deadline{};
};

// Schedules waiting work: urgent items first, then weighted fair queueing by team share, with the
// used slot-seconds charged as virtual time. An item that does not fit is skipped. After
// `reserve_after`, capacity is reserved for it, so that smaller items do not starve it.
class FairScheduler {
 public:
  struct Settings {
    std::size_t max_items = 20000;
    std::size_t max_items_per_team = 5000;
    Millis reserve_after{2000};
    // A reservation ends if its item could not be placed within this time, and no other is made for
    // the same time: the item may be blocked by something other than capacity.
    Millis reserve_limit{30000};
  };
  // Tries to place an item; returns true if it was dispatched.
  using TryPlace = std::function<bool(const WorkItem&)>;
  // Whether a team's upper limit admits the given slots. Capacity is reserved only for items that
  // the limit admits; otherwise a team at its limit would block the others.
  using LimitAdmits = std::function<bool(const TeamId&, Slots)>;
  // Free slots of a service.
  using FreeSlots = std::function<Slots(const ServiceId&)>;

  explicit FairScheduler(Settings settings);

  void OnConfig(const FleetConfig& config);
  // Until this is called, every item counts as admitted.
  void SetLimitAdmits(LimitAdmits admits) { limit_admits_ = std::move(admits); }
  // Errors: kOverloaded with a retry time if the queue or the team's part of it is full,
  // kInvalidArgument if the task is already queued.
  [[nodiscard]] Result<void> Enqueue(WorkItem item);
  // Returns false if the task is not queued.
  bool Remove(const TaskId& task);
  // Offers items in fair order until nothing more fits; returns the number of placed items.
  std::size_t Dispatch(const TryPlace& try_place, const FreeSlots& free_slots, MonotonicTime now);
  // Removes and returns the items whose deadline has passed.
  [[nodiscard]] std::vector<WorkItem> TakeExpired(MonotonicTime now);
  // Charges a team for using `slots` during `used`. Call it when a task ends, and for long tasks
  // also in between.
  void Charge(const TeamId& team, Slots slots, Millis used);

  [[nodiscard]] std::size_t size() const noexcept { return size_; }
  // Number of waiting items of a service: the urgent ones, or the others.
  [[nodiscard]] std::int64_t Queued(const ServiceId& service, bool urgent) const;
  [[nodiscard]] std::int64_t QueuedForTeam(const TeamId& team) const;

 private:
  // Items of one team, class (urgent or normal) and service in order of arrival.
  using ServiceQueue = std::map<std::uint64_t, WorkItem>;
  using ClassQueue = std::map<ServiceId, ServiceQueue>;
  struct TeamQueue {
    Share share{1};
    // Charged slot-seconds divided by the share.
    double virtual_time = 0;
    // Slot-seconds that were charged in advance at dispatch and are not covered by Charge yet.
    double prepaid = 0;
    // Moving average of the charged times, in seconds; the expected use of a slot by a new task.
    double mean_seconds = 0.05;
    std::int64_t queued = 0;
    ClassQueue urgent;
    ClassQueue normal;
  };
  struct Position {
    TeamId team;
    ServiceId service;
    bool urgent = false;
    std::uint64_t sequence = 0;
  };
  // Capacity reserved for a large item within a group of services that share pools.
  struct Reservation {
    // Empty once the reservation has ended.
    TaskId task;
    Slots slots;
    bool urgent = false;
    MonotonicTime since{};
  };
  struct DispatchPass;

  void DispatchClass(DispatchPass& pass, bool urgent);
  bool PlaceNext(DispatchPass& pass, const TeamId& id, TeamQueue& team, bool urgent);
  bool PlaceFrom(DispatchPass& pass, const TeamId& id, TeamQueue& team, const ServiceId& service,
                 ServiceQueue& queue);
  [[nodiscard]] bool BlockedByReservation(DispatchPass& pass, const WorkItem& item) const;
  void Reserve(DispatchPass& pass, const WorkItem& item);
  void ChargeInAdvance(TeamQueue& team, Slots slots);
  void Erase(const TaskId& task);
  [[nodiscard]] const ServiceId& GroupOf(const ServiceId& service) const;

  Settings settings_;
  LimitAdmits limit_admits_;
  std::size_t size_ = 0;
  std::uint64_t next_sequence_ = 1;
  // Highest virtual time at which a team was served; a team that was idle resumes here.
  double virtual_now_ = 0;
  std::map<TeamId, TeamQueue> teams_;
  std::map<TaskId, Position> positions_;
  std::set<std::pair<MonotonicTime, TaskId>> deadlines_;
  std::map<std::pair<ServiceId, bool>, std::int64_t> queued_;
  // Maps each service to the representative of the group that shares pools with it.
  std::map<ServiceId, ServiceId> groups_;
  std::map<ServiceId, Reservation> reservations_;
};

}  // namespace sapphirewheel
