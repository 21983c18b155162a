#pragma once

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sapphirewheel/coordination/dispatch_model.h"
#include "sapphirewheel/coordination/dispatcher.h"
#include "sapphirewheel/coordination/fleet_ports.h"

namespace sapphirewheel {

// Moves idle VMs between pools as their demand changes, and switches off VMs that no pool needs.
//
// A pool needs capacity for its long-running tasks, for the arriving work, and for the backlog that
// will exist by the time a VM that is moved now can start tasks. VMs are taken from the spare pool
// first, then from pools that have more than they need. Only VMs without tasks are moved.
class PoolAutoscaler {
 public:
  struct Settings {
    // Time from the order of a move to the first start on the moved VM.
    Millis provisioning_time{1800};
    // Time in which a backlog of work is to be cleared.
    Millis backlog_clear_time{1500};
    // Window over which the arrival rate of work is measured.
    Millis arrival_window{800};
    // VMs are switched off only if the pool has not needed them for this long, because arrivals
    // vary within a cycle of the load.
    Millis demand_hold{1500};
    // Time without tasks before a VM is switched off, or moved to another pool.
    Millis idle_before_off{200};
    Millis idle_before_move{100};
    // Minimum number of backend servers of a pool that is not spare.
    int min_servers = 2;
    // Fraction of a server's processors that tasks of mixed sizes can use.
    double packing_efficiency = 0.85;
  };
  struct Hooks {
    std::function<void(const VmId&, const PoolId&)> move;
    // Stops new tasks on a VM that is about to leave its pool, or allows them again.
    std::function<void(const BackendId&, bool)> evacuate;
    // All runs on the backend server have ended.
    std::function<void(const BackendId&)> ended;
    std::function<void(const std::string&)> report;
  };

  PoolAutoscaler(Settings settings, Hooks hooks) : settings_(settings), hooks_(std::move(hooks)) {}

  void SetConfig(std::shared_ptr<const DispatchConfig> config) { config_ = std::move(config); }
  // Servers in these data centres count as no capacity, and their VMs are not moved into a pool.
  void SetEvacuated(std::set<DataCentreId> data_centres) { evacuated_ = std::move(data_centres); }
  void SetVms(const std::vector<VmReport>& vms, MonotonicTime now);
  void OnMove(const VmId& vm, VmOrderOutcome outcome, MonotonicTime now);
  // Does not move a VM before a time, as an order to it may still be carried out.
  void Hold(const VmId& vm, MonotonicTime until);
  // `reserved` returns whether a VM is due for maintenance; such VMs are not moved.
  void Tick(const std::vector<Dispatcher::BackendView>& backends,
            const std::map<PoolId, Dispatcher::PoolLoad>& loads,
            const std::function<bool(const VmId&)>& reserved, MonotonicTime now);

  // Number of backend servers that a pool should have.
  [[nodiscard]] int Wanted(const PoolId& pool) const;

  struct PoolStatus {
    PoolId pool;
    // Numbers of backend servers; `incoming` are on the way into the pool.
    int wanted = 0;
    int present = 0;
    int incoming = 0;
  };
  [[nodiscard]] std::vector<PoolStatus> Status() const;

 private:
  struct Arrival {
    MonotonicTime at;
    std::int64_t work = 0;
  };
  struct PoolState {
    std::deque<Arrival> arrivals;
    int wanted = 0;
    // Largest `wanted` within Settings::demand_hold.
    int peak = 0;
    // Values of `wanted` within that time.
    std::deque<std::pair<MonotonicTime, int>> recent;
    int present = 0;
    // VMs that are being moved into the pool.
    int incoming = 0;
    double core_capacity = 0;
  };
  struct VmEntry {
    VmReport report;
    BackendId backend;
    bool idle = false;
    MonotonicTime idle_since;
    // Pool of a move that is in progress.
    std::optional<PoolId> target;
    MonotonicTime ordered_at;
    bool order_in_flight = false;
    // Backend servers that the move ends: those that the VM had when it was ordered, and later ones
    // outside the target pool.
    std::set<BackendId> leaving;
    // Set after an order without a reply, until it is repeated.
    std::optional<MonotonicTime> retry_at;
    // Set while an order of the present move without a reply may still be carried out.
    std::optional<MonotonicTime> may_run_until;
    // The VM is not moved again before this time, as an order without a reply may still be carried
    // out.
    MonotonicTime hold_until;
  };

  [[nodiscard]] static int Rank(const VmEntry& entry, const Dispatcher::BackendView& server);
  void UpdatePools(const std::vector<Dispatcher::BackendView>& backends, MonotonicTime now);
  void PlanDemand(const std::map<PoolId, Dispatcher::PoolLoad>& loads, MonotonicTime now);
  [[nodiscard]] double ArrivingCores(PoolState& pool, std::int64_t arrived_work, MonotonicTime now);
  [[nodiscard]] PoolId MostUnderprovisioned(const std::set<PoolId>& skipped) const;
  void ScaleUp(const std::function<bool(const VmId&)>& reserved, MonotonicTime now);
  void SwitchOffIdle(const std::function<bool(const VmId&)>& reserved, MonotonicTime now);
  void OrderMove(const VmId& vm, VmEntry& entry, const PoolId& target, MonotonicTime now);
  [[nodiscard]] bool Refused(const VmId& vm, const PoolId& pool) const;
  // Whether the VM is known to be in an evacuated data centre.
  [[nodiscard]] bool IsEvacuated(const VmId& vm) const;
  [[nodiscard]] std::optional<PoolId> SparePool() const;
  [[nodiscard]] bool IsSpare(const PoolId& pool) const;
  VmEntry* PickVmFor(const PoolId& pool, const std::function<bool(const VmId&)>& reserved,
                     MonotonicTime now);

  Settings settings_;
  Hooks hooks_;
  std::shared_ptr<const DispatchConfig> config_;
  std::map<VmId, VmEntry> vms_;
  std::map<PoolId, PoolState> pools_;
  // Pools into which the platform refused to move a VM.
  std::map<VmId, std::vector<PoolId>> refused_;
  std::set<DataCentreId> evacuated_;
  // Where VMs are, by the backend servers that they have run. The list of VMs does not tell.
  std::map<VmId, DataCentreId> data_centres_;
  bool listed_ = false;
  MonotonicTime started_;
  double largest_server_cores_ = 0;
};

}  // namespace sapphirewheel
