#pragma once

#include <functional>
#include <map>
#include <vector>

#include "fleet_watch.h"
#include "sapphirewheel/coordination/config_log.h"
#include "sapphirewheel/coordination/membership.h"
#include "sapphirewheel/coordination/pool_duty.h"
#include "sapphirewheel/coordination/wave_controller.h"
#include "sapphirewheel/coordination/worker_registry.h"

namespace sapphirewheel {

// The duties that only one node of the fleet holds at a time: moving VMs between pools, and running
// maintenance waves. Only relays compete for them, so that the cost of the leases does not grow
// with the number of nodes.
class FleetDuties {
 public:
  struct Settings {
    NodeId self;
    PolicyProfile profile;
    Millis interval{100};
    // Interval at which nodes read the assignments. Only after this time is a draining VM sure to
    // get no new work.
    Millis assignment_interval{2000};
  };
  struct Parts {
    Membership& membership;
    ConfigLog& config;
    FleetWatch& watch;
    TableHooks table;
    WorkerHooks workers;
    Clock clock;
    RandomSource random;
    std::function<void(VmId, DoneCallback)> reboot;
    // Load of the workers that this node owns.
    std::function<std::vector<ServiceLoad>()> loads;
  };

  FleetDuties(Settings settings, Parts parts);

  void Tick(MonotonicTime now);
  void Resign();

  [[nodiscard]] std::vector<WaveProgress> Waves() const { return waves_.Waves(); }
  // The node that runs the waves, as far as this node knows. Only that node has their progress.
  [[nodiscard]] const NodeId& wave_holder() const noexcept { return waves_.lease().holder(); }
  [[nodiscard]] bool HoldsWaves() const;
  [[nodiscard]] bool HoldsPools() const;
  [[nodiscard]] std::uint64_t moves() const noexcept { return pools_.mover().completed(); }

 private:
  [[nodiscard]] std::vector<ServiceDemand> Demand(MonotonicTime now) const;
  [[nodiscard]] const VmInfo* FindVm(const VmId& vm) const;
  VmMover::Hooks MoverHooks();
  WaveController::Hooks WaveHooks();
  // Drains the worker and asks how many tasks still run on it; no value when it does not answer.
  void QueryRunning(const VmId& vm, std::function<void(std::optional<std::int64_t>)> done);
  void QueryHealth(const VmId& vm, std::function<void(std::optional<WorkerHealth>)> done);
  // Reboots a VM on which nothing runs.
  void Reboot(const VmId& vm);

  Settings settings_;
  Parts parts_;
  PoolDuty pools_;
  WaveController waves_;
  MonotonicTime next_{};
};

}  // namespace sapphirewheel
