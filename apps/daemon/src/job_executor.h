#pragma once

#include <map>
#include <string>

#include "sapphirewheel/coordination/config_log.h"
#include "sapphirewheel/coordination/job_manager.h"
#include "task_tracker.h"

namespace sapphirewheel {

// Executes job attempts on workers: queues them for placement, starts them, and passes the workers'
// reports on them to the job manager.
class JobExecutor {
 public:
  struct Settings {
    NodeId self;
  };
  struct Parts {
    FairScheduler& scheduler;
    TaskTracker& running;
    WorkerRegistry& registry;
    ConfigLog& config;
    WorkerHooks workers;
    Clock clock;
  };

  JobExecutor(Settings settings, Parts parts);

  // Sets the job manager that the results are reported to. Called once, before any job is held; the
  // manager calls back through the hooks below.
  void Connect(JobManager& jobs) { jobs_ = &jobs; }

  // Hooks of the job manager.
  [[nodiscard]] bool Enqueue(const JobRecord& job, const TaskId& task);
  void Stop(const TaskId& task);
  void Acknowledge(const TaskId& task);

  [[nodiscard]] bool Owns(const TaskId& task) const { return attempts_.contains(task); }
  [[nodiscard]] bool TryPlace(const WorkItem& item);
  // Processes a worker's report in the reply to a renewal that was sent at `sent_at`.
  void OnWorkerReport(const VmId& vm, const WorkerReport& report, MonotonicTime sent_at);
  // Records whether a worker replied to a renewal. A report in the reply is passed to
  // OnWorkerReport as well.
  void OnWorkerAnswer(const VmId& vm, OwnershipOutcome outcome);
  // Ends attempts on workers that are gone or have been silent for longer than the task lease.
  void Tick(MonotonicTime now);
  // Moves the attempts off a worker: each is checkpointed, stopped and queued again. For workers
  // that drain or leave, so that a long job does not delay them.
  void MoveFrom(const VmId& vm);
  // Asks the workers for checkpoints of all running attempts.
  void CheckpointAll();
  [[nodiscard]] std::size_t running() const noexcept;

 private:
  struct Attempt {
    JobRecord job;
    VmId vm;
    std::string address;
    bool accepted = false;
    bool moving = false;
    MonotonicTime accepted_at{};
    std::optional<MonotonicTime> absent_since;
  };

  void FinishMove(const TaskId& task, const std::string& checkpoint);
  void OnStartReply(const TaskId& task, const TaskStartReply& reply);
  void End(const TaskId& task, TaskTracker::TaskEnd end, JobManager::AttemptEnd attempt_end,
           const std::string& result, const std::string& reason);
  void OnTaskReport(const TaskReport& report);
  void ResendEnd(const TaskReport& report);
  // Why the attempt counts as lost at `now`; empty when it does not.
  [[nodiscard]] std::string LossReason(Attempt& attempt, MonotonicTime now) const;

  Settings settings_;
  Parts parts_;
  JobManager* jobs_ = nullptr;
  std::map<TaskId, Attempt> attempts_;
  // Workers that do not reply to renewals, with the time of the first failed one.
  std::map<VmId, MonotonicTime> silent_since_;
  // Finished tasks whose result a worker still keeps, with that worker.
  std::map<TaskId, VmId> unacknowledged_;
};

}  // namespace sapphirewheel
