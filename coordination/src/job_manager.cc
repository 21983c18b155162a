#include "sapphirewheel/coordination/job_manager.h"

#include <algorithm>
#include <utility>

#include "job_manager_internal.h"
#include "sapphirewheel/state/schema.h"

namespace sapphirewheel {
namespace {

using internal::HasEnded;

// Time between checks for queued jobs that have no worker at this node.
constexpr Millis kWorkerCheckInterval{500};
// Number of settled attempts that are remembered, so that repeated reports can be acknowledged.
constexpr std::size_t kMaxSettled = 20000;
// A longer reason would take space in the row that the body needs.
constexpr std::size_t kMaxReasonBytes = 1000;

void End(JobRecord& record, JobState state, const std::string& reason) {
  record.state = state;
  record.reason = reason;
  // The body is no longer needed; clearing it leaves room for the result.
  record.spec.body.clear();
}

void EndWithResult(JobRecord& record, const std::string& result) {
  End(record, JobState::kDone, "");
  record.result = result;
  if (EncodeJob(record).size() <= internal::kMaxRecordBytes) return;
  record.result.clear();
  End(record, JobState::kFailed,
      "the job's result exceeds 60 KiB; write it to the object store and return its name");
}

}  // namespace

JobManager::JobManager(Settings settings, Hooks hooks)
    : settings_(std::move(settings)), hooks_(std::move(hooks)) {}

AttemptId JobManager::NewAttemptId() const {
  return AttemptId(settings_.self.str() + "/" + schema::PaddedNumber(hooks_.random()));
}

// A random duration between half of `base` and `base`.
Millis JobManager::Jitter(Millis base) const {
  const auto half = static_cast<std::uint64_t>(base.count()) / 2;
  return Millis(half + hooks_.random() % (half + 1));
}

void JobManager::Tick(MonotonicTime now) {
  ReleaseUnplaceable(now);
  for (const auto& [id, job] : jobs_) {
    // Skips jobs that run and have nothing to write, which most jobs do.
    if (!job.busy && (job.pending || job.changed || !job.queued || draining_)) StepJob(id);
  }
  std::vector<JobId> ids;
  for (const auto& [id, submission] : submissions_) ids.push_back(id);
  for (const JobId& id : ids) StepSubmission(id);
  std::vector<std::uint64_t> calls;
  for (const auto& [n, cancellation] : cancellations_) calls.push_back(n);
  for (const std::uint64_t n : calls) StepCancellation(n);
  std::vector<NodeId> nodes;
  for (const auto& [node, adoption] : adoptions_) nodes.push_back(node);
  for (const NodeId& node : nodes) StepAdoption(node);
  StepIndexCheck(now);
  if (now >= next_released_check_) {
    next_released_check_ = now + Jitter(settings_.released_check_interval);
    AdoptFrom(NodeId());
  }
  CheckDrained();
}

void JobManager::Hold(JobRecord record) {
  if (HasEnded(record.state)) return;
  const JobId id = record.id;
  HeldJob& job = jobs_[id];
  job = HeldJob();
  job.record = record;
  job.saved = std::move(record);
  job.next_attempt = hooks_.clock();
  job.last_write = hooks_.clock();
  StepJob(id);
}

// Advances a held job by one step: repeats or makes a write, releases the job or starts an attempt.
void JobManager::StepJob(const JobId& id) {
  const auto it = jobs_.find(id);
  if (it == jobs_.end() || it->second.busy) return;
  HeldJob& job = it->second;
  const MonotonicTime now = hooks_.clock();
  if (job.pending) {
    if (now >= job.next_write) SendWrite(job);
    return;
  }
  if (draining_ && !job.releasing && !HasEnded(job.record.state)) {
    BeginRelease(job);
  }
  if (job.changed && now >= job.next_write) {
    PrepareWrite(job);
    return SendWrite(job);
  }
  if (HasEnded(job.record.state) || job.releasing || job.queued) return;
  // Workers may see an epoch only after it is recorded in the table, so that no epoch is used
  // twice.
  if (job.record.epoch == job.saved.epoch && now >= job.next_attempt) StartAttempt(job);
}

void JobManager::BeginRelease(HeldJob& job) {
  AbandonAttempt(job);
  job.record.state = JobState::kQueued;
  job.record.holder = NodeId();
  job.record.epoch += Epoch(1);
  job.releasing = job.changed = true;
  job.next_write = hooks_.clock();
}

bool JobManager::HasWorker(const JobRecord& record) const {
  return !hooks_.has_worker || hooks_.has_worker(record.spec.service, record.spec.slots);
}

// Releases queued jobs for which this node has had no worker for `no_worker_timeout`. A node that
// has a worker for them adopts them.
void JobManager::ReleaseUnplaceable(MonotonicTime now) {
  if (!hooks_.has_worker || draining_ || fenced_ || now < next_worker_check_) return;
  next_worker_check_ = now + kWorkerCheckInterval;
  std::map<std::pair<ServiceId, Slots>, bool> known;
  for (auto& [id, job] : jobs_) {
    const bool waits = job.queued && job.record.state == JobState::kQueued && !job.releasing;
    const std::pair<ServiceId, Slots> need{job.record.spec.service, job.record.spec.slots};
    auto it = known.find(need);
    if (waits && it == known.end()) it = known.emplace(need, HasWorker(job.record)).first;
    if (!waits || it->second) {
      job.no_worker_since.reset();
      continue;
    }
    if (!job.no_worker_since) job.no_worker_since = now;
    if (now - *job.no_worker_since >= settings_.no_worker_timeout) BeginRelease(job);
  }
}

void JobManager::StartAttempt(HeldJob& job) {
  job.task = TaskId(job.record.id.str() + "-" + std::to_string(job.record.epoch.count()) + "-" +
                    std::to_string(++job.attempts));
  job.queued = true;
  by_task_[job.task] = job.record.id;
  const TaskId task = job.task;
  if (hooks_.enqueue(job.record, task)) return;
  by_task_.erase(task);
  job.queued = false;
  job.next_attempt = hooks_.clock() + Jitter(settings_.retry_base);
}

// Stops the current attempt. If its end is reported later, it is ignored, and acknowledged only
// after the next write.
void JobManager::AbandonAttempt(HeldJob& job) {
  if (!job.queued) return;
  job.queued = false;
  by_task_.erase(job.task);
  job.ended.push_back(job.task);
  hooks_.stop(job.task);
}

void JobManager::RetryLater(HeldJob& job, bool same_epoch) {
  constexpr int kMaxShift = 10;
  job.record.state = JobState::kQueued;
  if (!same_epoch) job.record.epoch += Epoch(1);
  const Millis backoff = settings_.retry_base * (1 << std::min(job.retries, kMaxShift));
  ++job.retries;
  job.next_attempt = hooks_.clock() + Jitter(std::min(backoff, settings_.retry_max));
}

void JobManager::OnStarted(const TaskId& task, const VmId& vm) {
  const auto it = by_task_.find(task);
  if (it == by_task_.end()) return;
  HeldJob& job = jobs_.at(it->second);
  job.vm = vm;
  if (job.record.state == JobState::kRunning) return;
  job.record.state = JobState::kRunning;
  job.changed = true;
  job.next_write = std::max(job.next_write, job.last_write + settings_.checkpoint_interval);
}

void JobManager::OnReport(const TaskReport& report) {
  const auto it = by_task_.find(report.task);
  if (it == by_task_.end()) return;
  HeldJob& job = jobs_.at(it->second);
  if (report.checkpoint.empty() || report.checkpoint == job.record.checkpoint) return;
  job.record.checkpoint = report.checkpoint;
  job.retries = 0;
  job.changed = true;
  job.next_write = std::max(job.next_write, job.last_write + settings_.checkpoint_interval);
}

void JobManager::OnEnded(const TaskId& task, AttemptEnd end, const std::string& result,
                         const std::string& reason, bool worker_at_fault) {
  const auto it = by_task_.find(task);
  if (it == by_task_.end()) return OnPastAttemptEnded(task);
  const JobId id = it->second;
  HeldJob& job = jobs_.at(id);
  by_task_.erase(it);
  job.queued = false;
  job.ended.push_back(task);
  job.record.reason = reason.substr(0, kMaxReasonBytes);
  if (end == AttemptEnd::kDone) {
    EndWithResult(job.record, result);
  } else if (end == AttemptEnd::kFailed && !worker_at_fault &&
             ++job.record.failures >= settings_.max_failures) {
    End(job.record, JobState::kFailed, job.record.reason);
  } else {
    // An attempt that did not run may reuse its epoch, unless the worker refused the epoch as
    // stale.
    RetryLater(job, end == AttemptEnd::kNotRun && reason != "stale-job-epoch");
    if (end == AttemptEnd::kLost) hooks_.stop(task);
  }
  job.changed = true;
  job.next_write = job.write_failures == 0 ? hooks_.clock() : job.next_write;
  StepJob(id);
}

// Handles the end of an attempt that is not the current attempt of a held job. It is acknowledged
// if it was settled or replaced, but not while its own end still has to be recorded.
void JobManager::OnPastAttemptEnded(const TaskId& task) {
  if (settled_.contains(task)) return hooks_.acknowledge(task);
  const JobId id(task.str().substr(0, task.str().find('-')));
  const auto it = jobs_.find(id);
  if (it == jobs_.end()) return;
  for (const auto* list : {&it->second.ended, &it->second.ended_in_write}) {
    if (std::find(list->begin(), list->end(), task) != list->end()) return;
  }
  Settle(task);
}

void JobManager::Settle(const TaskId& task) {
  if (settled_.insert(task).second) settled_order_.push_back(task);
  if (settled_order_.size() > kMaxSettled) {
    settled_.erase(settled_order_.front());
    settled_order_.pop_front();
  }
  hooks_.acknowledge(task);
}

void JobManager::SettleEnded(std::vector<TaskId>& tasks) {
  std::vector<TaskId> ended;
  ended.swap(tasks);
  for (const TaskId& task : ended) Settle(task);
}

void JobManager::CancelHeld(HeldJob& job) {
  if (HasEnded(job.record.state) || job.releasing) return;
  AbandonAttempt(job);
  End(job.record, JobState::kCancelled, "cancelled by the caller");
  job.changed = true;
  job.next_write = hooks_.clock();
}

void JobManager::Get(const TeamId& team, const JobId& job, JobCallback done) {
  const auto it = jobs_.find(job);
  if (it != jobs_.end()) {
    if (it->second.saved.spec.team != team) return done(internal::JobNotFound());
    JobRecord record = it->second.saved;
    if (it->second.record.state == JobState::kRunning) record.state = JobState::kRunning;
    return done(std::move(record));
  }
  const auto on_rows = [team, job, done = std::move(done)](const Result<std::vector<Row>>& rows) {
    if (!rows) return done(internal::PlatformUnavailable());
    const Row& row = rows.value().front();
    if (row.revision == Revision(0)) return done(internal::JobNotFound());
    const auto record = DecodeJob(job, row.value, row.revision);
    const bool other_team = record && record.value().spec.team != team;
    done(other_team ? Result<JobRecord>(internal::JobNotFound()) : record);
  };
  hooks_.table.read({schema::JobRow(job)}, on_rows);
}

void JobManager::Drain(std::function<void()> done) {
  draining_ = true;
  drain_callbacks_.push_back(std::move(done));
  std::vector<JobId> ids;
  for (const auto& [id, job] : jobs_) ids.push_back(id);
  for (const JobId& id : ids) StepJob(id);
  CheckDrained();
}

void JobManager::CheckDrained() {
  if (drain_callbacks_.empty() || !jobs_.empty() || !submissions_.empty()) return;
  for (const auto& [node, adoption] : adoptions_) {
    if (adoption.pending) return;
  }
  std::vector<std::function<void()>> done;
  done.swap(drain_callbacks_);
  for (const auto& callback : done) callback();
}

std::vector<JobRecord> JobManager::Held() const {
  std::vector<JobRecord> records;
  for (const auto& [id, job] : jobs_) records.push_back(job.record);
  return records;
}

}  // namespace sapphirewheel
