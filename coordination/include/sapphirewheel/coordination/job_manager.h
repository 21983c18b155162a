#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sapphirewheel/coordination/clock_and_random.h"
#include "sapphirewheel/coordination/worker_report.h"
#include "sapphirewheel/state/ids.h"
#include "sapphirewheel/state/table.h"

namespace sapphirewheel {

enum class JobState { kQueued, kRunning, kDone, kFailed, kCannotRun, kCancelled };

struct JobSpec {
  TeamId team;
  ServiceId service;
  Slots slots{1};
  bool urgent = false;
  std::string body;
  // The caller's Idempotency-Key; submitting it again returns the same job.
  RequestId request;
};

// A row in table `jobs`.
struct JobRecord {
  JobId id;
  JobSpec spec;
  JobState state = JobState::kQueued;
  NodeId holder;
  // Fencing token; increases with each holder and each attempt. Workers reject lower values.
  Epoch epoch;
  int failures = 0;
  std::string checkpoint;
  std::string reason;
  std::string result;
  Revision revision;
};

[[nodiscard]] std::string EncodeJob(const JobRecord& job);
[[nodiscard]] Result<JobRecord> DecodeJob(const JobId& id, const std::string& text,
                                          Revision revision);
[[nodiscard]] const char* JobStateName(JobState state) noexcept;

// Runs long jobs durably: a submission is acknowledged once it is recorded, and the job then runs
// to its end even if nodes or workers fail.
class JobManager {
 public:
  struct Settings {
    NodeId self;
    int max_failures = 5;
    Millis retry_base{500};
    Millis retry_max{30000};
    // Minimum time between two writes of checkpoints to the row.
    Millis checkpoint_interval{5000};
    std::size_t max_jobs = 10000;
    // Time between scans of the node's own job index, which transfer about 150 bytes per held job.
    // A job that was cancelled through another node keeps running for up to this time.
    Millis index_check_interval{30000};
    // Time between scans for released jobs; these scans normally find none.
    Millis released_check_interval{5000};
    // A queued job is released after this node has had no worker for it for this long.
    Millis no_worker_timeout{5000};
  };
  struct Hooks {
    TableHooks table;
    RandomSource random;
    Clock clock;
    // Queues an attempt for placement; false if the queue is full (the attempt is retried later).
    std::function<bool(const JobRecord&, const TaskId&)> enqueue;
    // Stops a queued or running task.
    std::function<void(const TaskId&)> stop;
    // Called when the end of a task is recorded, or superseded; the worker may discard its result.
    std::function<void(const TaskId&)> acknowledge;
    // Whether any worker of the service is large enough for the job.
    std::function<bool(const ServiceId&, Slots)> could_ever_fit;
    // Whether this node owns a worker of the service that is large enough for the job. Without this
    // hook (empty: always true), jobs wait here forever if another node owns all workers of their
    // service.
    std::function<bool(const ServiceId&, Slots)> has_worker;
  };
  using JobCallback = std::function<void(Result<JobRecord>)>;

  JobManager(Settings settings, Hooks hooks);

  // Errors: kPlatformUnavailable (not run), kOutcomeUnknown if it stays uncertain whether the job
  // was recorded. A job that fits no worker is recorded as kCannotRun with the reason.
  void Submit(JobSpec spec, JobCallback done);
  // Returns a job of the team from this node or the table. Errors: kNotFound, kPlatformUnavailable.
  void Get(const TeamId& team, const JobId& job, JobCallback done);
  // Cancels a job. A job that has already ended is returned unchanged.
  void Cancel(const TeamId& team, const JobId& job, JobCallback done);

  // Progress of attempts on workers. Failures with `worker_at_fault` do not count towards
  // `max_failures`. OnEnded may be repeated until the task is acknowledged. OnReport only takes the
  // checkpoint; the end of a task must be passed to OnEnded. Unknown tasks are ignored.
  void OnStarted(const TaskId& task, const VmId& vm);
  void OnReport(const TaskReport& report);
  enum class AttemptEnd { kDone, kFailed, kNotRun, kLost };
  void OnEnded(const TaskId& task, AttemptEnd end, const std::string& result,
               const std::string& reason, bool worker_at_fault);

  // Adopts the jobs of a node that is completely fenced or has left the fleet.
  void AdoptFrom(const NodeId& node);
  // Stops all jobs and releases them with their checkpoints, so that other nodes adopt them.
  void Drain(std::function<void()> done);
  void Tick(MonotonicTime now);

  [[nodiscard]] std::vector<JobRecord> Held() const;

