#pragma once

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "dispatcher_entries.h"
#include "sapphirewheel/coordination/copy_policy.h"
#include "sapphirewheel/coordination/dispatcher.h"
#include "sapphirewheel/coordination/duration_model.h"
#include "sapphirewheel/coordination/first_contact.h"
#include "sapphirewheel/coordination/share_meter.h"

namespace sapphirewheel {

// Delay before a failed task starts again, so that a broken one does not keep a server busy.
constexpr Millis kFailedTaskDelay{50};
// Fraction by which a backend server's clock may run slower than the owner's, which prolongs a
// lease.
constexpr double kClockDrift = 0.03;
// Added to the end of a lease for the delivery time of an order.
constexpr Millis kLeaseSlack{400};
// Time after sending in which an order reaches a backend server, if it is not carried out late.
constexpr Millis kOrderDelivery{900};
// An order without a reply may be carried out up to this much later.
constexpr Millis kMaxOrderDelay{13'000};
// Size of the range of run numbers of each owner, so that they are above those of earlier owners. A
// job whose tasks need more reserves them in its progress.
constexpr std::int64_t kRunNumbersPerOwner = 1000;
// Time for which a penalized backend server gets work only if no other one has capacity.
constexpr Millis kPenaltyTime{5000};
// Delays before an order without a reply is repeated, short compared to the timeout of an order.
constexpr Millis kStartRetry{250};
constexpr Millis kStopRetry{300};
constexpr Millis kPollRetry{300};
// Interval of polls of a backend server that did not reply and runs nothing.
constexpr Millis kUnresponsivePollInterval{1000};
// Time in which a backend server that is reachable replies to one of the first polls of an owner.
constexpr Millis kFirstPollTime{1500};

struct Dispatcher::Impl {
  Impl(Settings given, Hooks given_hooks, MonotonicTime now)
      : settings(given),
        hooks(std::move(given_hooks)),
        first_contact(settings.first_contact),
        now_(now) {}

  // Longest time for which a lease can last by this node's clock.
  [[nodiscard]] static Millis LeaseTime(Millis lease) {
    const auto slow = static_cast<double>(lease.count()) * (1 + kClockDrift);
    return Millis(static_cast<std::int64_t>(slow)) + kLeaseSlack;
  }
  // Longest time that a run can continue after the last order that could extend its lease.
  [[nodiscard]] Millis LeaseBound() const { return LeaseTime(settings.lease); }
  // The same if the order may have reached an incarnation that was not known, which takes the lease
  // for a time on its own clock, and arrived within `delivery`.
  [[nodiscard]] Millis LongestLeaseBound(Millis delivery) const {
    return delivery + LeaseTime(settings.max_lease);
  }

  // dispatcher_jobs.cc
  void AddJob(StoredJob stored, const std::optional<JobProgress>& progress, bool inherited);
  void CancelJob(const JobId& id);
  void CountArrival(const JobEntry& job);
  void OpenOccurrence(JobEntry& job, int number);
  void OpenDueOccurrences();
  // Opens those of one job, as many as may be open.
  void OpenDueOccurrences(JobEntry& job, UnixMillis now);
  // Drops the state of finished occurrences of which nothing runs any more.
  static void ForgetFinishedOccurrences(JobEntry& job);
  void UpdateReady(JobEntry& job, OccurrenceState& occurrence);
  void FinishStepIfDone(JobEntry& job, OccurrenceState& occurrence);
  void EndJob(JobEntry& job, JobOutcome outcome, const std::string& why);
  // Ends the jobs with a task that waits and has no attempts left by the present configuration,
  // which need not be the one in which the task failed.
  void FailJobsWithoutAttempts();
  void CloseOpenTasks(JobEntry& job);
  void MarkDirty(JobEntry& job);
  TaskRef Find(const TaskKey& key);
  // Of a task that a backend server lists. Opens its occurrence if that is not due here yet: an
  // earlier owner, whose time of day was ahead, has started it.
  TaskRef FindStarted(const TaskKey& key);
  // The step of a task, also of an occurrence that is not open; null if the job is unknown.
  const StepSpec* FindStep(const TaskKey& key);
  [[nodiscard]] std::uint64_t WrittenUpTo() const;
  // Allows the ends on a backend server to be acknowledged whose changes are among the first
  // `written` ones.
  static void AcknowledgeEnds(BackendEntry& backend, std::uint64_t written);

  // dispatcher_durations.cc
  // Whether the duration of a run of the task on the backend server tells how long runs of its
  // image last.
  [[nodiscard]] static bool IsMeasurable(const TaskRef& ref, const BackendEntry& backend);
  void ObserveDuration(const TaskRef& ref);
  // The usual duration of a task of the step.
  [[nodiscard]] Millis ExpectedDuration(const StepSpec& spec);
  // Work of one task of the step, in milli-cores times milliseconds.
  [[nodiscard]] std::int64_t ExpectedWork(const StepSpec& spec);
  // Updates the critical paths of an occurrence, or of all after expected durations have changed.
  void UpdatePaths(const JobEntry& job, OccurrenceState& occurrence);
  void UpdateAllPaths();

  // dispatcher_copies.cc
  // The run of a task that is on the backend server: the task itself or its copy. The task if
  // neither is there.
  static TaskRef RunOn(TaskRef ref, const BackendEntry& backend);
  TaskRef FindOn(const TaskKey& key, const BackendEntry& backend);
  // The copy of a task that is under way; null if there is none.
  static TaskRef CopyOf(TaskRef ref);
  // Adds the state of a copy to a task that runs.
  static TaskRef AddCopy(TaskRef ref);
  static void RemoveCopy(const TaskRef& ref);
  // Lets the copy of a task that waits take the place of its run.
  static void KeepCopyInstead(const TaskRef& ref);
  // Called when a task is done. `current` is whether `done` is the run that ended.
  void StopOtherRun(const TaskKey& key, const TaskRef& done, bool current);
  // Whether a run that the backend server lists may be the copy of a task that runs elsewhere.
  [[nodiscard]] static bool IsSecondRun(const TaskKey& key, const TaskRef& ref,
                                        const BackendEntry& backend);
  // What the copies that an earlier owner made of the job's tasks use at most.
  [[nodiscard]] static Resources PossibleCopy(const JobEntry& job);
  // Adds to inherited_use what copies of earlier owners may use that no task is charged for.
  void CountUnknownCopies();
  // Counts what runs and waits in each pool, and adds the runs to `candidates` that may be copied.
  std::map<PoolId, CopyPolicy::Pool> CountRuns(std::vector<TaskRef>& candidates);
  // Whether a run lasts unusually long.
  [[nodiscard]] bool IsLong(const TaskRef& ref);
  [[nodiscard]] bool MayCopy(const TaskKey& key, const TaskRef& ref) const;
  void StartCopy(const TaskKey& key, const TaskRef& ref, BackendEntry& backend);
  void MakeCopies();

  // dispatcher_backends.cc and dispatcher_runs.cc
  void Charge(const TaskKey& key, const TaskRef& ref, BackendEntry& backend);
  void Release(const TaskKey& key, const TaskRef& ref, TaskPhase next);
  void Requeue(const TaskKey& key, const TaskRef& ref);
  // `why` is for the log, and is that the job has ended if it has.
  void BeginStop(const TaskKey& key, const TaskRef& ref, const std::string& why);
  void HandleEnd(BackendEntry& backend, const ListedEnd& end);
  void HandleDone(BackendEntry& backend, const ListedEnd& end, const TaskRef& ref, bool current);
  void HandleFailed(BackendEntry& backend, const ListedEnd& end, const TaskRef& ref, bool current);
  void RecordFailedRun(BackendEntry& backend, const JobId& job);
  void HandleRunning(BackendEntry& backend, const ListedRun& row);
  // Takes over a run that an earlier owner has started.
  void AdoptRun(BackendEntry& backend, const ListedRun& row, const TaskRef& ref);
  void ReconcileUnlisted(BackendEntry& backend, const std::set<TaskKey>& listed,
                         MonotonicTime sent);
  void HandleReplaced(BackendEntry& backend);
  [[nodiscard]] Millis PollPause() const;
  // Updates the mean interval between ticks.
  void ObserveTick();
  BackendEntry* ProcessReply(const BackendId& id, const std::string& address,
                             const OrderReply& reply);
  void RecordReply(BackendEntry& backend);
  // The backend server is first known to drain, by its entry `report`.
  void BeginDraining(BackendEntry& backend, const BackendReport& report) const;
  void RecordMissingReply(BackendEntry& backend);

  // dispatcher_leases.cc
  [[nodiscard]] BackendClock NewLeaseEnd(const BackendEntry& backend) const;
  // Whether an order with this lease was meant for an earlier incarnation than the one whose clock
  // is known.
  [[nodiscard]] bool IsByOtherClock(const BackendEntry& backend, BackendClock until) const;
  void ExtendLease(BackendEntry& backend);
  void RecordLease(BackendEntry& backend, BackendClock until,
                   const std::optional<BackendClock>& clock);
  // The lease may last until `end` because its order was computed by an earlier incarnation's
  // clock.
  static void KeepLongerLease(BackendEntry& backend, MonotonicTime end);
  void MarkRunLost(const BackendEntry& backend, const TaskKey& key, const std::string& why);
  void MarkRunsLost(BackendEntry& backend, const std::string& why);
  void HandleRestart(BackendEntry& backend, UnixMillis started_at);
  // Takes the clock of a list, and notices if an incarnation sends its first one.
  void RecordClock(BackendEntry& backend, const PollReply& reply);
  // A lease by the clock of an earlier incarnation may begin until `latest`.
  void ExpectLongerLease(BackendEntry& backend, MonotonicTime latest, BackendClock until) const;
  // An order is sent that extends the lease to `until`.
  void RecordLeaseOrder(BackendEntry& backend, BackendClock until);
  void RecordUnansweredLease(BackendEntry& backend, const std::optional<BackendClock>& until);
  // For the log: the incarnation that is known, and its clock.
  [[nodiscard]] std::string DescribeIncarnation(const BackendEntry& backend) const;
  // For the log: what the end of the lease was computed from.
  [[nodiscard]] std::string DescribeLease(const BackendEntry& backend) const;

  // dispatcher_unanswered.cc
  void RecordUnansweredStart(BackendEntry& backend, const TaskKey& key, RunNumber run) const;
  // Prepares the stops of runs that the new incarnation may still begin.
  void ExpectLateStarts(BackendEntry& backend);
  // Whether a start of the run may still be carried out by the present incarnation.
  [[nodiscard]] bool MayStartLate(const BackendEntry& backend, const TaskKey& key,
                                  RunNumber run) const;
  void RecordStopReply(BackendEntry& backend, const StopOrder& order, bool done) const;
  // Stops runs that the present incarnation may still begin and that no task waits for. Returns
  // whether any are still open.
  bool StopLateStarts(BackendEntry& backend);
  // When the run has ended at the latest, unless a further order extends the lease.
  [[nodiscard]] MonotonicTime RunEndsBy(const BackendEntry& backend, const TaskKey& key);
  // The same for all runs of the backend server.
  [[nodiscard]] MonotonicTime RunsEndBy(const BackendEntry& backend);
  [[nodiscard]] bool AllStartsConfirmed(const BackendEntry& backend);
  // Whether the roster may say that it gets no further starts.
  [[nodiscard]] bool MayClose(const BackendEntry& backend);
  // The VM did not run the backend server at that time.
  static void RecordVmWithoutServer(BackendEntry& backend, MonotonicTime as_of);
  void ForgetLateStarts(BackendEntry& backend) const;

  // dispatcher_orders.cc
  // Whether it replies, so that its lease may be extended if it is also in the written roster.
  [[nodiscard]] bool IsTrusted(const BackendEntry& backend) const;
  // Whether tasks of a server in the roster have to wait for its first list before they start
  // elsewhere.
  [[nodiscard]] bool AwaitsFirstList(const BackendId& id) const;
  // Whether the roster is surely the one that was written last.
  [[nodiscard]] bool IsRosterWritten();
  // Sets BackendEntry::in_roster and open_to_starts, of one server or of all.
  void UpdateInRoster(BackendEntry& backend) const;
  void UpdateInRoster();
  // Whether a long-running task there is not ready yet.
  bool IsStartingUp(const BackendEntry& backend);
  void SendPolls();
  void SendPoll(BackendEntry& backend);
  // Polls as many of the servers that are due and have not replied yet as first_contact allows.
  void SendFirstPolls(const std::vector<BackendEntry*>& due, const FirstContact::OpenCalls& open);
  [[nodiscard]] FirstContact::Rank ContactRank(const BackendEntry& backend) const;
  void UpdateContactPools();
  void SendStart(const TaskKey& key, const TaskRef& ref);
  // Repeats starts and stops without a reply. Returns whether any are still open.
  bool SendRetries(BackendEntry& backend);
  void ExpireLeases();
  // Gives up the runs whose lease has ended.
  void EndLease(BackendEntry& backend);
  // Stops tasks that are stuck, and moves tasks from servers that have to be left.
  void MoveTasks();
  void StopStuckTasks(BackendEntry& backend);
  void Evacuate(BackendEntry& backend);
  // Why Evacuate moves tasks away, for the log.
  [[nodiscard]] const char* ReasonToLeave(const BackendEntry& backend) const;
  // Stops a long-running task, which then starts on `target`.
  void MoveTask(const TaskKey& key, const TaskRef& ref, BackendEntry& target, const char* why);
  [[nodiscard]] bool IsAvailable(const TaskState& task) const;
  // Whether a long-running task is not known to be at work, or will not be for long: it may be
  // about to stop, or its server is draining or has left the registry.
  [[nodiscard]] bool IsAway(const TaskState& task) const;
  // Whether a stop of the task has been ordered, also by an earlier owner, and may be under way.
  [[nodiscard]] bool MayBeStopping(const TaskState& task) const;
  // Whether a stop of another task of the step, on a server that is not draining, may be under way.
  [[nodiscard]] bool IsSoundStopUnderWay(const TaskRef& ref) const;
  // Whether the tasks of a draining backend server can wait no longer for others.
  [[nodiscard]] bool MustLeaveNow(const BackendEntry& backend) const;
  // The number of tasks of the step, apart from this one, that are away.
  [[nodiscard]] int CountOthersAway(const TaskRef& ref) const;
  // Decides alone whether a running long-running task may be stopped to be moved.
  [[nodiscard]] bool MayStop(const TaskRef& ref) const;
  BackendEntry* FindBackend(const BackendId& id);

  // dispatcher_evacuation.cc
  // Whether nothing may be started there because its data centre is evacuated.
  [[nodiscard]] bool InEvacuation(const BackendEntry& backend) const;
  // Whether the evacuated data centres are known well enough to start anything.
  [[nodiscard]] bool MayPlace() const;
  // Whether the task is of a gang with a member in an evacuated data centre.
  [[nodiscard]] bool IsGangInEvacuation(const TaskRef& ref) const;
  // Whether the gang may be stopped as a whole and has room to start again.
  bool MayMoveGang(const QueuePolicy& queue, const TaskRef& ref);

  // dispatcher_interference.cc
  // Counts a task of the step on the backend server, or no longer, by its kind.
  void CountKind(const StepSpec& spec, BackendEntry& backend, int change) const;
  // What is known of a task of the step beside those on the backend server: whether serving tasks
  // stay below their target beside best-effort ones. Other tasks disturb none.
  [[nodiscard]] InterferenceModel::Verdict JudgeSharing(const StepSpec& spec,
                                                        const BackendEntry& backend) const;
  // Whether the task and those on the backend server are not known to work well together.
  [[nodiscard]] bool IsDisturbed(const StepSpec& spec, const BackendEntry& backend) const;
  // Called when only disturbed backend servers have room. Whether the task has waited for another
  // one for long enough.
  bool AcceptsDisturbance(StepState& step, TaskState& task) const;
  // Learns from the tail latencies in the list of runs that has just been received.
  void ObserveInterference(BackendEntry& backend);
  // The best-effort tasks at work there; absent if they have changed within the span of a report.
  [[nodiscard]] std::optional<InterferenceModel::Neighbours> NeighboursAtWork(
      const BackendEntry& backend);
  void ReportVerdict(const BackendEntry& backend, const std::string& serving,
                     const InterferenceModel::Neighbours& neighbours);
  void PaceBestEffortTasks(BackendEntry& backend);
  // Moves best-effort tasks that have no end away from serving tasks that they may disturb, to
  // where they disturb none.
  void SeparateBestEffortTasks(BackendEntry& backend);

  // dispatcher_routes.cc
  void AddRoute(const JobEntry& job);
  // Whether runs of the queue's jobs are or may be in the pool.
  [[nodiscard]] bool MayRunIn(const QueueId& queue, const PoolId& pool);
  void DropUnusedRoutes();
  [[nodiscard]] bool AllRunsKnown(const PoolId& pool) const;
  // Whether no run of the job in any pool can be unknown to this owner.
  [[nodiscard]] bool AllRunsKnown(const JobEntry& job) const;

  // dispatcher_ranking.cc
  // Time of day by which an occurrence should end, in milliseconds since 1970.
  [[nodiscard]] static std::int64_t TargetCompletion(const QueuePolicy& queue,
                                                     const OccurrenceState& occurrence);
  // Whether an occurrence can no longer meet its target completion time.
  [[nodiscard]] static bool IsLate(const QueuePolicy& queue, const OccurrenceState& occurrence,
                                   UnixMillis wall);
  // Sets the ranks of all occurrences that have waiting tasks, if they are due again.
  void RankOpenJobs();
  // The rank in the present placement round; that of a pool without overload is by deadline.
  [[nodiscard]] StartRank RankOf(const JobEntry& job, const OccurrenceState& occurrence,
                                 UnixMillis wall) const;
  // Called when the occurrence has ended or has missed its deadline.
  void CountServed(const JobEntry& job, OccurrenceState& occurrence);
  // Keeps the state of the pool, and reports when it begins or ends to be overloaded.
  void UpdateOverload(const PoolId& pool, const PoolDemand& demand, const PoolRanking& ranking);

  // dispatcher_placement.cc, dispatcher_choice.cc and dispatcher_reservations.cc
  struct Candidate {
    int tier = 0;
    int priority = 0;
    bool unstarted = false;
    std::int64_t deadline = 0;
    CoreWork work = 0;
    JobEntry* job = nullptr;
    OccurrenceState* occurrence = nullptr;
    int step = 0;
  };
  // The backend servers of a pool that may get work in the present placement round.
  struct FreeServer {
    std::int64_t free_cpu = 0;
    BackendEntry* backend = nullptr;
  };
  struct PoolServers {
    // In ascending order of their free processors.
    std::vector<FreeServer> usable;
    // No usable server has more than this free, component by component, and no warm one more than
    // the second.
    Resources largest_free;
    Resources largest_free_warm;
    // Of all usable servers, without what long-running and best-effort tasks use.
    Resources capacity;
    // Free processors when the round began.
    std::int64_t free_cpu = 0;
  };
  // The number of members of a gang that are to be placed on each backend server.
  using Plan = std::map<const BackendEntry*, int>;
  [[nodiscard]] static int PlannedOn(const Plan& plan, const BackendEntry& backend);
  PoolServers& ServersOf(const PoolId& pool);
  // Keeps the order of the pool's servers after `backend`, which had `free_cpu` before, got a task.
  void UpdateFree(BackendEntry& backend, std::int64_t free_cpu);
  // What is left of a backend server's capacity.
  [[nodiscard]] static Resources FreeOn(const BackendEntry& backend);
  void Place();
  void CollectCandidates(std::vector<Candidate>& candidates);
  // Whether a task of the step may start now. `runs_known` as for MayStart.
  [[nodiscard]] bool IsStartable(const StepState& step, const StepSpec& spec,
                                 bool runs_known) const;
  void PlaceStep(const Candidate& candidate);
  // Whether the policy's ticket for the step on the backend server is valid.
  [[nodiscard]] bool HasValidTicket(const StepState& step, const BackendEntry& backend) const;
  // Keeps room on `target` for a task that is stopped to be moved there.
  static void Promise(const TaskKey& key, TaskState& task, const StepSpec& spec,
                      BackendEntry& target);
  void ReleasePromise(const TaskKey& key, TaskState& task);
  // Releases promises to tasks that no longer wait or stop.
  void ReleaseUnneededPromises();
  // The backend server that has kept room for the task, if it may still start there.
  BackendEntry* PromisedServer(const QueuePolicy& queue, const StepState& step, const TaskKey& key,
                               const TaskState& task);
  // Whether the policy has refused the step on the backend server for good.
  [[nodiscard]] static bool IsRefused(const StepState& step, const BackendEntry& backend);
  // Whether the label and the step's limit allow a further task of it on the backend server, beside
  // the `planned` ones.
  [[nodiscard]] static bool MayHold(const StepSpec& spec, const StepState& step,
                                    const BackendEntry& backend, int planned);
  // Logs why a long-running task has no place, not more often than once in kWaitingReportInterval.
  void ReportWaiting(const Candidate& candidate, const QueuePolicy& queue, int index);
  void Reserve(const QueuePolicy& queue, const StepSpec& spec, const StepState& step, int count);
  // Whether a server of the pool has room for the task once all tasks that end by themselves have
  // ended.
  [[nodiscard]] bool WillHaveRoom(const PoolId& pool, const StepSpec& spec);
  void RequestAdvice(const Candidate& candidate, const QueuePolicy& queue);
  void PlaceGang(const Candidate& candidate, const QueuePolicy& queue);
  BackendEntry* Pick(const QueuePolicy& queue, const StepSpec& spec, const StepState& step,
                     const TaskState& task, const Plan& plan);
  // The backend server on which the task may start now. One on which best-effort and serving tasks
  // would disturb each other counts only after the task has waited for another one.
  BackendEntry* PickToStart(const QueuePolicy& queue, const StepSpec& spec, StepState& step,
                            TaskState& task, const Plan& plan);
  // The last choice for a long-running task: a server of the pool that is being freed, but has
  // long-running tasks that have not left.
  BackendEntry* PickBeingFreed(const QueuePolicy& queue, const StepSpec& spec,
                               const StepState& step);
  // Whether long-running tasks run there that are not being stopped.
  [[nodiscard]] bool HasTasksToMove(const BackendEntry& backend);
  // Whether the server may get work, which is not in an evacuated data centre; IsSound also if it
  // is being freed.
  [[nodiscard]] bool IsUsable(const BackendEntry& backend) const;
  [[nodiscard]] bool IsSound(const BackendEntry& backend) const;
  // How well a backend server suits a task, apart from how full it is; larger is better.
  [[nodiscard]] std::int64_t Suitability(const BackendEntry& backend, const StepSpec& spec,
                                         const StepState& step, const TaskState& task) const;
  [[nodiscard]] bool IsWithinLimit(const TeamId& team, const Resources& more) const;
  // `runs_known` is whether no run of the job can be unknown.
  [[nodiscard]] bool MayStart(const TaskState& task, bool runs_known) const;
  // Updates unknown_pools and inherited_use, for one placement round.
  void UpdateInherited();
  void StartTask(const TaskKey& key, const TaskRef& ref, BackendEntry& backend, RunNumber run);
  [[nodiscard]] RunNumber NextRun(const JobEntry& job, const TaskState& task) const;
  // Reserves further numbers if those that a successor leaves out are nearly used up.
  void ReserveRuns(JobEntry& job, RunNumber run);
  // A run of the task is known to have had this number, which it or its copy must not have again.
  static void RecordRunNumber(const TaskRef& ref, RunNumber run);
  // The number of the present run is not above one that its backend server has seen.
  static void SkipUsedNumbers(const TaskRef& ref);

  void Report(DecisionKind kind, const JobId& job, const std::string& task,
              const BackendId& backend, RunNumber run, std::string detail) const {
    if (hooks.report) {
      hooks.report(Decision{kind, job, task, backend, run, std::move(detail)});
    }
  }

  const Settings settings;
  const Hooks hooks;
  std::shared_ptr<const DispatchConfig> config;
  std::unordered_map<JobId, std::unique_ptr<JobEntry>> jobs;
  // Jobs that have not ended, and those of them with due times.
  std::set<JobEntry*, ById> open_jobs;
  std::set<JobEntry*, ById> timed_jobs;
  // Backend servers with starts or stops that may have to be repeated.
  std::set<BackendId> retry_backends;
  std::map<BackendId, std::unique_ptr<BackendEntry>> backends;
  // As of the present placement round.
  std::map<PoolId, PoolServers> pool_servers;
  bool pool_servers_valid = false;
  std::map<TeamId, Resources> team_use;
  std::map<PoolId, std::int64_t> arrived_work;
  ShareMeter share_meter;
  InterferenceModel interference;
  // Verdicts that were logged last, by the images of the serving and the best-effort task.
  std::map<std::pair<std::string, std::string>, InterferenceModel::Verdict> verdicts;
  CopyPolicy copy_policy;
  MonotonicTime next_copies;
  DurationModel durations;
  // Of the expected durations that the critical paths were last computed with.
  std::uint64_t paths_revision = 0;
  MonotonicTime next_path_update;
  // Backend servers that an earlier owner may have used and that have not replied yet.
  Roster roster_pending;
  // Until then, those of them that are registered are awaited even if their runs have ended. Those
  // whose turn to be polled comes later are awaited for longer.
  MonotonicTime first_lists_by;
  // Pools with backend servers in roster_pending, and what earlier owners may have running there,
  // as of the present placement round.
  std::set<PoolId> unknown_pools;
  std::map<TeamId, Resources> inherited_use;
  // Later jobs are not started yet.
  Revision start_horizon;
  // Highest revision of a job.
  Revision newest_job;
  Roster roster_written;
  bool roster_ever_written = false;
  // What earlier owners stored; absent if they may have started runs in any pool.
  std::optional<QueueRoutes> inherited_routes;
  QueueRoutes routes;
  // Set while `routes` may name pools that queues no longer need.
  bool routes_changed = false;
  // Runs of a queue's jobs start only in pools that these name.
  QueueRoutes routes_written;
  bool routes_ever_written = false;
  // Backend servers that a roster without a confirmed write gives up.
  std::set<BackendId> given_up;
  // Backend servers that such a roster says to get no further starts.
  std::set<BackendId> closing;
  // Sequence number of the last change of any job's progress.
  std::uint64_t last_change = 0;
  // Changed jobs by the sequence number of their oldest unwritten change.
  std::map<std::uint64_t, JobId> dirty;
  // The batch that is being written.
  std::map<std::uint64_t, JobId> writing;
  // Jobs whose end has been written, with the time of that, until TakeRemovable returns them.
  std::deque<std::pair<MonotonicTime, JobId>> removable;
  FirstContact first_contact;
  // Registered servers that had not been polled before the last polls were sent.
  std::size_t unasked = 0;
  // Pools with waiting work and spare pools, for the order of first polls.
  struct ContactPools {
    std::set<PoolId> waiting;
    std::set<PoolId> spare;
    MonotonicTime valid_until;
  };
  ContactPools contact_pools;
  std::map<QueueId, ServedBySize> served_by_size;
  struct PoolOverload {
    bool overloaded = false;
    int deferred = 0;
    // Its begin was reported, and not its end.
    bool reported = false;
    MonotonicTime last_overloaded;
  };
  std::map<PoolId, PoolOverload> pool_overload;
  MonotonicTime next_ranking;
  PlacementWork placement_work;
  // See PoolLoad::steps_without_room; of the last placement round.
  std::map<PoolId, int> steps_without_room;
  bool fenced = false;
  // The advice service accepts one call per node at a time.
  bool advice_in_flight = false;
  bool place_due = true;
  MonotonicTime next_place;
  MonotonicTime next_stuck_check;
  MonotonicTime next_backend_check;
  Evacuations evacuations;
  MonotonicTime next_evacuation_check;
  MonotonicTime last_tick;
  double tick_interval_ms = 0;
  MonotonicTime now_;
};

}  // namespace sapphirewheel
