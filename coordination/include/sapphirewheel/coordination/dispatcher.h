#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sapphirewheel/coordination/dispatch_model.h"
#include "sapphirewheel/coordination/evacuations.h"
#include "sapphirewheel/coordination/first_contact.h"
#include "sapphirewheel/coordination/job_progress.h"
#include "sapphirewheel/coordination/queue_routes.h"

namespace sapphirewheel {

// Starts one run of a task on a backend server. Idempotent.
struct StartOrder {
  BackendId backend;
  std::string address;
  Epoch token;
  TaskKey task;
  RunNumber run;
  std::string payload;
  std::string checkpoint;
  // All tasks on the backend server may run until this time on its own clock.
  BackendClock lease_until;
  // Permission by the queue's policy; empty if none is needed.
  std::string ticket;
};

struct StopOrder {
  BackendId backend;
  std::string address;
  Epoch token;
  TaskKey task;
  RunNumber run;
};

// Asks a backend server which runs are running and which have ended. Also extends its lease and
// acknowledges ends.
struct PollOrder {
  BackendId backend;
  std::string address;
  Epoch token;
  // If absent, the lease is not extended.
  std::optional<BackendClock> lease_until;
  std::int64_t acknowledged_end = 0;
  // The backend server may delay its reply this long until a run ends.
  Millis wait{0};
  // Increases with each poll of the backend server, so that replies can be put in order.
  std::int64_t sequence = 0;
};

// Limits a task to a percentage of its full speed.
struct PaceOrder {
  BackendId backend;
  std::string address;
  Epoch token;
  TaskKey task;
  RunNumber run;
  int percent = 100;
};

// Asks the queue's policy which backend servers may run a step.
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
  // Tickets of the backend servers that may run the step; the others may not.
  std::map<BackendId, std::string> tickets;
  Millis validity{0};
};

enum class OrderOutcome {
  kDone,
  // The backend server has seen a higher fencing token.
  kFenced,
  // The number of the run is not above those of runs that were stopped there or have ended, or
  // another run of the task is there.
  kStaleRun,
  // The lease in the order had already expired.
  kLeaseExpired,
  kNoRoom,
  kTicketRefused,
  kMalformed,
  // Nothing was done; a later attempt may succeed.
  kBusy,
  // Another incarnation of a backend server replied from this address.
  kWrongIncarnation,
  // The order was certainly not received.
  kNotSent,
  // The order may have been carried out or may still be.
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
  // Set if the backend server replied.
  std::optional<BackendClock> clock;
};

enum class DecisionKind {
  kJobTaken,
  kJobEnded,
  kOccurrencesWait,
  kTaskStarted,
  kStartRefused,
  kTaskEnded,
  kTaskLost,
  kTaskStopped,
  kTaskWaiting,
  kCopyStarted,
  kCopyDone,
  kBackendSeen,
  kBackendSuspect,
  kBackendGone,
  kBackendDraining,
  kInterference,
  kFenced,
  // A pool begins and ends to defer jobs.
  kOverloadBegan,
  kOverloadEnded,
};

// A decision with the inputs that led to it, for the log.
struct Decision {
  DecisionKind kind;
  JobId job;
  std::string task;
  BackendId backend;
  RunNumber run;
  std::string detail;
};

// A progress row to be written.
struct ProgressWrite {
  JobId job;
  std::string value;
  // The size of the row that was too large; the job has ended instead. 0 if the row fits.
  std::size_t oversize = 0;
};

// A backend server that an owner may have given work.
struct RosterEntry {
  PoolId pool;
  // Time by which all runs there have ended, because the owner sends it no more orders. Absent
  // while the owner may send orders.
  std::optional<MonotonicTime> runs_end_by;
  // Its VM; empty if that is not known.
  VmId vm = VmId();
  // An order by the clock of an earlier incarnation may have granted a longer lease than the usual
  // one, until then.
  std::optional<MonotonicTime> longer_lease_until = std::nullopt;
  // The owner that sends it no further starts, and to which all earlier ones were confirmed. Its
  // successor need not expect runs of an incarnation that nobody has heard of.
  std::optional<Epoch> closed_by = std::nullopt;
  bool operator==(const RosterEntry&) const = default;
};
using Roster = std::map<BackendId, RosterEntry>;

// What an owner that sends no more orders tells its successor of the runs that it has started.
struct HandOver {
  // Time by which the runs on all backend servers but `uncertain` have ended, unless the successor
  // extends their leases.
  MonotonicTime runs_end_by;
  // Backend servers on which runs may last for longer: not every start is known to have reached the
  // incarnation that it was meant for.
  std::set<BackendId> uncertain;
};

