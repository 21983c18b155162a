#include "sapphirewheel/coordination/maintenance_runner.h"

#include <algorithm>
#include <boost/json.hpp>

#include "sapphirewheel/state/json.h"

namespace sapphirewheel {
namespace {

// Delay before an order that was refused or got no reply is repeated.
constexpr Millis kOrderRetry{400};
// Number of VMs that are freed in advance, beyond those that may be down.
constexpr int kFreeAhead = 2;

}  // namespace

void MaintenanceRunner::AddWave(const WaveOrder& order, const std::set<VmId>& finished) {
  if (waves_.count(order.number) > 0) return;
  Wave& wave = waves_[order.number];
  wave.order = order;
  for (const VmId& it : order.vms) {
    wave.vms[it].phase = finished.count(it) > 0 ? VmPhase::kFinished : VmPhase::kPending;
  }
}

void MaintenanceRunner::SetPhase(Wave& wave, const VmId& vm, VmEntry& entry, VmPhase phase,
                                 MonotonicTime now) {
  static constexpr const char* kNames[] = {"pending", "freeing", "ordered", "down", "finished"};
  if (entry.phase == phase) return;
  entry.phase = phase;
  entry.since = now;
  if (phase == VmPhase::kFinished) wave.changed = true;
  if (hooks_.report) hooks_.report(wave.order.number, vm, kNames[static_cast<int>(phase)]);
}

void MaintenanceRunner::SetVms(const std::vector<VmReport>& vms, MonotonicTime now) {
  vms_by_id_.clear();
  for (const VmReport& it : vms) vms_by_id_[it.vm] = it;
  list_known_ = true;
  for (auto& [number, wave] : waves_) {
    for (auto& [vm, entry] : wave.vms) {
      if (entry.phase == VmPhase::kFinished) continue;
      const auto it = vms_by_id_.find(vm);
      if (it == vms_by_id_.end()) {
        // A VM that has left the list needs no maintenance any more.
        if (!vms.empty()) SetPhase(wave, vm, entry, VmPhase::kFinished, now);
        continue;
      }
      const bool maintained = it->second.state == VmState::kMaintenance;
      if (maintained && entry.phase != VmPhase::kDown && entry.phase != VmPhase::kOrdered) {
        SetPhase(wave, vm, entry, VmPhase::kDown, now);
      }
      if (maintained) entry.seen_in_maintenance = true;
      // A VM of a spare pool has no backend server that would show its return. A list that shows it
      // up is newer than one in maintenance, unless it was taken before the order.
      const Millis passed = now - entry.since;
      const bool waited = passed > maintenance_time_ + kMaxVmListAge ||
                          (entry.seen_in_maintenance && passed > kMaxVmListAge);
      const bool back = it->second.state == VmState::kUp &&
                        (it->second.backend != entry.previous_backend || waited);
      if (entry.phase == VmPhase::kDown && back) {
        SetPhase(wave, vm, entry, VmPhase::kFinished, now);
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
      hooks_.ended(entry->second.previous_backend);
      SetPhase(wave->second, vm, entry->second, VmPhase::kDown, now);
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
  std::map<VmId, const Dispatcher::BackendView*> by_vm;
  std::map<BackendId, const Dispatcher::BackendView*> by_id;
  for (const auto& it : backends) by_id[it.id] = &it;
  for (const auto& [vm, report] : vms_by_id_) {
    if (const auto it = by_id.find(report.backend); it != by_id.end()) by_vm[vm] = it->second;
  }
  for (const auto& it : backends) {
    if (!it.vm.empty()) by_vm[it.vm] = &it;
  }
  for (auto& [number, wave] : waves_) {
    if (!wave.completed) TickWave(wave, by_vm, now);
  }
}

void MaintenanceRunner::TickWave(Wave& wave,
                                 const std::map<VmId, const Dispatcher::BackendView*>& by_vm,
                                 MonotonicTime now) {
  if (!list_known_) return;
  int down = 0;
  int freeing = 0;
  bool finished = true;
  std::vector<std::pair<std::int64_t, VmId>> pending;
  for (auto& [vm, entry] : wave.vms) {
    if (entry.phase != VmPhase::kFinished) finished = false;
    if (entry.phase == VmPhase::kDown || entry.phase == VmPhase::kOrdered) ++down;
    if (entry.phase == VmPhase::kFreeing) ++freeing;
    const auto backend = by_vm.find(vm);
    const bool there = backend != by_vm.end();
    const bool back = entry.phase == VmPhase::kDown && there &&
                      backend->second->id != entry.previous_backend && backend->second->usable;
    if (back) {
      SetPhase(wave, vm, entry, VmPhase::kFinished, now);
      --down;
    }
    if (entry.phase == VmPhase::kPending) {
      if (there) hooks_.avoid(backend->second->id, true);
      // Least used VMs first, and VMs with long-running tasks, which have to be moved, last.
      constexpr std::int64_t kLongRunningTaskCost = 100'000;
      const std::int64_t cost = there
                                    ? backend->second->used.cpu_millis +
                                          kLongRunningTaskCost * backend->second->long_running_tasks
                                    : 0;
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
    VmEntry& entry = wave.vms[vm];
    if (const auto it = by_vm.find(vm); it != by_vm.end()) hooks_.evacuate(it->second->id, true);
    SetPhase(wave, vm, entry, VmPhase::kFreeing, now);
    ++freeing;
  }
  for (auto& [vm, entry] : wave.vms) {
    const bool repeat = entry.phase == VmPhase::kOrdered && entry.may_run_until;
    if (entry.phase != VmPhase::kFreeing && !repeat) continue;
    if (now < entry.retry_at) continue;
    const auto backend = by_vm.find(vm);
    const bool there = backend != by_vm.end();
    if (!repeat) {
      if (there) hooks_.evacuate(backend->second->id, true);
      const auto listed = vms_by_id_.find(vm);
      const bool up = listed != vms_by_id_.end() && listed->second.state == VmState::kUp;
      const bool idle = !there || hooks_.is_idle(backend->second->id);
      if (down >= wave.order.max_down || !up || !idle) continue;
      entry.previous_backend = there ? backend->second->id : listed->second.backend;
      entry.may_run_until.reset();
      entry.seen_in_maintenance = false;
      SetPhase(wave, vm, entry, VmPhase::kOrdered, now);
      ++down;
    }
    // The reply to the order sets an earlier time.
    constexpr Millis kReplyTimeout{60'000};
    entry.retry_at = now + kReplyTimeout;
    hooks_.maintain(vm, wave.order.number);
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
      if (entry.phase == VmPhase::kFinished) change.finished.insert(vm);
    }
    changes.push_back(std::move(change));
  }
  return changes;
}

std::string MaintenanceRunner::EncodeFinished(const std::set<VmId>& vms) {
  boost::json::object row;
  boost::json::array finished;
  for (const VmId& it : vms) finished.emplace_back(it.str());
  row["finished"] = std::move(finished);
  return boost::json::serialize(row);
}

std::set<VmId> MaintenanceRunner::DecodeFinished(std::string_view text) {
  std::set<VmId> vms;
  const auto row = ParseObject(text);
  if (!row) return vms;
  const auto* finished = row.value().if_contains("finished");
  if (finished == nullptr || !finished->is_array()) return vms;
  for (const auto& it : finished->get_array()) {
    if (it.is_string()) vms.emplace(std::string(it.get_string()));
  }
  return vms;
}

}  // namespace sapphirewheel