 private:
  struct HeldJob {
    JobRecord record;
    // The record as last written to the table.
    JobRecord saved;
    TaskId task;
    VmId vm;
    // The current attempt has been queued for placement and has not ended.
    bool queued = false;
    int attempts = 0;
    // Consecutive unsuccessful attempts, for the backoff; a new checkpoint resets it.
    int retries = 0;
    // `record` has changes that are not part of a write yet.
    bool changed = false;
    // The next write releases the job.
    bool releasing = false;
    // A write whose outcome is not known yet, and the record that it contains.
    std::optional<Transaction> pending;
    JobRecord pending_record;
    bool resent = false;
    bool busy = false;
    // Ended attempts whose end is recorded by the next write, and those in the pending write.
    std::vector<TaskId> ended;
    std::vector<TaskId> ended_in_write;
    std::vector<JobCallback> waiting;
    // Consecutive failed writes.
    int write_failures = 0;
    // When this node was first found to have no worker for the queued attempt.
    std::optional<MonotonicTime> no_worker_since;
    MonotonicTime next_attempt{};
    MonotonicTime next_write{};
    MonotonicTime last_write{};
  };
  struct Submission {
    JobRecord record;
    Transaction transaction;
    std::vector<JobCallback> done;
    bool busy = false;
    bool sent = false;
    int sends = 0;
    MonotonicTime next_try{};
  };
  struct Cancellation {
    TeamId team;
    JobCallback done;
    std::optional<Transaction> pending;
    JobRecord record;
    bool resent = false;
    bool busy = false;
    int sends = 0;
    MonotonicTime next_try{};
  };
  // Adoption of the jobs in the index of a node; the empty node id stands for released jobs.
  struct Adoption {
    std::string scan_from;
    bool scanned = false;
    std::vector<JobId> remaining;
    std::optional<Transaction> pending;
    JobRecord record;
    bool resent = false;
    bool busy = false;
    MonotonicTime next_try{};
  };

  [[nodiscard]] AttemptId NewAttemptId() const;
  [[nodiscard]] Millis Jitter(Millis base) const;
  void StepSubmission(const JobId& id);
  void ReadMember(const JobId& id);
  void OnSubmitted(const JobId& id, const TransactResult& result);
  void FinishSubmission(const JobId& id, const Result<JobRecord>& result, bool created = false);
  void OnMemberRow(const Row& row);
  void Hold(JobRecord record);
  void StepJob(const JobId& id);
  void StartAttempt(HeldJob& job);
  void BeginRelease(HeldJob& job);
  [[nodiscard]] bool HasWorker(const JobRecord& record) const;
  void ReleaseUnplaceable(MonotonicTime now);
  void AbandonAttempt(HeldJob& job);
  void OnPastAttemptEnded(const TaskId& task);
  void RetryLater(HeldJob& job, bool same_epoch);
  void PrepareWrite(HeldJob& job);
  void SendWrite(HeldJob& job);
  void SettleEnded(std::vector<TaskId>& tasks);
  void OnWritten(const JobId& id, const TransactResult& result);
  void OnSaved(const JobId& id, Revision revision);
  void OnRowChanged(const JobId& id, const Row& row);
  void OnWriteFailed(HeldJob& job, bool no_effect);
  void CheckRow(const JobId& id);
  void CancelHeld(HeldJob& job);
  void Remove(const JobId& id, const Result<JobRecord>& result);
  void Settle(const TaskId& task);
  void StepCancellation(std::uint64_t n);
  void OnCancelRow(std::uint64_t n, const Row& row);
  void SendCancellation(std::uint64_t n);
  void OnCancelled(std::uint64_t n, const TransactResult& result);
  void FinishCancellation(std::uint64_t n, const Result<JobRecord>& result);
  void StepAdoption(const NodeId& from);
  void OnAdoptionScan(const NodeId& from, const Result<std::vector<Row>>& rows);
  void AdoptJob(const NodeId& from, const std::vector<Row>& rows);
  void SendAdoption(const NodeId& from);
  void OnAdopted(const NodeId& from, const TransactResult& result);
  void NextAdoption(const NodeId& from, bool pop, bool at_once);
  void StepIndexCheck(MonotonicTime now);
  void OnIndexScan(const Result<std::vector<Row>>& rows);
  void CheckDrained();

  Settings settings_;
  Hooks hooks_;
  bool draining_ = false;
  // This node's member row was marked as fenced or removed; the node must not acquire any jobs.
  bool fenced_ = false;
  bool member_known_ = false;
  Revision member_revision_;
  std::map<JobId, HeldJob> jobs_;
  std::map<TaskId, JobId> by_task_;
  // Attempts whose end is recorded or irrelevant; repeated reports of them are acknowledged again.
  std::set<TaskId> settled_;
  std::deque<TaskId> settled_order_;
  std::map<JobId, Submission> submissions_;
  std::map<std::uint64_t, Cancellation> cancellations_;
  std::uint64_t next_cancellation_ = 0;
  std::map<NodeId, Adoption> adoptions_;
  // Jobs that the periodic check has found in this node's index so far, and those held when it
  // began.
  std::set<JobId> indexed_jobs_;
  std::set<JobId> held_at_scan_start_;
  std::string index_scan_from_;
  bool index_scan_busy_ = false;
  MonotonicTime next_index_check_{};
  MonotonicTime next_released_check_{};
  MonotonicTime next_worker_check_{};
  std::vector<std::function<void()>> drain_callbacks_;
};

}  // namespace sapphirewheel
