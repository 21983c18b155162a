#include "task_tracker.h"

#include <utility>

namespace sapphirewheel {

TaskTracker::TaskTracker(Settings settings, Parts parts)
    : settings_(settings), parts_(std::move(parts)) {}

std::optional<WorkerView> TaskTracker::Begin(const WorkItem& item, const FleetConfig& config) {
  const MonotonicTime now = parts_.clock();
  auto worker = parts_.registry.Choose(item.service, item.team, item.slots, config, now);
  if (!worker) return std::nullopt;
  if (!parts_.escrow.TryTake(item.team, item.slots)) return std::nullopt;
  parts_.registry.Start(worker->info.vm, item.task, item.team, item.slots, item.service);
  RunningTask task;
  task.vm = worker->info.vm;
  task.address = worker->info.address;
  task.team = item.team;
  task.slots = item.slots;
  task.started = now;
  tasks_.emplace(item.task, std::move(task));
  return worker;
}

void TaskTracker::End(const TaskId& task, TaskEnd end, const std::string& subject) {
  auto it = tasks_.find(task);
  if (it == tasks_.end()) return;
  const MonotonicTime now = parts_.clock();
  const RunningTask ended = std::move(it->second);
  tasks_.erase(it);
  parts_.registry.Finish(ended.vm, task, end, subject, now);
  parts_.scheduler.Charge(ended.team, ended.slots, now - ended.started);
  parts_.escrow.Release(ended.team, ended.slots);
}

void TaskTracker::StopAndEnd(const TaskId& task, const std::string& subject) {
  auto it = tasks_.find(task);
  if (it == tasks_.end()) return;
  it->second.stopping = true;
  it->second.subject = subject;
  SendStop(task, it->second);
}

void TaskTracker::SendStop(const TaskId& id, RunningTask& task) {
  if (task.stop_pending) return;
  task.stop_pending = true;
  task.next_stop = parts_.clock() + settings_.stop_retry;
  parts_.workers.stop(task.address, id, [this, id](bool stopped) {
    auto it = tasks_.find(id);
    if (it == tasks_.end()) return;
    it->second.stop_pending = false;
    if (stopped) End(id, TaskEnd::kUnknown, std::string(it->second.subject));
  });
}

bool TaskTracker::IsGone(RunningTask& task, MonotonicTime now) const {
  if (parts_.registry.vms().contains(task.vm)) {
    task.absent_since.reset();
    return false;
  }
  if (!task.absent_since) task.absent_since = now;
  return now - *task.absent_since > settings_.list_lag;
}

void TaskTracker::Tick(MonotonicTime now) {
  std::vector<TaskId> gone;
  for (auto& [id, task] : tasks_) {
    if (!task.stopping) continue;
    if (IsGone(task, now)) {
      gone.push_back(id);
    } else if (now >= task.next_stop) {
      SendStop(id, task);
    }
  }
  for (const TaskId& id : gone) End(id, TaskEnd::kUnknown, tasks_.at(id).subject);
}

std::size_t TaskTracker::CountOn(const VmId& vm) const {
  std::size_t n = 0;
  for (const auto& [id, task] : tasks_) n += task.vm == vm ? 1 : 0;
  return n;
}

std::optional<VmId> TaskTracker::WorkerOf(const TaskId& task) const {
  auto it = tasks_.find(task);
  if (it == tasks_.end()) return std::nullopt;
  return it->second.vm;
}

}  // namespace sapphirewheel
