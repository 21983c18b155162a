#include "sapphirewheel/coordination/pool_autoscaler.h"

#include <algorithm>
#include <cmath>

namespace sapphirewheel {
namespace {

constexpr double kMillisPerCore = 1000;
// More than a pool can get; sums over all pools fit in an int.
constexpr double kMostServers = 1e6;
// A move whose end has not been observed counts as failed after this time.
constexpr Millis kMoveTimeout{6000};
// Delay before a move without a reply is repeated.
constexpr Millis kMoveRetry{200};
// The same for a move that was refused while an earlier order may still be carried out.
constexpr Millis kRefusedMoveRetry{400};

}  // namespace

std::optional<PoolId> PoolAutoscaler::SparePool() const {
  for (const PoolPolicy& it : config_->pools) {
    if (it.spare) return it.id;
  }
  return std::nullopt;
}

bool PoolAutoscaler::IsSpare(const PoolId& pool) const {
  const PoolPolicy* policy = config_->FindPool(pool);
  return policy != nullptr && policy->spare;
}

bool PoolAutoscaler::Refused(const VmId& vm, const PoolId& pool) const {
  const auto it = refused_.find(vm);
  return it != refused_.end() &&
         std::find(it->second.begin(), it->second.end(), pool) != it->second.end();
}

bool PoolAutoscaler::IsEvacuated(const VmId& vm) const {
  const auto it = data_centres_.find(vm);
  return it != data_centres_.end() && evacuated_.count(it->second) > 0;
}

int PoolAutoscaler::Wanted(const PoolId& pool) const {
  const auto it = pools_.find(pool);
  return it == pools_.end() ? 0 : it->second.wanted;
}

std::vector<PoolAutoscaler::PoolStatus> PoolAutoscaler::Status() const {
  std::vector<PoolStatus> status;
  for (const auto& [id, pool] : pools_) {
    status.push_back({id, pool.wanted, pool.present, pool.incoming});
  }
  return status;
}

void PoolAutoscaler::SetVms(const std::vector<VmReport>& vms, MonotonicTime now) {
  if (!listed_) started_ = now;
  listed_ = true;
  std::map<VmId, VmEntry> next;
  for (const VmReport& it : vms) {
    VmEntry entry;
    if (const auto known = vms_.find(it.vm); known != vms_.end()) entry = known->second;
    entry.report = it;
    if (entry.target && !entry.order_in_flight && !entry.retry_at) {
      const bool arrived = it.state == VmState::kUp && it.pool == *entry.target;
      if (arrived || now - entry.ordered_at > kMoveTimeout) entry.target.reset();
    }
    next[it.vm] = std::move(entry);
  }
  vms_ = std::move(next);
}

void PoolAutoscaler::OnMove(const VmId& vm, VmOrderOutcome outcome, MonotonicTime now) {
  const auto it = vms_.find(vm);
  if (it == vms_.end() || !it->second.target) return;
  VmEntry& entry = it->second;
  entry.order_in_flight = false;
  if (outcome == VmOrderOutcome::kDone) {
    // The VM may already be up in the new pool, if the reply was late.
    for (const BackendId& id : entry.leaving) hooks_.ended(id);
    entry.retry_at.reset();
    entry.may_run_until.reset();
    entry.report.state = VmState::kMoving;
    entry.report.pool = *entry.target;
    entry.backend = BackendId();
    return;
  }
  if (outcome == VmOrderOutcome::kUnknown) {
    // Repeated until there is a reply; a repeated move has no further effect.
    entry.retry_at = now + kMoveRetry;
    // A move that is carried out late must not affect the VM in a later pool.
    entry.hold_until = now + kMaxVmOrderDelay;
    entry.may_run_until = entry.hold_until;
    return;
  }
  if (outcome == VmOrderOutcome::kInvalid) {
    refused_[vm].push_back(*entry.target);
  } else if (entry.may_run_until && now < *entry.may_run_until) {
    // The refusal does not show the outcome of the earlier order, which would end new work.
    entry.retry_at = now + kRefusedMoveRetry;
    return;
  }
  entry.target.reset();
  entry.retry_at.reset();
  entry.idle_since = now;
  for (const BackendId& id : entry.leaving) hooks_.evacuate(id, false);
}

void PoolAutoscaler::Hold(const VmId& vm, MonotonicTime until) {
  const auto it = vms_.find(vm);
  if (it != vms_.end()) it->second.hold_until = std::max(it->second.hold_until, until);
}

// The server that a VM runs has the highest rank among those that are registered for it.
int PoolAutoscaler::Rank(const VmEntry& entry, const Dispatcher::BackendView& server) {
  constexpr int kNotLeaving = 2;
  return (entry.leaving.count(server.id) == 0 ? kNotLeaving : 0) + (server.usable ? 1 : 0);
}

void PoolAutoscaler::UpdatePools(const std::vector<Dispatcher::BackendView>& backends,
                                 MonotonicTime now) {
  std::map<BackendId, const Dispatcher::BackendView*> by_id;
  std::map<VmId, std::vector<const Dispatcher::BackendView*>> by_vm;
  for (const auto& it : backends) {
    by_id[it.id] = &it;
    if (!it.vm.empty()) by_vm[it.vm].push_back(&it);
    if (!it.vm.empty() && !it.data_centre.empty()) data_centres_[it.vm] = it.data_centre;
  }
  for (auto& [id, pool] : pools_) {
    pool.present = pool.incoming = 0;
    pool.core_capacity = 0;
  }
  for (auto& [vm, entry] : vms_) {
    const Dispatcher::BackendView* view = nullptr;
    bool settled = true;
    if (const auto it = by_vm.find(vm); it != by_vm.end()) {
      // The registry may still have a server that has ended.
      for (const auto* server : it->second) {
        if (view == nullptr || Rank(entry, *server) >= Rank(entry, *view)) view = server;
        if (server->usable && !server->settled) settled = false;
      }
    } else if (const auto named = by_id.find(entry.report.backend); named != by_id.end()) {
      view = named->second;
    }
    const bool moving = view != nullptr && entry.target && entry.leaving.count(view->id) == 0;
    if (moving && view->pool != *entry.target) {
      entry.leaving.insert(view->id);
      hooks_.evacuate(view->id, true);
    } else if (moving && !entry.order_in_flight) {
      entry.target.reset();
      entry.retry_at.reset();
      entry.report.state = VmState::kUp;
      entry.report.pool = view->pool;
    }
    entry.backend = view == nullptr ? BackendId() : view->id;
    const bool idle = view != nullptr && view->usable && view->settled && settled;
    if (idle && !entry.idle) entry.idle_since = now;
    entry.idle = idle;
    // Its long-running tasks need room elsewhere.
    const bool leaving = view != nullptr && view->avoided && view->long_running_tasks > 0;
    if (IsEvacuated(vm)) continue;
    if (entry.target) {
      ++pools_[*entry.target].incoming;
    } else if (view != nullptr && (view->usable || view->awaits_contact) && !view->evacuating &&
               !leaving) {
      PoolState& pool = pools_[view->pool];
      ++pool.present;
      const double cores = static_cast<double>(view->capacity.cpu_millis) / kMillisPerCore;
      pool.core_capacity += cores;
      largest_server_cores_ = std::max(largest_server_cores_, cores);
    } else if (entry.report.state == VmState::kMoving) {
      ++pools_[entry.report.pool].incoming;
    }
  }
}

// Rate of arriving work over the window, in cores.
double PoolAutoscaler::ArrivingCores(PoolState& pool, std::int64_t arrived_work,
                                     MonotonicTime now) {
  pool.arrivals.push_back({now, arrived_work});
  while (pool.arrivals.size() > 1 && pool.arrivals[1].at <= now - settings_.arrival_window) {
    pool.arrivals.pop_front();
  }
  const Arrival& first = pool.arrivals.front();
  const Millis span = std::max(now - first.at, settings_.arrival_window);
  return static_cast<double>(arrived_work - first.work) / kMillisPerCore /
         static_cast<double>(span.count());
}

void PoolAutoscaler::PlanDemand(const std::map<PoolId, Dispatcher::PoolLoad>& loads,
                                MonotonicTime now) {
  for (const PoolPolicy& policy : config_->pools) {
    if (policy.spare) continue;
    PoolState& pool = pools_[policy.id];
    const auto load = loads.find(policy.id);
    const Dispatcher::PoolLoad none;
    const Dispatcher::PoolLoad& it = load == loads.end() ? none : load->second;
    const double arriving = ArrivingCores(pool, it.arrived_work, now);
    const double long_running = static_cast<double>(it.long_running_cpu) / kMillisPerCore;
    const double available =
        std::max(0.0, pool.core_capacity * settings_.packing_efficiency - long_running);
    const double provisioning_seconds =
        static_cast<double>(settings_.provisioning_time.count()) / kMillisPerCore;
    const double clear_seconds =
        static_cast<double>(settings_.backlog_clear_time.count()) / kMillisPerCore;
    // Work is in milli-cores times milliseconds.
    constexpr double kWorkPerCoreSecond = 1e6;
    const double waiting = static_cast<double>(it.waiting_work) / kWorkPerCoreSecond;
    const double backlog = std::max(0.0, waiting + (arriving - available) * provisioning_seconds);
    const double running = static_cast<double>(it.running_cpu) / kMillisPerCore;
    const double cores = long_running + std::max(arriving + backlog / clear_seconds, running);
    const double per_server = std::max(1.0, largest_server_cores_ * settings_.packing_efficiency);
    const double servers = std::min(std::ceil(cores / per_server), kMostServers);
    pool.wanted = std::max({settings_.min_servers, it.min_servers, static_cast<int>(servers)});
    if (it.steps_without_room > 0) {
      // One server more at a time, and not many more than hold all tasks: a step may wait for a
      // label that further servers do not have either.
      constexpr int kMixedServers = 1;
      const int most =
          static_cast<int>(std::min(std::ceil(it.long_running_servers), kMostServers)) +
          kMixedServers;
      pool.wanted = std::max(pool.wanted, std::min(pool.present + 1, most));
    }
    pool.recent.emplace_back(now, pool.wanted);
    while (pool.recent.front().first < now - settings_.demand_hold) pool.recent.pop_front();
    pool.peak = 0;
    for (const auto& [at, wanted] : pool.recent) pool.peak = std::max(pool.peak, wanted);
  }
}

void PoolAutoscaler::OrderMove(const VmId& vm, VmEntry& entry, const PoolId& target,
                               MonotonicTime now) {
  entry.target = target;
  entry.ordered_at = now;
  entry.order_in_flight = true;
  entry.may_run_until.reset();
  entry.leaving.clear();
  if (!entry.backend.empty()) {
    entry.leaving.insert(entry.backend);
    hooks_.evacuate(entry.backend, true);
  }
  if (hooks_.report) {
    const std::string server = entry.backend.empty() ? "no server" : entry.backend.str();
    hooks_.report(vm.str() + " with " + server + " from " + entry.report.pool.str() + " to " +
                  target.str() + ", wanted " + std::to_string(Wanted(target)));
  }
  ++pools_[target].incoming;
  hooks_.move(vm, target);
}

// Picks a VM that may move to a pool: VMs that are switched off first, then idle VMs of pools with
// a surplus. During an evacuation, VMs that are switched off and may be in that data centre are
// last.
PoolAutoscaler::VmEntry* PoolAutoscaler::PickVmFor(const PoolId& pool,
                                                   const std::function<bool(const VmId&)>& reserved,
                                                   MonotonicTime now) {
  VmEntry* idle = nullptr;
  VmEntry* unknown = nullptr;
  for (auto& [vm, entry] : vms_) {
    if (entry.target || entry.report.state != VmState::kUp || entry.report.pool == pool) continue;
    if (reserved(vm) || Refused(vm, pool) || now < entry.hold_until) continue;
    if (IsEvacuated(vm)) continue;
    if (IsSpare(entry.report.pool)) {
      if (evacuated_.empty() || data_centres_.count(vm) > 0) return &entry;
      if (unknown == nullptr) unknown = &entry;
      continue;
    }
    const PoolState& from = pools_[entry.report.pool];
    const bool surplus = from.present > from.wanted;
    const bool settled = entry.idle && now - entry.idle_since > settings_.idle_before_move;
    if (idle == nullptr && settled && surplus) idle = &entry;
  }
  return idle != nullptr ? idle : unknown;
}

// The pool that has the smallest fraction of the VMs that it wants, among those not in `skipped`;
// empty if all have enough.
PoolId PoolAutoscaler::MostUnderprovisioned(const std::set<PoolId>& skipped) const {
  PoolId most_underprovisioned;
  double smallest = 1;
  for (const auto& [id, pool] : pools_) {
    if (IsSpare(id) || config_->FindPool(id) == nullptr || skipped.count(id) > 0) continue;
    const int assigned = pool.present + pool.incoming;
    if (assigned >= pool.wanted) continue;
    const double fraction = static_cast<double>(assigned) / pool.wanted;
    if (fraction < smallest) {
      smallest = fraction;
      most_underprovisioned = id;
    }
  }
  return most_underprovisioned;
}

// Assigns VMs one by one, so that pools that together want more VMs than there are get equal
// fractions of what they want.
void PoolAutoscaler::ScaleUp(const std::function<bool(const VmId&)>& reserved, MonotonicTime now) {
  std::set<PoolId> skipped;
  for (PoolId id = MostUnderprovisioned(skipped); !id.empty(); id = MostUnderprovisioned(skipped)) {
    VmEntry* entry = PickVmFor(id, reserved, now);
    if (entry == nullptr) {
      skipped.insert(id);
      continue;
    }
    if (!IsSpare(entry->report.pool)) --pools_[entry->report.pool].present;
    OrderMove(entry->report.vm, *entry, id, now);
  }
}

void PoolAutoscaler::SwitchOffIdle(const std::function<bool(const VmId&)>& reserved,
                                   MonotonicTime now) {
  const auto spare = SparePool();
  if (!spare) return;
  for (auto& [vm, entry] : vms_) {
    if (entry.target || !entry.idle || entry.report.state != VmState::kUp) continue;
    if (IsSpare(entry.report.pool) || reserved(vm) || Refused(vm, *spare)) continue;
    // VMs of an evacuated data centre are no surplus, and are needed once it is in use again.
    if (now < entry.hold_until || IsEvacuated(vm)) continue;
    PoolState& pool = pools_[entry.report.pool];
    if (pool.present <= pool.peak || now - entry.idle_since < settings_.idle_before_off) continue;
    --pool.present;
    OrderMove(vm, entry, *spare, now);
  }
}

void PoolAutoscaler::Tick(const std::vector<Dispatcher::BackendView>& backends,
                          const std::map<PoolId, Dispatcher::PoolLoad>& loads,
                          const std::function<bool(const VmId&)>& reserved, MonotonicTime now) {
  if (!config_ || !listed_) return;
  UpdatePools(backends, now);
  PlanDemand(loads, now);
  for (auto& [vm, entry] : vms_) {
    if (!entry.retry_at || now < *entry.retry_at || !entry.target) continue;
    entry.retry_at.reset();
    entry.order_in_flight = true;
    hooks_.move(vm, *entry.target);
  }
  // An owner that has just started has not measured the load yet.
  if (now - started_ < settings_.arrival_window) return;
  ScaleUp(reserved, now);
  SwitchOffIdle(reserved, now);
}

}  // namespace sapphirewheel
