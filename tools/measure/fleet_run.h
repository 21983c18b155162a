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
#include "tools/measure/demand.h"
#include "tools/measure/limits.h"

namespace sapphirewheel::measure {

// What is compared: one policy for pools, order and limits.
struct Variant {
  std::string name;
  PoolPlanner::Settings planner;
  bool fixed_pools = false;
  bool first_come = false;
  bool even_limits = false;
};

struct RunSettings {
  std::uint64_t seed = 1;
  Millis length{600000};
  // Workers with 8 slots and 32 cores, four to a rack.
  int workers = 50;
  // Part of the workers that the spare pool has when pools are not fixed.
  double spare_part = 0.12;
  double mean_slots = 40;
  // Part of the pieces of work that are jobs of 5 to 15 s.
  double job_part = 0.05;
};

struct RunResult {
  // Idle divided by used core-seconds.
  double buffer_cost = 0;
  double moves_per_hour = 0;
  double worst_closeness = 0;
  double mean_closeness = 0;
  // Part of the time in which some pool was full.
  double full_part = 0;
  double urgent_median_ms = 0;
  double urgent_p99_ms = 0;
  double normal_median_ms = 0;
  double normal_p99_ms = 0;
  double utilisation = 0;
  std::int64_t placed = 0;
  // Work that still waited at the end; its waiting is counted up to then.
  std::int64_t unplaced = 0;
};

// One run in virtual time. The scheduler, the registry and the planner's duty with its mover are
// the product's; workers, the table service and the limits are stand-ins. One scheduler stands for
// those of all entry nodes: forwarding between nodes is not modelled.
class FleetRun {
 public:
  FleetRun(const Variant& variant, const RunSettings& settings);
  [[nodiscard]] RunResult Run();

 private:
  struct Running {
    MonotonicTime end;
    VmId vm;
    Arrival work;
    bool operator>(const Running& other) const { return end > other.end; }
  };
  struct Closeness {
    double received = 0;
    double entitled = 0;
  };

  void AddPools();
  void AddWorkers();
  void Renew();
  void ReadRows();
  void TickDuty();
  void EndTasks();
  void Dispatch();
  void DispatchFirstCome();
  [[nodiscard]] bool TryPlace(const WorkItem& item);
  void Sample();
  void SampleShares(const std::vector<PoolId>& full, double capacity);
  [[nodiscard]] Slots FreeSlots(const ServiceId& service);
  [[nodiscard]] RunResult Finish();

  Variant variant_;
  RunSettings settings_;
  SimRows sim_;
  Demand demand_;
  Limits limits_;
  FleetConfig config_;
  VmList list_;
  std::map<VmId, VmInfo> vms_;
  std::map<VmId, VmAssignment> rows_;
  std::map<ServiceId, PoolId> pool_of_;
  WorkerRegistry registry_;
  FairScheduler scheduler_;
  std::unique_ptr<PoolController> duty_;
  std::map<TaskId, Arrival> waiting_;
  // Waiting work by order of arrival, for first come first served.
  std::map<ServiceId, std::vector<TaskId>> order_;
  std::priority_queue<Running, std::vector<Running>, std::greater<>> running_;
  std::map<VmId, std::int64_t> used_;
  // Slots in use and waiting of a team in a pool.
  std::map<PoolId, std::map<TeamId, std::int64_t>> team_used_;
  std::map<PoolId, std::map<TeamId, std::int64_t>> team_waiting_;
  std::map<ServiceId, std::int64_t> service_used_;
  std::map<TeamId, Closeness> closeness_;
  std::vector<double> urgent_waits_;
  std::vector<double> normal_waits_;
  double used_slot_seconds_ = 0;
  std::int64_t samples_ = 0;
  std::int64_t full_samples_ = 0;
  std::int64_t placed_ = 0;
};

}  // namespace sapphirewheel::measure
