#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sapphirewheel/coordination/peer_report.h"
#include "sapphirewheel/coordination/usage_estimator.h"
#include "sapphirewheel/coordination/worker_report.h"
#include "sapphirewheel/state/fleet_config.h"
#include "sapphirewheel/state/fleet_view.h"

namespace sapphirewheel {

// A worker that this node may dispatch tasks to, and its free capacity.
struct WorkerView {
  VmInfo info;
  PoolId pool;
  Epoch epoch;
  Slots slots;
  Slots free_slots;
  bool quarantined = false;
};

// Tracks the workers of this data centre: which node should own each of them, which ones this node
// owns, the tasks that run on them, and which ones may get new tasks.
class WorkerRegistry {
 public:
  struct Settings {
    NodeId self;
    DataCentreId data_centre;
    Millis renew_interval{1000};
    // Fraction of the granted lease that is used, to allow for clock drift between this node and
    // the worker.
    double lease_safety = 0.8;
    // Consecutive failed tasks of different jobs or requests after which a worker is quarantined.
    int quarantine_failures = 3;
    Millis quarantine_time{60000};
    // A worker that another node should own gets no new tasks for this long, so that its tasks end
    // and it can be released. After that it is used again, because a long job may occupy it for
    // hours.
    Millis handover_wait{10000};
  };

  explicit WorkerRegistry(Settings settings);

  void OnVmList(const VmList& list, MonotonicTime now);
  void OnAssignments(const std::map<VmId, VmAssignment>& assignments);
  // Sets the live nodes of this data centre. Rendezvous hashing over them determines which node
  // should own each worker.
  void OnLiveNodes(const std::vector<NodeId>& nodes);

  // Returns the ownership calls to send now: claims, renewals and releases. At most one call per
  // worker is pending at a time.
  [[nodiscard]] std::vector<OwnershipCall> CallsDue(MonotonicTime now);
  // `sent_at` is the time at which the call was sent; the lease starts then.
  void OnReply(const VmId& vm, const OwnershipReply& reply, MonotonicTime sent_at);
  // Acknowledges to the worker, with the next renewal, a finished job task whose result was
  // recorded.
  void Acknowledge(const VmId& vm, const TaskId& task);

  // Chooses an owned worker in a pool that runs the service. The worker has a valid lease and
  // enough free slots and is not leaving, draining or quarantined. Prefers workers without recent
  // failures, then racks with the fewest running slots of the team, then the most free slots.
  [[nodiscard]] std::optional<WorkerView> Choose(const ServiceId& service, const TeamId& team,
                                                 Slots slots, const FleetConfig& config,
                                                 MonotonicTime now) const;
  // Counts a task on a worker from its dispatch until Finish. The estimate of the cores that the
  // task uses is more accurate when the service is given.
  void Start(const VmId& vm, const TaskId& task, const TeamId& team, Slots slots,
             const ServiceId& service = ServiceId());
  enum class TaskEnd { kSucceeded, kFailed, kNotRun, kUnknown };
  // `work_id` is the id of the job or request; failures of different ones indicate that the worker
  // rather than the job is at fault.
  void Finish(const VmId& vm, const TaskId& task, TaskEnd end, const std::string& work_id,
              MonotonicTime now);

  // True when failures of tasks are attributed to the worker rather than to the jobs.
  [[nodiscard]] bool IsQuarantined(const VmId& vm, MonotonicTime now) const;
  // Free and running slots of each service on owned workers.
  [[nodiscard]] std::vector<ServiceLoad> Loads(const FleetConfig& config, MonotonicTime now) const;
  // True when some worker of the service's pools, owned or not, has at least this many slots in
  // total.
  [[nodiscard]] bool CouldEverFit(const ServiceId& service, Slots slots,
                                  const FleetConfig& config) const;
  // Data centres with a live worker that runs the service and accepts tasks.
  [[nodiscard]] std::set<DataCentreId> ServingDataCentres(const ServiceId& service,
                                                          const FleetConfig& config) const;
  [[nodiscard]] const std::map<VmId, VmInfo>& vms() const noexcept { return vms_; }
  [[nodiscard]] std::vector<WorkerView> Owned(MonotonicTime now) const;
  // Stops claiming workers and releases all of them when this node drains.
  void ReleaseAll();
  // Boot id last reported by a worker; empty when unknown.
  [[nodiscard]] std::string BootIdOf(const VmId& vm) const;

 private:
  struct RunningTask {
    TeamId team;
    ServiceId service;
    Slots slots;
  };
  struct WorkerState {
    NodeId preferred_owner;
    bool owned = false;
    bool call_pending = false;
    bool release_pending = false;
    WorkerReport report;
    MonotonicTime lease_end{};
    MonotonicTime next_call{};
    // Since when another node should own the worker; unset while this node should.
    std::optional<MonotonicTime> handover_since;
    MonotonicTime quarantined_until{};
    MonotonicTime first_failure{};
    std::set<std::string> failed_work_ids;
    std::set<TeamId> failed_teams;
    std::map<TaskId, RunningTask> tasks;
    // Slots and cores of running tasks that this node does not track: tasks of an earlier owner and
    // tasks of unknown outcome.
    Slots untracked_slots;
    std::int64_t untracked_millicores = 0;
    // Tasks that ended while a call was pending; its reply may still list them as running.
    std::set<TaskId> ended_during_call;
    std::vector<TaskId> acknowledged;
    std::vector<TaskId> acknowledged_in_flight;
  };
  // The latest successes of a team's tasks, on two different workers.
  struct Successes {
    VmId vm, other_vm;
    MonotonicTime at{}, other_at{};
  };

  [[nodiscard]] bool IsOwned(const WorkerState& worker, MonotonicTime now) const;
  [[nodiscard]] bool AcceptsWork(const VmId& vm, const WorkerState& worker,
                                 MonotonicTime now) const;
  [[nodiscard]] const PoolChange* PoolOf(const VmId& vm, const FleetConfig& config) const;
  [[nodiscard]] bool HasCoresFor(const VmInfo& info, const WorkerState& worker,
                                 const RunningTask& task) const;
  [[nodiscard]] std::int64_t EstimateMillicores(const VmInfo& info, const WorkerState& worker,
                                                const RunningTask& task) const;
  [[nodiscard]] WorkerView MakeView(const VmId& vm, const WorkerState& worker,
                                    MonotonicTime now) const;
  [[nodiscard]] std::int64_t RackLoad(const TeamId& team, const RackId& rack) const;
  void AddRackLoad(const TeamId& team, const VmId& vm, std::int64_t slots);
  void ApplyReport(const VmId& vm, WorkerState& worker, const WorkerReport& report);
  void CountFailure(const VmId& vm, WorkerState& worker, const TeamId& team,
                    const std::string& work_id, MonotonicTime now);
  void CountSuccess(const VmId& vm, const TeamId& team, MonotonicTime now);
  void Judge(const VmId& vm, WorkerState& worker, MonotonicTime now) const;

  Settings settings_;
  bool releasing_ = false;
  std::vector<NodeId> nodes_;
  std::map<VmId, VmInfo> vms_;
  std::map<VmId, VmAssignment> assignments_;
  std::map<VmId, WorkerState> workers_;
  std::map<TeamId, Successes> successes_;
  // Workers with enough failures for a quarantine and no success since.
  std::set<VmId> suspects_;
  // Slots of a team's running tasks in each rack.
  std::map<TeamId, std::map<RackId, std::int64_t>> rack_load_;
  UsageEstimator estimator_;
};

}  // namespace sapphirewheel
