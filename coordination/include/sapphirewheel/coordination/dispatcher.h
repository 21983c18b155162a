#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sapphirewheel/coordination/dispatch_model.h"
#include "sapphirewheel/coordination/job_progress.h"

namespace sapphirewheel {

// Start one run of a task on a backend server. Repeating it has no further effect.
struct StartOrder {
  BackendId backend;
  std::string address;
  Epoch token;
  TaskKey task;
  RunNumber run;
  std::string payload;
  std::string checkpoint;
  // Everything on the backend server may run until then, on its own clock.
  BackendClock lease_until;
  // Permission of the queue's policy; empty where none is needed.
  std::string ticket;
};

struct StopOrder {
  BackendId backend;
  std::string address;
  Epoch token;
  TaskKey task;
  RunNumber run;
};

// Ask what runs and what ended; extends the lease and acknowledges ends.
struct PollOrder {
  BackendId backend;
  std::string address;
  Epoch token;
  // Absent: the lease is not extended.
  std::optional<BackendClock> lease_until;
  std::int64_t acknowledged_end = 0;
  // The answer may wait this long for an end.
  Millis wait{0};
  // Rises with each look at the backend server, so that answers can be put in order.
  std::int64_t sequence = 0;
};

// Let a task work at a share of its speed.
struct PaceOrder {
  BackendId backend;
  std::string address;
  Epoch token;
  TaskKey task;
  RunNumber run;
  int percent = 100;
};

// Ask the queue's policy which backend servers may run a step.
struct AdviceOrder {
  JobId job;
  int occurrence = 0;
  int step = 0;
  std::vector<BackendId> backends;

  // JOB.OCCURRENCE.STEP
  [[nodiscard]] std::string StepName() const;
};

struct AdviceReply {
  bool complete = false;
  // Backend servers that may run the step, with their tickets; the others may not.
  std::map<BackendId, std::string> tickets;
  Millis validity{0};
};

enum class OrderOutcome {
  kDone,
  // A higher fencing token was seen there.
  kFenced,
  // The run was stopped or has ended there before.
  kStaleRun,
  // The lease in the order had passed.
  kLeaseExpired,
  kNoRoom,
  kTicketRefused,
  kMalformed,
  // Nothing was done; a later attempt may succeed.
  kBusy,
  // Another life of a backend server answers at the address.
  kWrongIncarnation,
  // Surely not received.
  kNotSent,
  // May have been carried out, or will be.
  kUnknown,
};

struct PollReply {
  OrderOutcome outcome = OrderOutcome::kUnknown;
  BackendClock clock;
  UnixMillis started_at;
  std::vector<ListedRun> running;
  std::vector<ListedEnd> ended;
};

struct OrderReply {
  OrderOutcome outcome = OrderOutcome::kUnknown;
  // Set when the backend server answered.
  std::optional<BackendClock> clock;
};

enum class DecisionKind {
  kJobTaken,
  kJobEnded,
  kTaskStarted,
  kTaskEnded,
  kTaskLost,
  kTaskStopped,
  kBackendSeen,
  kBackendSuspect,
  kBackendGone,
  kFenced,
};

// One decision with the inputs that led to it, for the log.
struct Decision {
  DecisionKind kind;
  JobId job;
  std::string task;
  BackendId backend;
  RunNumber run;
  std::string detail;
};

// A row of progress that has to be written.
struct ProgressWrite {
  JobId job;
  std::string value;
};

// A backend server that an owner may have given work.
struct RosterEntry {
  PoolId pool;
  // All runs there are over by then, as the owner gives it no more orders; absent while it may.
  std::optional<MonotonicTime> runs_end_by;
  bool operator==(const RosterEntry&) const = default;
};
using Roster = std::map<BackendId, RosterEntry>;

// Places the tasks of all jobs on backend servers, as the one owner of a fleet: order of starts,
// capacity, upper limits of teams, attempts, checkpoints, gangs, lasting tasks, leases of backend
// servers, and recovery of what an earlier owner started. Not thread-safe; time is passed in.
//
// What lasts are the rows of accepted jobs and of their progress. Starts are not written down: a
// new owner asks every backend server that an earlier one may have used (the roster), which also
// fences that owner there, and waits for the lease of those that do not answer before it starts
// again what may run there.
class Dispatcher {
 public:
  struct Settings {
    Epoch token;
    // Time that each order lets tasks run on; at most what backend servers grant.
    Millis lease{6000};
    // The longest lease that backend servers grant.
    Millis max_lease{10'000};
    // A backend server without an answer for this time gets no new work.
    Millis suspect_after{1200};
    // Longest wait of a look for an end.
    Millis poll_wait{800};
    // Pause between two looks, so that one look shows several ends.
    Millis poll_pause{70};
    // Earliest start before an occurrence's due time.
    Millis max_early_start{0};
  };
  struct Hooks {
    std::function<void(const StartOrder&)> start;
    std::function<void(const StopOrder&)> stop;
    std::function<void(const PollOrder&)> poll;
    std::function<void(const PaceOrder&)> pace;
    std::function<void(const AdviceOrder&)> advise;
    // Time of day; used only for due times and objectives.
    std::function<UnixMillis()> wall_clock;
    std::function<void(const Decision&)> report;
  };