// Places the tasks of all jobs on backend servers, as the only owner of a fleet. Handles the order
// of starts, capacity, upper limits of teams, attempts, checkpoints, gangs, long-running tasks, the
// leases of backend servers, and recovery of the runs that an earlier owner started. Not
// thread-safe; the time is passed in.
//
// Only accepted jobs and their progress are stored; starts are not. A new owner polls every backend
// server that an earlier owner may have used (the roster), which also fences that owner there. For
// the servers that do not reply it waits until their lease has expired before it restarts tasks
// that may be running there.
class Dispatcher {
 public:
  struct Settings {
    Epoch token;
    // Lease that each order grants to a backend server's tasks; at most `max_lease`.
    Millis lease{6000};
    // Longest lease that backend servers accept.
    Millis max_lease{10'000};
    // A backend server that has not replied for this long gets no new work.
    Millis suspect_after{1200};
    // Longest time that a poll waits for the end of a run.
    Millis poll_wait{800};
    // Pause between two polls, so that one poll returns several ends.
    Millis poll_pause{70};
    // How long before its due time an occurrence may start.
    Millis max_early_start{0};
    FirstContact::Settings first_contact;
    // Whether jobs are deferred when a pool has more work than it can finish in time. If not, all
    // jobs that can still be in time start by priority and deadline.
    bool defer_under_overload = true;
    // Whether tasks that last unusually long are run a second time if their step allows it.
    bool copies = true;
    // Maximum size of a progress row.
    std::size_t max_row_bytes = kMaxRowBytes;
  };
  struct Hooks {
    std::function<void(const StartOrder&)> start;
    std::function<void(const StopOrder&)> stop;
    std::function<void(const PollOrder&)> poll;
    std::function<void(const PaceOrder&)> pace;
    std::function<void(const AdviceOrder&)> advise;
    // Time of day; used only for due times and target completion times.
    std::function<UnixMillis()> wall_clock;
    std::function<void(const Decision&)> report;
  };

  Dispatcher(Settings settings, Hooks hooks, MonotonicTime now);
  ~Dispatcher();
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;

  void SetConfig(std::shared_ptr<const DispatchConfig> config);

  // The data centres in which nothing is started. Tasks that run there and end by themselves run to
  // their end; long-running ones are moved away within their unavailability budgets if all that
  // have to move with them have room elsewhere. While the confirmation is too old, nothing is
  // started anywhere.
  void SetEvacuations(const Evacuations& evacuations);

  // What is in a data centre.
  struct DataCentreUse {
    int servers = 0;
    int tasks = 0;
    int long_running_tasks = 0;
  };
  [[nodiscard]] DataCentreUse UseOf(const DataCentreId& data_centre) const;

  // Sets the backend servers to which an earlier owner may have given work; to be called before the
  // first tick. `taken_at` is when this owner took over; earlier owners sent no orders after it.
  // `hand_over` is what the last owner told, if it ended as planned.
  void SetRoster(const Roster& roster, MonotonicTime taken_at,
                 const std::optional<HandOver>& hand_over = std::nullopt);
  // What to tell the successor; to be called when no more orders are sent.
  [[nodiscard]] HandOver MakeHandOver() const;
  // The backend servers that may be given work, if they differ from the roster written last. A
  // backend server gets work only after the roster that contains it has been written.
  [[nodiscard]] std::optional<Roster> RosterToWrite() const;
  // A write of the roster was sent. From then on a successor may believe it, so the backend servers
  // that it gives up get no work until a later roster with them has been written.
  void RosterSent(const Roster& roster);
  void RosterWritten(const Roster& roster);

  // Sets the pools in which earlier owners may have started runs of each queue's jobs; to be called
  // before the first job is added. If it is not called, they may be in any pool.
  void SetRoutes(const QueueRoutes& routes);
  // The routes that runs need, if they differ from those written last. Runs of a queue's jobs start
  // in a pool only after the routes that contain it have been written, so that a successor knows
  // where they may be, whatever configuration it has.
  [[nodiscard]] std::optional<QueueRoutes> RoutesToWrite();
  // A write of the routes was sent. From then on a successor may believe it.
  void RoutesSent(const QueueRoutes& routes);
  void RoutesWritten(const QueueRoutes& routes);

  // Takes note of servers whose VM has left them, by a list of VMs that is newer than the ownership
  // and describes them as they were at `as_of` or later. Nothing waits for the leases of those of
  // the roster, nor for starts that were on the way to a server before. A VM that is down may be
  // cut off.
  void OnVmList(const std::vector<VmReport>& vms, MonotonicTime as_of, MonotonicTime now);

  // Jobs stored after `horizon` start only when it has been raised. The owner stores the horizon
  // before it raises it here, so its successor knows that no later job has been started.
  void SetStartHorizon(Revision horizon);
  // The revision up to which jobs are known, if it is above the horizon.
  [[nodiscard]] std::optional<Revision> RevisionAboveHorizon() const;

  void UpsertBackend(const BackendReport& report, MonotonicTime now);
  void RemoveBackend(const BackendId& id, MonotonicTime now);

  // The tasks of `inherited` jobs may already be running, started by an earlier owner.
  void AddJob(StoredJob job, const std::optional<JobProgress>& progress, bool inherited,
              MonotonicTime now);
  void CancelJob(const JobId& id, MonotonicTime now);

  void OnStart(const StartOrder& order, const OrderReply& reply, MonotonicTime now);
  void OnStop(const StopOrder& order, const OrderReply& reply, MonotonicTime now);
  void OnPace(const PaceOrder& order, const OrderReply& reply, MonotonicTime now);
  void OnAdvice(const AdviceOrder& order, const AdviceReply& reply, MonotonicTime now);
  // `sent` is when the poll was sent.
  void OnPoll(const PollOrder& order, const PollReply& reply, MonotonicTime sent,
              MonotonicTime now);

