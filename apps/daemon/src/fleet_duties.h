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

// The duties that one node of the fleet has at a time: moves of VMs between pools, and maintenance
// waves. Only relays compete for them, so that the leases cost the same however many nodes there
// are.
class FleetDuties {
 public:
  struct Settings {
    NodeId self;
    PolicyProfile profile;
    Millis interval{100};
    // Nodes read the assignments this often; a drained VM stays free of new work only after that.
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
    // Load of this node's own workers.
    std::function<std::vector<ServiceLoad>()> loads;
  };

  FleetDuties(Settings settings, Parts parts);

  void Tick(MonotonicTime now);
  void Resign();

  [[nodiscard]] std::vector<WaveProgress> Waves() const { return waves_.Waves(); }
  // The node that runs the waves, as far as this node knows; only that one has their progress.
  [[nodiscard]] const NodeId& wave_holder() const noexcept { return waves_.lease().holder(); }
  [[nodiscard]] bool HoldsWaves() const;
  [[nodiscard]] bool HoldsPools() const;
  [[nodiscard]] std::uint64_t moves() const noexcept { return pools_.mover().completed(); }

 private:
  [[nodiscard]] std::vector<ServiceDemand> Demand(MonotonicTime now) const;
  [[nodiscard]] const VmInfo* FindVm(const VmId& vm) const;
  VmMover::Hooks MoverHooks();
  WaveController::Hooks WaveHooks();
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
