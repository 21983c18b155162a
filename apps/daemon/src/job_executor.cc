#include "job_executor.h"

#include <utility>

namespace sapphirewheel {
namespace {

// Job attempts wait for a slot without a deadline of their own.
constexpr Millis kNoDeadline{365LL * 24 * 3600 * 1000};
// A worker stops a task whose lease has not been renewed for this long (docs/workers.md). A worker
// that was paused does this before anything else, so the job may then start on another worker.
constexpr Millis kTaskLease{10000};
// A worker that is missing from the VM list for longer than this is gone, since the list lags by at
// most this. The running task keeps its tokens for as long.
constexpr Millis kRemovalTimeout{1000};

using TaskEnd = TaskTracker::TaskEnd;
using AttemptEnd = JobManager::AttemptEnd;

}  // namespace

JobExecutor::JobExecutor(Settings settings, Parts parts)
    : settings_(std::move(settings)), parts_(std::move(parts)) {}

bool JobExecutor::Enqueue(const JobRecord& job, const TaskId& task) {
  WorkItem item;
  item.task = task;
  item.team = job.spec.team;
  item.service = job.spec.service;
  item.urgent = job.spec.urgent;
  item.is_job = true;
  item.slots = job.spec.slots;
  item.arrived = parts_.clock();
  item.deadline = item.arrived + kNoDeadline;
  Attempt attempt;
  attempt.job = job;
  attempts_[task] = std::move(attempt);
  if (parts_.scheduler.Enqueue(std::move(item))) return true;
  attempts_.erase(task);
  return false;
}

void JobExecutor::Stop(const TaskId& task) {
  auto it = attempts_.find(task);
  if (it == attempts_.end()) return;
  if (parts_.scheduler.Remove(task)) {
    attempts_.erase(it);
    return;
  }
  parts_.running.StopAndEnd(task, it->second.job.id.str());
  attempts_.erase(it);
}

void JobExecutor::Acknowledge(const TaskId& task) {
  auto it = unacknowledged_.find(task);
  if (it == unacknowledged_.end()) return;
  parts_.registry.Acknowledge(it->second, task);
  unacknowledged_.erase(it);
}

bool JobExecutor::TryPlace(const WorkItem& item) {
  auto it = attempts_.find(item.task);
  if (it == attempts_.end()) return true;
  const auto worker = parts_.running.Begin(item, parts_.config.config());
  if (!worker) return false;
  Attempt& attempt = it->second;
  attempt.vm = worker->info.vm;
  attempt.address = worker->info.address;
  TaskStart start;
  start.task = item.task;
  start.vm = attempt.vm;
  start.address = attempt.address;
  start.node = settings_.self;
  start.epoch = worker->epoch;
  start.kind = TaskKind::kJob;
  start.team = item.team;
  start.service = item.service;
  start.slots = item.slots;
  start.job = attempt.job.id;
  start.job_epoch = attempt.job.epoch;
  start.checkpoint = attempt.job.checkpoint;
  start.body = attempt.job.spec.body;
  parts_.workers.start(std::move(start), [this, task = item.task](const TaskStartReply& reply) {
    OnStartReply(task, reply);
  });
  return true;
}

void JobExecutor::OnStartReply(const TaskId& task, const TaskStartReply& reply) {
  auto it = attempts_.find(task);
  if (it == attempts_.end()) return;
  switch (reply.outcome) {
    case TaskStartOutcome::kDone:
      it->second.accepted = true;
      it->second.accepted_at = parts_.clock();
      jobs_->OnStarted(task, it->second.vm);
      return;
    case TaskStartOutcome::kFailed:
      return End(task, TaskEnd::kFailed, AttemptEnd::kFailed, "", reply.reason);
    case TaskStartOutcome::kNotRun:
      return End(task, TaskEnd::kNotRun, AttemptEnd::kNotRun, "", reply.reason);
    case TaskStartOutcome::kUnknown: {
      // The task may be running; the worker is asked to stop it before its tokens are freed.
      parts_.running.StopAndEnd(task, it->second.job.id.str());
      attempts_.erase(it);
      jobs_->OnEnded(task, AttemptEnd::kLost, "", reply.reason, true);
      return;
    }
  }
}

void JobExecutor::End(const TaskId& task, TaskEnd end, AttemptEnd attempt_end,
                      const std::string& result, const std::string& reason) {
  auto it = attempts_.find(task);
  if (it == attempts_.end()) return;
  const VmId vm = it->second.vm;
  const std::string subject = it->second.job.id.str();
  attempts_.erase(it);
  if (attempt_end == AttemptEnd::kDone || attempt_end == AttemptEnd::kFailed) {
    unacknowledged_[task] = vm;
  }
  parts_.running.End(task, end, subject);
  const bool worker_at_fault =
      end == TaskEnd::kFailed && parts_.registry.IsQuarantined(vm, parts_.clock());
  jobs_->OnEnded(task, attempt_end, result, reason, worker_at_fault);
}

void JobExecutor::OnTaskReport(const TaskReport& report) {
  if (!attempts_.contains(report.task)) {
    // The job manager has not recorded the end yet; the report is repeated until it has.
    if (unacknowledged_.contains(report.task)) ResendEnd(report);
    return;
  }
  jobs_->OnReport(report);
  if (report.state == TaskState::kDone) {
    End(report.task, TaskEnd::kSucceeded, AttemptEnd::kDone, report.result, "");
  } else if (report.state == TaskState::kFailed) {
    End(report.task, TaskEnd::kFailed, AttemptEnd::kFailed, "", report.reason);
  }
}

void JobExecutor::ResendEnd(const TaskReport& report) {
  if (report.state == TaskState::kDone) {
    jobs_->OnEnded(report.task, AttemptEnd::kDone, report.result, "", false);
  } else if (report.state == TaskState::kFailed) {
    jobs_->OnEnded(report.task, AttemptEnd::kFailed, "", report.reason, false);
  }
}

void JobExecutor::OnWorkerReport(const VmId& vm, const WorkerReport& report,
                                 MonotonicTime sent_at) {
  std::map<TaskId, bool> seen;
  for (const TaskReport& it : report.tasks) {
    seen[it.task] = true;
    if (!it.job.empty() && it.node == settings_.self) OnTaskReport(it);
    const bool is_orphan = !it.job.empty() && it.state != TaskState::kRunning &&
                           !attempts_.contains(it.task) && !unacknowledged_.contains(it.task);
    if (is_orphan) parts_.registry.Acknowledge(vm, it.task);
  }
  std::vector<TaskId> lost;
  for (const auto& [task, attempt] : attempts_) {
    const bool expected = attempt.accepted && attempt.vm == vm && sent_at > attempt.accepted_at;
    if (expected && !seen.contains(task)) lost.push_back(task);
  }
  for (const TaskId& task : lost) {
    End(task, TaskEnd::kUnknown, AttemptEnd::kLost, "", "the worker no longer runs the task");
  }
}

void JobExecutor::OnWorkerAnswer(const VmId& vm, OwnershipOutcome outcome) {
  if (outcome == OwnershipOutcome::kUnreachable) {
    silent_since_.try_emplace(vm, parts_.clock());
  } else {
    silent_since_.erase(vm);
  }
}

std::string JobExecutor::LossReason(Attempt& attempt, MonotonicTime now) const {
  const auto silent = silent_since_.find(attempt.vm);
  if (silent != silent_since_.end() && now - silent->second > kTaskLease) {
    return "the worker does not answer";
  }
  if (parts_.registry.vms().contains(attempt.vm)) {
    attempt.absent_since.reset();
    return "";
  }
  if (!attempt.absent_since) attempt.absent_since = now;
  return now - *attempt.absent_since > kRemovalTimeout ? "the worker is gone" : "";
}

void JobExecutor::Tick(MonotonicTime now) {
  std::erase_if(silent_since_,
                [this](const auto& it) { return !parts_.registry.vms().contains(it.first); });
  std::map<TaskId, std::string> lost;
  for (auto& [task, attempt] : attempts_) {
    if (!attempt.accepted) continue;
    if (std::string reason = LossReason(attempt, now); !reason.empty()) lost[task] = reason;
  }
  for (const auto& [task, reason] : lost) {
    const std::string subject = attempts_.at(task).job.id.str();
    attempts_.erase(task);
    parts_.running.StopAndEnd(task, subject);
    jobs_->OnEnded(task, AttemptEnd::kLost, "", reason, true);
  }
}

void JobExecutor::MoveFrom(const VmId& vm) {
  for (auto& [task, attempt] : attempts_) {
    if (!attempt.accepted || attempt.moving || attempt.vm != vm) continue;
    attempt.moving = true;
    parts_.workers.checkpoint(attempt.address, task, [this, task = task](const std::string& name) {
      FinishMove(task, name);
    });
  }
}

void JobExecutor::FinishMove(const TaskId& task, const std::string& checkpoint) {
  auto it = attempts_.find(task);
  if (it == attempts_.end()) return;
  if (!checkpoint.empty()) {
    TaskReport report;
    report.task = task;
    report.job = it->second.job.id;
    report.job_epoch = it->second.job.epoch;
    report.checkpoint = checkpoint;
    jobs_->OnReport(report);
  }
  parts_.running.StopAndEnd(task, it->second.job.id.str());
  attempts_.erase(it);
  jobs_->OnEnded(task, AttemptEnd::kLost, "", "the worker is draining", true);
}

void JobExecutor::CheckpointAll() {
  for (const auto& [task, attempt] : attempts_) {
    if (!attempt.accepted) continue;
    parts_.workers.checkpoint(attempt.address, task, [this, task = task](const std::string& name) {
      if (name.empty() || !attempts_.contains(task)) return;
      TaskReport report;
      report.task = task;
      report.checkpoint = name;
      jobs_->OnReport(report);
    });
  }
}

std::size_t JobExecutor::running() const noexcept {
  std::size_t n = 0;
  for (const auto& [task, attempt] : attempts_) n += attempt.accepted ? 1 : 0;
  return n;
}

}  // namespace sapphirewheel