  // Makes all due decisions; to be called about every 20 ms. `may_order` is false when the
  // ownership has expired.
  void Tick(MonotonicTime now, bool may_order);

  // Takes progress rows to be written, oldest change first: at most `max_writes`, and no more than
  // fit into `max_bytes`, but at least one if there is any. A job whose row is above the limit of a
  // row fails, as its progress can't be kept. Call WritesDone with the outcome before the next
  // batch is taken.
  [[nodiscard]] std::vector<ProgressWrite> TakeWrites(std::size_t max_writes,
                                                      std::size_t max_bytes);
  void WritesDone(bool written);
  [[nodiscard]] bool HasWrites() const;

  // Number of accepted jobs of each queue of which no task is known to have started. Jobs with due
  // times are not counted.
  [[nodiscard]] std::map<QueueId, int> Waiting() const;

  // While evacuating, a backend server gets no new tasks, and its long-running tasks are moved away
  // within their unavailability budgets.
  void SetEvacuating(const BackendId& id, bool evacuating);
  // Avoided backend servers are used last, so that tasks need not be moved twice.
  void SetAvoided(const BackendId& id, bool avoided);
  // Whether nothing runs there or may be running, and all ends have been written.
  [[nodiscard]] bool IsIdle(const BackendId& id) const;
  // The platform has ended all runs on a backend server.
  void BackendEnded(const BackendId& id, MonotonicTime now);

  struct BackendView {
    BackendId id;
    VmId vm;
    PoolId pool;
    int tasks = 0;
    int long_running_tasks = 0;
    // Nothing runs there or is being moved there, and all ends have been written.
    bool settled = false;
    Resources used;
    Resources capacity;
    bool usable = false;
    bool evacuating = false;
    bool avoided = false;
    DataCentreId data_centre;
    // Its data centre is evacuated.
    bool in_evacuation = false;
    // Registered, and has not replied to this owner because it was not asked yet or just now.
    bool awaits_contact = false;
  };
  // The registered backend servers. Before them, as not usable, those that are not registered but
  // may still run something, because a server that lost the path to the registry leaves it.
  [[nodiscard]] std::vector<BackendView> Backends() const;

  // Jobs that ended at least `age` ago and whose end has been written.
  // Takes note of a job that has ended and whose row was removed.
  void AddEnded(const JobId& id, const JobProgress& progress, MonotonicTime now);
  // Jobs whose end was written at least `age` ago and whose row is no longer needed; each is
  // returned once.
  [[nodiscard]] std::vector<JobId> TakeRemovable(Millis age, MonotonicTime now);
  [[nodiscard]] std::vector<JobId> Expired(Millis age, MonotonicTime now) const;
  void Forget(const JobId& id);

  // The demand of a pool's queues. Work is in milli-cores times milliseconds, by the mean durations
  // that were observed of the tasks' images, or else by the callers' estimates.
  struct PoolLoad {
    // Milli-cores of all long-running tasks, running or not, and of the other tasks that run.
    std::int64_t long_running_cpu = 0;
    std::int64_t running_cpu = 0;
    // Work of tasks that do not run yet.
    std::int64_t waiting_work = 0;
    // The parts of both that can no longer meet their target completion time, or are beyond their
    // team's share.
    std::int64_t overdue_running_cpu = 0;
    std::int64_t overdue_work = 0;
    // Work of all new jobs that this owner has taken so far, without long-running tasks.
    std::int64_t arrived_work = 0;
    // Largest number of backend servers that a long-running step needs because of its
    // per_server_limit.
    int min_servers = 0;
    // Backend servers that the long-running tasks fill, by processors, memory or accelerators, if
    // each server has tasks of one step only.
    double long_running_servers = 0;
    // Steps with long-running tasks that wait and for which no server of the pool has room beside
    // its other long-running tasks.
    int steps_without_room = 0;
  };
  [[nodiscard]] std::map<PoolId, PoolLoad> Loads() const;

  // Number of jobs, by pool, that could be in time but are deferred because there is no room. Pools
  // that have deferred jobs before stay listed.
  [[nodiscard]] std::map<PoolId, int> Deferred() const;

  // What placement has cost so far.
  struct PlacementWork {
    std::uint64_t rounds = 0;
    // Steps with waiting tasks that a round considered.
    std::uint64_t candidates = 0;
    // Backend servers that were compared for a task.
    std::uint64_t servers_compared = 0;
  };
  [[nodiscard]] const PlacementWork& placement_work() const noexcept;

  // The first contact with the backend servers of this owner.
  struct ContactStatus {
    // Registered servers that were not polled yet.
    std::size_t unasked = 0;
    // How many polls of servers without a reply may be open.
    std::size_t round_size = 0;
  };
  [[nodiscard]] ContactStatus contact_status() const noexcept;

  // Whether a backend server has refused an order because of a higher fencing token.
  [[nodiscard]] bool fenced() const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sapphirewheel
