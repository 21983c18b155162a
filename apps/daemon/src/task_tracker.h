#pragma once

#include <map>
#include <string>

#include "sapphirewheel/coordination/fair_scheduler.h"
#include "sapphirewheel/coordination/token_escrow.h"
#include "sapphirewheel/coordination/worker_registry.h"

namespace sapphirewheel {

// Tracks the tasks that this node started, with the worker slots and the tokens that each holds.
// Both are held until the task is certain not to run any more: after an unknown outcome, the stop
// request is repeated until the worker confirms it or is gone from the VM list.
class TaskTracker {
 public:
  struct Settings {
    Millis stop_retry{500};
    Millis list_lag{10000};
  };
  struct Parts {
    WorkerRegistry& registry;
    TokenEscrow& escrow;
    FairScheduler& scheduler;
    WorkerHooks workers;
    Clock clock;
  };
  using TaskEnd = WorkerRegistry::TaskEnd;

  TaskTracker(Settings settings, Parts parts);

  // Takes worker slots and tokens for the item. No value when either is unavailable.
  [[nodiscard]] std::optional<WorkerView> Begin(const WorkItem& item, const FleetConfig& config);
  // Releases what the task holds; call it only when the task is certain not to run any more.
  // `subject` names the request or job.
  void End(const TaskId& task, TaskEnd end, const std::string& subject);
  // Stops a task that may still run, and ends it when the stop is confirmed.
  void StopAndEnd(const TaskId& task, const std::string& subject);
  void Tick(MonotonicTime now);

  [[nodiscard]] bool Contains(const TaskId& task) const { return tasks_.contains(task); }
  [[nodiscard]] std::size_t size() const noexcept { return tasks_.size(); }
  // Number of tasks on a worker, for draining it.
  [[nodiscard]] std::size_t CountOn(const VmId& vm) const;
  [[nodiscard]] std::optional<VmId> WorkerOf(const TaskId& task) const;

 private:
  struct RunningTask {
    VmId vm;
    std::string address;
    TeamId team;
    Slots slots;
    MonotonicTime started{};
    bool stopping = false;
    bool stop_pending = false;
    std::string subject;
    MonotonicTime next_stop{};
    // Since when the VM is missing from the VM list; unset while it is listed.
    std::optional<MonotonicTime> absent_since;
  };

  void SendStop(const TaskId& id, RunningTask& task);
  [[nodiscard]] bool IsGone(RunningTask& task, MonotonicTime now) const;

  Settings settings_;
  Parts parts_;
  std::map<TaskId, RunningTask> tasks_;
};

}  // namespace sapphirewheel
