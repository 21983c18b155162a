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

// A worker that this node may dispatch to, with what is free on it.
struct WorkerView {
  VmInfo info;
  PoolId pool;
  Epoch epoch;
  Slots slots;
  Slots free_slots;
  bool quarantined = false;
};

// The workers of this data centre: who should own each, which this node owns, what runs on them,
// and which are fit to get new work.
class WorkerRegistry {
 public:
  struct Settings {
    NodeId self;
    DataCentreId data_centre;
    Millis renew_interval{1000};
    // Part of the granted lease that is used, so that a slow clock of the worker is covered.
    double lease_safety = 0.8;
    // Failed tasks of different jobs or requests in a row until a worker is quarantined.
    int quarantine_failures = 3;
    Millis quarantine_time{60000};
    // A worker that another node should own gets no new work for this long, so that its tasks end
    // and it can be released; then it is used on, because a long job may keep it busy for hours.
    Millis handover_wait{10000};
  };

  explicit WorkerRegistry(Settings settings);

  void OnVmList(const VmList& list, MonotonicTime now);
  void OnAssignments(const std::map<VmId, VmAssignment>& assignments);
  // Live nodes of this data centre; decides by rendezvous hashing who should own each worker.
  void OnLiveNodes(const std::vector<NodeId>& nodes);

  // Ownership calls to send now: claims, renewals and releases. One call at a time a worker.
  [[nodiscard]] std::vector<OwnershipCall> CallsDue(MonotonicTime now);
  // `asked` is the time at which the call was sent: the lease counts from there.
  void OnReply(const VmId& vm, const OwnershipReply& reply, MonotonicTime asked);
  // A finished job task whose result was recorded; told to the worker with the next renewal.
  void Acknowledge(const VmId& vm, const TaskId& task);

  // Chooses the best owned worker of a pool that runs the service: not leaving, not draining, not
  // quarantined, lease in force, enough free slots; spread over racks by the team's running tasks,
  // then by most free slots.
  [[nodiscard]] std::optional<WorkerView> Choose(const ServiceId& service, const TeamId& team,
                                                 Slots slots, const FleetConfig& config,
                                                 MonotonicTime now) const;
  // Counts a task on a worker from its dispatch until Finish. The service improves the estimate of
  // the cores that the task uses.
  void Start(const VmId& vm, const TaskId& task, const TeamId& team, Slots slots,
             const ServiceId& service = ServiceId());
  enum class TaskEnd { kSucceeded, kFailed, kNotRun, kUnknown };
  // `subject` names the job or request, to tell a bad worker from a bad job.
  void Finish(const VmId& vm, const TaskId& task, TaskEnd end, const std::string& subject,
              MonotonicTime now);

  // True when the failure of a task is the worker's fault rather than the job's.
  [[nodiscard]] bool IsQuarantined(const VmId& vm, MonotonicTime now) const;
  // Free and running slots of each service on owned workers.
  [[nodiscard]] std::vector<ServiceLoad> Loads(const FleetConfig& config, MonotonicTime now) const;
  // True when some worker of the service's pools, owned or not, could ever hold so many slots.
  [[nodiscard]] bool CouldEverFit(const ServiceId& service, Slots slots,
                                  const FleetConfig& config) const;
  // Data centres in which some live worker that takes work runs the service.
  [[nodiscard]] std::set<DataCentreId> ServingDataCentres(const ServiceId& service,
                                                          const FleetConfig& config) const;
  [[nodiscard]] const std::map<VmId, VmInfo>& vms() const noexcept { return vms_; }
  [[nodiscard]] std::vector<WorkerView> Owned(MonotonicTime now) const;
  // Stops claiming and releases all; for the drain of this node.
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
    NodeId preferred;
    bool owned = false;
    bool call_pending = false;
    bool release_pending = false;
    WorkerReport report;
    MonotonicTime lease_end{};
    MonotonicTime next_call{};
    // Since when another node should own the worker; empty while this node should.
    std::optional<MonotonicTime> handover_since;
    MonotonicTime quarantined_until{};
    MonotonicTime first_failure{};
    std::set<std::string> failed_subjects;
    std::set<TeamId> failed_teams;
    std::map<TaskId, RunningTask> tasks;
    // Slots and cores of running tasks that this node does not track: of an earlier owner, or of
    // unknown outcome.
    Slots foreign_slots;
    std::int64_t foreign_millicores = 0;
    // Tasks that ended while a call was under way, whose answer may still list them.
    std::set<TaskId> ended_in_call;
    std::vector<TaskId> acknowledged;
    std::vector<TaskId> acknowledged_in_call;
  };
  // The latest successes of a team's tasks on two different workers.
  struct Successes {
    VmId vm, other_vm;
    MonotonicTime at{}, other_at{};
  };

  [[nodiscard]] bool IsOurs(const WorkerState& worker, MonotonicTime now) const;
  [[nodiscard]] bool TakesWork(const VmId& vm, const WorkerState& worker, MonotonicTime now) const;
  [[nodiscard]] const PoolChange* PoolOf(const VmId& vm, const FleetConfig& config) const;
  [[nodiscard]] bool CoresSuffice(const VmInfo& info, const WorkerState& worker,
                                  const RunningTask& task) const;
  [[nodiscard]] std::int64_t Millicores(const VmInfo& info, const WorkerState& worker,
                                        const RunningTask& task) const;
  [[nodiscard]] WorkerView View(const VmId& vm, const WorkerState& worker, MonotonicTime now) const;
  [[nodiscard]] std::int64_t RackLoad(const TeamId& team, const RackId& rack) const;
  void AddRackLoad(const TeamId& team, const VmId& vm, std::int64_t slots);
  void TakeReport(const VmId& vm, WorkerState& worker, const WorkerReport& report);
  void CountFailure(const VmId& vm, WorkerState& worker, const TeamId& team,
                    const std::string& subject, MonotonicTime now);
  void CountSuccess(const VmId& vm, const TeamId& team, MonotonicTime now);

  Settings settings_;
  bool releasing_ = false;
  std::vector<NodeId> nodes_;
  std::map<VmId, VmInfo> vms_;
  std::map<VmId, VmAssignment> assignments_;
  std::map<VmId, WorkerState> workers_;
  std::map<TeamId, Successes> successes_;
  // Slots of a team's running tasks in each rack.
  std::map<TeamId, std::map<RackId, std::int64_t>> rack_load_;
  UsageEstimator estimator_;
};

}  // namespace sapphirewheel
