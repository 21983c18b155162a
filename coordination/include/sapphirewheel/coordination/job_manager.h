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
  // The caller's Idempotency-Key; submitting the same again answers the same job.
  RequestId request;
};

// A job's row in table `jobs`.
struct JobRecord {
  JobId id;
  JobSpec spec;
  JobState state = JobState::kQueued;
  NodeId holder;
  // Grows with each holder and each attempt; workers refuse lower ones.
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

// Long jobs: acknowledged when recorded, then run until they end, whatever node or worker is lost.
class JobManager {
 public:
  struct Settings {
    NodeId self;
    int max_failures = 5;
    Millis retry_base{500};
    Millis retry_max{30000};
    // Written to the row at most this often.
    Millis checkpoint_interval{5000};
    std::size_t max_jobs = 10000;
    // Time between scans of the node's own index, which take about 150 bytes a held job. A job that
    // was cancelled at another node runs on for up to this time.
    Millis self_check_interval{30000};
    // Time between scans for jobs that were given back, which normally find none.
    Millis free_check_interval{5000};
    // A job that found no worker of its service at this node for so long is given back.
    Millis no_worker_limit{5000};
  };
  struct Hooks {
    TableHooks table;
    RandomSource random;
    Clock clock;
    // Queues an attempt for placement; false when the queue is full (tried again later).
    std::function<bool(const JobRecord&, const TaskId&)> enqueue;
    // Stops a task that is queued or running.
    std::function<void(const TaskId&)> stop;
    // The result was recorded; the worker may drop it.
    std::function<void(const TaskId&)> acknowledge;
    // Whether any worker of the service could ever hold the job.
    std::function<bool(const ServiceId&, Slots)> could_ever_fit;
    // Whether this node owns a worker of the service that could hold the job. Without it, jobs wait
    // here for ever when another node owns all workers of their service. Empty: always true.
    std::function<bool(const ServiceId&, Slots)> has_worker;
  };
  using JobCallback = std::function<void(Result<JobRecord>)>;

  JobManager(Settings settings, Hooks hooks);

  // Errors: kPlatformUnavailable (not run), kOutcomeUnknown when the record cannot be settled; a
  // job that fits nowhere is recorded as kCannotRun with the reason.
  void Submit(JobSpec spec, JobCallback done);
  // Reads a job of the team from this node or the table. Errors: kNotFound, kPlatformUnavailable.
  void Get(const TeamId& team, const JobId& job, JobCallback done);
  // Cancels a job that has not ended; a job that ended is answered as it is.
  void Cancel(const TeamId& team, const JobId& job, JobCallback done);

  // Progress of attempts on workers. `worker_at_fault` keeps a failure from counting as the job's.
  // OnEnded may be repeated until the task is acknowledged. Ends come by OnEnded only; OnReport
  // takes the checkpoint. Tasks that this node does not know are ignored.
  void OnStarted(const TaskId& task, const VmId& vm);
  void OnReport(const TaskReport& report);
  enum class AttemptEnd { kDone, kFailed, kNotRun, kLost };
  void OnEnded(const TaskId& task, AttemptEnd end, const std::string& result,
               const std::string& reason, bool worker_at_fault);

  // Adopts the jobs of a node whose fencing is complete, or that has left.
  void AdoptFrom(const NodeId& node);
  // Gives all jobs back to the queue of another node: checkpoints, stops, marks them as free.
  void Drain(std::function<void()> done);
  void Tick(MonotonicTime now);

  [[nodiscard]] std::vector<JobRecord> Held() const;

 private:
  struct HeldJob {
    JobRecord record;
    // The record as the table has it.
    JobRecord saved;
    TaskId task;
    VmId vm;
    // The current attempt was handed over for placement.
    bool queued = false;
    int attempts = 0;
    // Attempts in a row that ended without success, for the backoff.
    int retries = 0;
    bool changed = false;
    // The next write gives the job to another node.
    bool giving_back = false;
    // A write whose outcome is not known yet, and the record it contains.
    std::optional<Transaction> pending;
    JobRecord pending_record;
    bool resent = false;
    bool busy = false;
    // Ended attempts whose end is recorded with the next write, and those in the pending one.
    std::vector<TaskId> ended;
    std::vector<TaskId> ended_pending;
    std::vector<JobCallback> waiting;
    // Writes in a row that failed.
    int write_failures = 0;
    // Since when the queued attempt has had no worker at this node.
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
    int tries = 0;
    MonotonicTime next_try{};
  };
  struct Cancellation {
    TeamId team;
    JobCallback done;
    std::optional<Transaction> pending;
    JobRecord record;
    bool resent = false;
    bool busy = false;
    int tries = 0;
    MonotonicTime next_try{};
  };
  // Takes over the jobs in the index of a node (empty: jobs that were given back).
  struct Adoption {
    std::string scan_from;
    bool scanned = false;
    std::vector<JobId> todo;
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
  void BeginGivingBack(HeldJob& job);
  [[nodiscard]] bool HasWorker(const JobRecord& record) const;
  void GiveBackUnplaceable(MonotonicTime now);
  void DropAttempt(HeldJob& job);
  void OnUnknownEnd(const TaskId& task);
  void RetryLater(HeldJob& job, bool same_epoch);
  void PrepareWrite(HeldJob& job);
  void SendWrite(HeldJob& job);
  void SettleEnded(std::vector<TaskId>& tasks);
  void OnWritten(const JobId& id, const TransactResult& result);
  void OnSaved(const JobId& id, Revision revision);
  void OnRowChanged(const JobId& id, const Row& row);
  void OnWriteFailed(HeldJob& job, bool surely);
  void CheckRow(const JobId& id);
  void CancelHeld(HeldJob& job);
  void Remove(const JobId& id, const Result<JobRecord>& answer);
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
  void StepSelfCheck(MonotonicTime now);
  void OnSelfScan(const Result<std::vector<Row>>& rows);
  void CheckDrained();

  Settings settings_;
  Hooks hooks_;
  bool draining_ = false;
  // This node's member row was marked as fenced or removed: it may become holder of nothing.
  bool fenced_ = false;
  bool member_known_ = false;
  Revision member_revision_;
  std::map<JobId, HeldJob> jobs_;
  std::map<TaskId, JobId> by_task_;
  // Attempts whose end is recorded or does not matter; reports of them are acknowledged again.
  std::set<TaskId> settled_;
  std::deque<TaskId> settled_order_;
  std::map<JobId, Submission> submissions_;
  std::map<std::uint64_t, Cancellation> cancellations_;
  std::uint64_t next_cancellation_ = 0;
  std::map<NodeId, Adoption> adoptions_;
  // Jobs seen in this node's index so far by the periodic check.
  std::set<JobId> indexed_;
  std::set<JobId> held_before_scan_;
  std::string self_scan_from_;
  bool self_scan_busy_ = false;
  MonotonicTime next_self_check_{};
  MonotonicTime next_free_check_{};
  MonotonicTime next_worker_check_{};
  std::vector<std::function<void()>> drained_;
};

}  // namespace sapphirewheel
