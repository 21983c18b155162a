#include "sapphirewheel/coordination/maintenance_runner.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "sapphirewheel/state/json.h"

namespace sapphirewheel {
namespace {

// Delay before an order that was refused or got no reply is repeated.
constexpr Millis kOrderRetry{400};
// Number of VMs that are freed in advance, beyond those that may be down.
constexpr int kFreeAhead = 2;

boost::json::array EncodeVms(const std::set<VmId>& vms) {
  boost::json::array names;
  for (const VmId& it : vms) names.emplace_back(it.str());
  return names;
}

std::set<VmId> DecodeVms(const boost::json::object& row, std::string_view key) {
  std::set<VmId> vms;
  const auto* names = row.if_contains(key);
  if (names == nullptr || !names->is_array()) return vms;
  for (const auto& it : names->get_array()) {
    if (it.is_string()) vms.emplace(std::string(it.get_string()));
  }
  return vms;
}

}  // namespace

std::string MaintenanceProgress::Encode() const {
  boost::json::object row;
  row["finished"] = EncodeVms(finished);
  row["ordered"] = EncodeVms(ordered);
  return boost::json::serialize(row);
}

MaintenanceProgress MaintenanceProgress::Decode(std::string_view text) {
  const auto row = ParseObject(text);
  if (!row) return {};
  return {DecodeVms(row.value(), "finished"), DecodeVms(row.value(), "ordered")};
}

void MaintenanceRunner::AddWave(const WaveOrder& order, const MaintenanceProgress& progress,
                                MonotonicTime now) {
  if (waves_.count(order.number) > 0) return;
  Wave& wave = waves_[order.number];
  wave.order = order;
  for (const VmId& it : order.vms) {
    VmEntry& entry = wave.vms[it];
    if (progress.finished.count(it) > 0) {
      entry.phase = VmPhase::kFinished;
    } else if (progress.ordered.count(it) > 0) {
      entry.phase = VmPhase::kFreeing;
      entry.recorded = entry.inherited = true;
      entry.may_run_until = now + kMaxVmOrderDelay;
    }
  }
}

bool MaintenanceRunner::IsFreedElsewhere(const VmId& vm, std::int64_t number) const {
  return std::any_of(waves_.begin(), waves_.end(), [&](const auto& it) {
    const auto entry = it.second.vms.find(vm);
    return it.first != number && entry != it.second.vms.end() &&
           entry->second.phase != VmPhase::kPending && entry->second.phase != VmPhase::kFinished;
  });
}

bool MaintenanceRunner::IsOrderedElsewhere(const VmId& vm, std::int64_t number,
                                           MonotonicTime now) const {
  return std::any_of(waves_.begin(), waves_.end(), [&](const auto& it) {
    const auto entry = it.second.vms.find(vm);
    return it.first != number && entry != it.second.vms.end() && entry->second.MayBeOrdered(now);
  });
}

bool MaintenanceRunner::IsListedInMaintenance(const VmId& vm) const {
  const auto it = vms_by_id_.find(vm);
  return it != vms_by_id_.end() && it->second.state == VmState::kMaintenance;
}

void MaintenanceRunner::SetPhase(Wave& wave, const VmId& vm, VmEntry& entry, VmPhase phase,
                                 MonotonicTime now) {
  static constexpr const char* kNames[] = {"pending", "freeing", "recording",
                                           "ordered", "down",    "finished"};
  if (entry.phase == phase) return;
  entry.phase = phase;
  entry.since = now;
  if (phase == VmPhase::kFreeing && entry.recorded) {
    // The order was refused, and no earlier one can be carried out any more.
    entry.recorded = entry.inherited = false;
    wave.changed = true;
  }
  if (phase == VmPhase::kRecording) wave.changed = true;
  if (phase == VmPhase::kFinished) {
    wave.changed = true;
    if (!IsFreedElsewhere(vm, wave.order.number)) {
      for (const BackendId& id : entry.known_backends) {
        if (entry.earlier_backends.count(id) == 0) hooks_.evacuate(id, false);
      }
    }
  }
  if (hooks_.report) hooks_.report(wave.order.number, vm, kNames[static_cast<int>(phase)]);
}

void MaintenanceRunner::EndServers(const VmEntry& entry) {
  for (const BackendId& it : entry.earlier_backends) hooks_.ended(it);
}

void MaintenanceRunner::BeginDown(Wave& wave, const VmId& vm, VmEntry& entry, MonotonicTime now) {
  entry.down_observed = false;
  SetPhase(wave, vm, entry, VmPhase::kDown, now);
}

void MaintenanceRunner::SetVms(const std::vector<VmReport>& vms, MonotonicTime requested,
                               MonotonicTime now) {
  vms_by_id_.clear();
  for (const VmReport& it : vms) vms_by_id_[it.vm] = it;
  list_known_ = true;
  // The list shows the state at this time, or a later one.
  const MonotonicTime shown = requested - kMaxVmListAge;
  for (auto& [number, wave] : waves_) {
    for (auto& [vm, entry] : wave.vms) {
      if (entry.phase == VmPhase::kFinished) continue;
      const auto it = vms_by_id_.find(vm);
      if (it == vms_by_id_.end()) {
        // A VM that has left the list needs no maintenance any more.
        if (!vms.empty()) SetPhase(wave, vm, entry, VmPhase::kFinished, now);
        continue;
      }
      const VmState state = it->second.state;
      if (entry.phase == VmPhase::kDown) {
        if (entry.inherited && state == VmState::kMaintenance && shown >= entry.ordered_at) {
          EndServers(entry);
          entry.inherited = false;
        }
        const bool back = state == VmState::kUp && shown >= entry.since;
        if (back && now >= entry.earliest_return) {
          SetPhase(wave, vm, entry, VmPhase::kFinished, now);
        }
        continue;
      }
      if (state != VmState::kMaintenance) continue;
      if (entry.phase == VmPhase::kOrdered) {
        if (shown < entry.ordered_at) continue;
        EndServers(entry);
        BeginDown(wave, vm, entry, now);
      } else if (entry.inherited) {
        entry.earlier_backends.clear();
        entry.known_backends.clear();
        entry.earliest_return = shown;
        BeginDown(wave, vm, entry, now);
      }
    }
  }
}

void MaintenanceRunner::OnMaintain(const VmId& vm, std::int64_t number, VmOrderOutcome outcome,
                                   MonotonicTime now) {
  const auto wave = waves_.find(number);
  if (wave == waves_.end()) return;
  const auto entry = wave->second.vms.find(vm);
  if (entry == wave->second.vms.end() || entry->second.phase != VmPhase::kOrdered) return;
  switch (outcome) {
    case VmOrderOutcome::kDone:
      // A repeated order is also confirmed if the maintenance has long ended.
      if (!entry->second.inherited) EndServers(entry->second);
      BeginDown(wave->second, vm, entry->second, now);
      return;
    case VmOrderOutcome::kInvalid:
      SetPhase(wave->second, vm, entry->second, VmPhase::kFinished, now);
      return;
    case VmOrderOutcome::kUnknown:
      // The maintenance may have begun, so the VM continues to count as down.
      entry->second.may_run_until = now + kMaxVmOrderDelay;
      break;
    default:
      if (!entry->second.may_run_until || now >= *entry->second.may_run_until) {
        SetPhase(wave->second, vm, entry->second, VmPhase::kFreeing, now);
      }
      break;
  }
  entry->second.retry_at = now + kOrderRetry;
}

void MaintenanceRunner::Tick(const std::vector<Dispatcher::BackendView>& backends,
                             MonotonicTime now) {
  std::map<BackendId, VmId> listed;
  for (const auto& [vm, report] : vms_by_id_) listed[report.backend] = vm;
  Servers servers;
  for (const auto& it : backends) {
    if (!it.vm.empty()) {
      servers[it.vm].push_back(&it);
    } else if (const auto vm = listed.find(it.id); vm != listed.end()) {
      servers[vm->second].push_back(&it);
    }
  }
  for (auto& [number, wave] : waves_) {
    if (!wave.completed) TickWave(wave, servers, now);
  }
}

// Records the backend servers of a VM whose maintenance was ordered.
void MaintenanceRunner::ObserveServers(VmEntry& entry,
                                       const std::vector<const Dispatcher::BackendView*>& servers,
                                       MonotonicTime now) {
  for (const auto* it : servers) {
    entry.known_backends.insert(it->id);
    if (now < entry.earliest_return) entry.earlier_backends.insert(it->id);
  }
}

void MaintenanceRunner::EvacuateInherited(const Wave& wave, const Servers& servers) {
  for (const auto& [vm, entry] : wave.vms) {
    const auto it = servers.find(vm);
    if (!entry.inherited || entry.phase == VmPhase::kFinished || it == servers.end()) continue;
    for (const auto* server : it->second) hooks_.evacuate(server->id, true);
  }
}

void MaintenanceRunner::Order(Wave& wave, const VmId& vm, VmEntry& entry, MonotonicTime now) {
  // The reply to the order sets an earlier time.
  constexpr Millis kReplyTimeout{60'000};
  entry.retry_at = now + kReplyTimeout;
  hooks_.maintain(vm, wave.order.number);
}

void MaintenanceRunner::TickWave(Wave& wave, const Servers& servers, MonotonicTime now) {
  if (!list_known_) {
    EvacuateInherited(wave, servers);
    return;
  }
  const std::vector<const Dispatcher::BackendView*> none;
  const auto servers_of = [&](const VmId& vm) -> const auto& {
    const auto it = servers.find(vm);
    return it == servers.end() ? none : it->second;
  };
  const auto evacuate = [&](const VmId& vm) {
    for (const auto* it : servers_of(vm)) hooks_.evacuate(it->id, true);
  };
  const std::int64_t number = wave.order.number;
  // A VM that is down for another wave counts too.
  const auto counts_as_down = [&](const VmId& vm, const VmEntry& entry) {
    if (entry.MayBeOrdered(now) || IsOrderedElsewhere(vm, number, now)) return true;
    return entry.phase != VmPhase::kFinished && IsListedInMaintenance(vm);
  };
  int down = 0;
  int freeing = 0;
  bool finished = true;
  std::vector<std::pair<std::int64_t, VmId>> pending;
  for (auto& [vm, entry] : wave.vms) {
    const auto& present = servers_of(vm);
    if (entry.phase == VmPhase::kOrdered) ObserveServers(entry, present, now);
    // Servers that come up before the order is carried out.
    if (entry.phase == VmPhase::kOrdered || entry.phase == VmPhase::kRecording) evacuate(vm);
    if (entry.phase == VmPhase::kDown) {
      const bool observed = std::exchange(entry.down_observed, true);
      if (!observed || now < entry.earliest_return) ObserveServers(entry, present, now);
      const bool back = std::any_of(present.begin(), present.end(),
                                    [&known = entry.known_backends](const auto* it) {
                                      return it->usable && known.count(it->id) == 0;
                                    });
      if (back) SetPhase(wave, vm, entry, VmPhase::kFinished, now);
    }
    if (entry.phase != VmPhase::kFinished) finished = false;
    if (counts_as_down(vm, entry)) {
      ++down;
    } else if (entry.phase == VmPhase::kFreeing) {
      ++freeing;
    } else if (entry.phase == VmPhase::kPending) {
      // Least used VMs first, and VMs with long-running tasks, which have to be moved, last.
      constexpr std::int64_t kLongRunningTaskCost = 100'000;
      std::int64_t cost = 0;
      for (const auto* it : present) {
        hooks_.avoid(it->id, true);
        cost += it->used.cpu_millis + kLongRunningTaskCost * it->long_running_tasks;
      }
      pending.emplace_back(cost, vm);
    }
  }
  if (finished) {
    wave.completed = true;
    wave.changed = true;
    return;
  }
  std::sort(pending.begin(), pending.end());
  for (const auto& [cost, vm] : pending) {
    if (freeing + down >= wave.order.max_down + kFreeAhead) break;
    evacuate(vm);
    SetPhase(wave, vm, wave.vms[vm], VmPhase::kFreeing, now);
    ++freeing;
  }
  for (auto& [vm, entry] : wave.vms) {
    if (entry.phase == VmPhase::kFreeing) {
      evacuate(vm);
      const auto& present = servers_of(vm);
      const auto listed = vms_by_id_.find(vm);
      const bool up = listed != vms_by_id_.end() && listed->second.state == VmState::kUp;
      // A server that has left the registry, such as one that is cut off, may still run tasks.
      const bool idle = up && hooks_.is_idle(listed->second.backend) &&
                        std::all_of(present.begin(), present.end(),
                                    [&](const auto* it) { return hooks_.is_idle(it->id); });
      if (now < entry.retry_at || !idle || IsOrderedElsewhere(vm, number, now)) continue;
      // One that an earlier owner ordered already counts as down.
      const bool counted = entry.MayBeOrdered(now);
      if (!counted && down >= wave.order.max_down) continue;
      if (!counted) {
        entry.may_run_until.reset();
        ++down;
      }
      SetPhase(wave, vm, entry, VmPhase::kRecording, now);
    }
    if (entry.phase == VmPhase::kRecording && entry.recorded) {
      entry.earlier_backends.clear();
      entry.known_backends.clear();
      entry.ordered_at = now;
      entry.earliest_return = now + maintenance_time_;
      ObserveServers(entry, servers_of(vm), now);
      SetPhase(wave, vm, entry, VmPhase::kOrdered, now);
      Order(wave, vm, entry, now);
    } else if (entry.phase == VmPhase::kOrdered && entry.may_run_until && now >= entry.retry_at) {
      Order(wave, vm, entry, now);
    }
  }
}

bool MaintenanceRunner::Active() const {
  return std::any_of(waves_.begin(), waves_.end(),
                     [](const auto& it) { return !it.second.completed; });
}

bool MaintenanceRunner::IsPending(const VmId& vm) const {
  return std::any_of(waves_.begin(), waves_.end(), [&](const auto& it) {
    const auto entry = it.second.vms.find(vm);
    return entry != it.second.vms.end() && entry->second.phase != VmPhase::kFinished;
  });
}

std::vector<MaintenanceRunner::Change> MaintenanceRunner::TakeChanges() {
  std::vector<Change> changes;
  for (auto& [number, wave] : waves_) {
    if (!wave.changed) continue;
    wave.changed = false;
    Change change{number, {}, wave.completed};
    for (const auto& [vm, entry] : wave.vms) {
      if (entry.phase == VmPhase::kFinished) {
        change.progress.finished.insert(vm);
      } else if (entry.recorded || entry.phase == VmPhase::kRecording) {
        change.progress.ordered.insert(vm);
      }
    }
    changes.push_back(std::move(change));
  }
  return changes;
}

void MaintenanceRunner::OnStored(std::int64_t number, const MaintenanceProgress& progress) {
  const auto wave = waves_.find(number);
  if (wave == waves_.end()) return;
  for (const VmId& it : progress.ordered) {
    const auto entry = wave->second.vms.find(it);
    if (entry == wave->second.vms.end()) continue;
    if (entry->second.phase == VmPhase::kRecording) entry->second.recorded = true;
  }
}

}  // namespace sapphirewheel
