#pragma once

#include <functional>
#include <map>
#include <vector>

#include "fleet_poller.h"
#include "sapphirewheel/coordination/config_log.h"
#include "sapphirewheel/coordination/membership.h"
#include "sapphirewheel/coordination/pool_controller.h"
#include "sapphirewheel/coordination/wave_controller.h"
#include "sapphirewheel/coordination/worker_registry.h"

namespace sapphirewheel {

// The controllers that run on only one node of the fleet at a time: VM moves between pools, and
// maintenance waves. Only relays compete for their leases, so that the cost of the leases does not
// grow with the number of nodes.
class FleetControllers {
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
    FleetPoller& poller;
    TableHooks table;
    WorkerHooks workers;
    Clock clock;
    RandomSource random;
    std::function<void(VmId, DoneCallback)> reboot;
    // Load of the workers that this node owns.
    std::function<std::vector<ServiceLoad>()> loads;
  };

  FleetControllers(Settings settings, Parts parts);

  void Tick(MonotonicTime now);
  void Resign();

  [[nodiscard]] std::vector<WaveProgress> Waves() const { return waves_.Waves(); }
  // The node that runs the waves, as far as this node knows. Only that node has their progress.
  [[nodiscard]] const NodeId& wave_holder() const noexcept { return waves_.lease().holder(); }
  [[nodiscard]] bool ControlsWaves() const;
  [[nodiscard]] bool ControlsPools() const;
  [[nodiscard]] std::uint64_t moves() const noexcept { return pools_.mover().completed(); }

 private:
  [[nodiscard]] std::vector<ServiceDemand> Demand(MonotonicTime now) const;
  [[nodiscard]] const VmInfo* FindVm(const VmId& vm) const;
  VmMover::Hooks MoverHooks();
  WaveController::Hooks WaveHooks();
  // Drains the worker and asks how many tasks still run on it; no value when it does not reply.
  void CountRunning(const VmId& vm, std::function<void(std::optional<std::int64_t>)> done);
  void QueryHealth(const VmId& vm, std::function<void(std::optional<WorkerHealth>)> done);
  // Reboots a VM on which nothing runs.
  void Reboot(const VmId& vm);

  Settings settings_;
  Parts parts_;
  PoolController pools_;
  WaveController waves_;
  MonotonicTime next_{};
};

}  // namespace sapphirewheel