  Dispatcher(Settings settings, Hooks hooks, MonotonicTime now);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  void SetConfig(std::shared_ptr<const DispatchConfig> config);

  // Backend servers that an earlier owner may have given work, before the first tick.
  // `taken_at` is when this owner took over; earlier ones gave no orders later.
  void SetRoster(const Roster& roster, MonotonicTime taken_at);
  // Backend servers that may be given work; only those whose roster row is written count. Returned
  // when it differs from what was written last.
  [[nodiscard]] std::optional<Roster> RosterToWrite() const;
  void RosterWritten(const Roster& roster);

  void UpsertBackend(const BackendReport& report, MonotonicTime now);
  void RemoveBackend(const BackendId& id, MonotonicTime now);

  // `inherited` jobs were accepted before this owner took over, so their tasks may run.
  void AddJob(StoredJob job, const std::optional<JobProgress>& progress, bool inherited,
              MonotonicTime now);
  void CancelJob(const JobId& id, MonotonicTime now);

  void OnStart(const StartOrder& order, const OrderReply& reply, MonotonicTime now);
  void OnStop(const StopOrder& order, const OrderReply& reply, MonotonicTime now);
  void OnAdvice(const AdviceOrder& order, const AdviceReply& reply, MonotonicTime now);
  // `sent` is when the look was sent.
  void OnPoll(const PollOrder& order, const PollReply& reply, MonotonicTime sent,
              MonotonicTime now);

  // Takes due decisions; every 20 ms or so. `may_order` is false when the ownership has lapsed.
  void Tick(MonotonicTime now, bool may_order);

  // Progress that has to be written, oldest change first; call WritesDone when it is written. One
  // batch at a time.
  [[nodiscard]] std::vector<ProgressWrite> TakeWrites(std::size_t max_writes);
  void WritesDone(bool written);
  [[nodiscard]] bool HasWrites() const;

  // Accepted jobs of each queue of which no task has started; jobs with due times are not counted.
  [[nodiscard]] std::map<QueueId, int> Waiting() const;

  // No new tasks there; lasting tasks are moved away within their budgets.
  void SetEvacuating(const BackendId& id, bool evacuating);
  // Backend servers that are better left free, so that tasks are not moved twice.
  void SetAvoided(const BackendId& id, bool avoided);
  // Nothing runs there, nothing may, and all that ended is written down.
  [[nodiscard]] bool IsIdle(const BackendId& id) const;
  // The platform has ended everything on a backend server.
  void BackendEnded(const BackendId& id, MonotonicTime now);

  struct BackendView {
    BackendId id;
    VmId vm;
    PoolId pool;
    int tasks = 0;
    int long_running_tasks = 0;
    // Nothing runs there, and all that ended is written down.
    bool settled = false;
    Resources used;
    Resources capacity;
    bool usable = false;
    bool evacuating = false;
  };
  [[nodiscard]] std::vector<BackendView> Backends() const;

  // Jobs that ended at least `age` ago and whose end is written.
  [[nodiscard]] std::vector<JobId> Expired(Millis age, MonotonicTime now) const;
  void Forget(const JobId& id);

  // What a pool's queues ask for. Work is in milli-cores times milliseconds, by the callers'
  // estimates.
  struct PoolLoad {
    // Processors of all lasting tasks, running or not, and of the others that run.
    std::int64_t long_running_cpu = 0;
    std::int64_t running_cpu = 0;
    // Of tasks that do not run yet.
    std::int64_t waiting_work = 0;
    // Of all jobs that this owner has taken so far, without lasting tasks.
    std::int64_t arrived_work = 0;
    // Backend servers that the widest spread of a lasting step needs.
    int min_servers = 0;
  };
  [[nodiscard]] std::map<PoolId, PoolLoad> Loads() const;

  // Another owner was met at a backend server.
  [[nodiscard]] bool fenced() const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sapphirewheel
