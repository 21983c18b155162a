#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "coordination/tests/sim_rows.h"
#include "sapphirewheel/coordination/fair_scheduler.h"
#include "sapphirewheel/coordination/pool_controller.h"
#include "sapphirewheel/coordination/worker_registry.h"
#include "tools/measure/upper_limits.h"
#include "tools/measure/workload.h"

namespace sapphirewheel::measure {

// One of the compared policies for pools, dispatch order and upper limits.
struct Variant {
  std::string name;
  PoolPlanner::Settings planner;
  // VMs never move between pools, and the spare pool is empty.
  bool fixed_pools = false;
  // Serves each service first come, first served, instead of by FairScheduler.
  bool fifo = false;
  // Divides upper limits evenly among the entry nodes, instead of by escrow.
  bool even_limits = false;
};

struct RunSettings {
  std::uint64_t seed = 1;
  Millis length{600000};
  // Number of workers; each has 8 slots and 32 cores, four to a rack.
  int workers = 50;
  // Fraction of the workers in the spare pool. With fixed pools the spare pool is empty.
  double spare_fraction = 0.12;
  // Slots that one service keeps busy on average.
  double mean_slots = 40;
  // Fraction of the arrivals that are jobs, which run for 5 to 15 s.
  double job_fraction = 0.05;
};

struct RunResult {
  // Idle core-seconds divided by used ones.
  double buffer_cost = 0;
  double moves_per_hour = 0;
  // Closeness of a team: the slots that it received in full pools, up to its entitlement there,
  // divided by that entitlement.
  double worst_closeness = 0;
  double mean_closeness = 0;
  // Fraction of the samples in which at least one pool was full.
  double full_fraction = 0;
  double urgent_median_ms = 0;
  double urgent_p99_ms = 0;
  double normal_median_ms = 0;
  double normal_p99_ms = 0;
  double utilisation = 0;
  std::int64_t placed = 0;
  // Requests and jobs that were still waiting at the end. Their waiting time up to then is counted.
  std::int64_t unplaced = 0;
};

// Simulates a fleet in virtual time. FairScheduler, WorkerRegistry and PoolController (planner and
// mover) are the production classes; workers, the table service and the upper limits are simulated.
// One scheduler represents those of all entry nodes, so forwarding between nodes is not modelled.
class FleetRun {
 public:
  FleetRun(const Variant& variant, const RunSettings& settings);
  [[nodiscard]] RunResult Run();

 private:
  struct RunningTask {
    MonotonicTime end;
    VmId vm;
    Arrival work;
    bool operator>(const RunningTask& other) const { return end > other.end; }
  };
  struct Closeness {
    double received = 0;
    double entitled = 0;
  };

  void AddPools();
  void AddWorkers();
  void RenewOwnership();
  void ReadAssignments();
  void TickPoolController();
  void EndTasks();
  void Dispatch();
  void DispatchFifo();
  [[nodiscard]] bool TryPlace(const WorkItem& item);
  void Sample();
  void SampleShares(const std::vector<PoolId>& full, double capacity);
  [[nodiscard]] Slots FreeSlots(const ServiceId& service);
  [[nodiscard]] RunResult Finish();

  Variant variant_;
  RunSettings settings_;
  SimRows sim_;
  Workload workload_;
  UpperLimits upper_limits_;
  FleetConfig config_;
  VmList vm_list_;
  std::map<VmId, VmInfo> vms_;
  std::map<VmId, VmAssignment> assignments_;
  std::map<ServiceId, PoolId> pool_of_;
  WorkerRegistry registry_;
  FairScheduler scheduler_;
  std::unique_ptr<PoolController> pool_controller_;
  std::map<TaskId, Arrival> waiting_;
  // Waiting tasks in order of arrival, used only if `Variant::fifo` is set.
  std::map<ServiceId, std::vector<TaskId>> fifo_queues_;
  std::priority_queue<RunningTask, std::vector<RunningTask>, std::greater<>> running_;
  std::map<VmId, std::int64_t> used_by_vm_;
  // Slots in use, and slots requested by waiting work, of each team in each pool.
  std::map<PoolId, std::map<TeamId, std::int64_t>> used_by_team_;
  std::map<PoolId, std::map<TeamId, std::int64_t>> waiting_by_team_;
  std::map<ServiceId, std::int64_t> used_by_service_;
  std::map<TeamId, Closeness> closeness_;
  std::vector<double> urgent_waits_;
  std::vector<double> normal_waits_;
  double used_slot_seconds_ = 0;
  std::int64_t samples_ = 0;
  std::int64_t full_samples_ = 0;
  std::int64_t placed_ = 0;
};

}  // namespace sapphirewheel::measure
