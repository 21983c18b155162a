#include "sapphirewheel/coordination/wave_controller.h"

#include <algorithm>

#include "sapphirewheel/state/schema.h"

namespace sapphirewheel {
namespace {

constexpr int kPageRows = 500;

LeaderLease::Settings LeaseSettings(const NodeId& self) {
  LeaderLease::Settings settings;
  settings.self = self;
  settings.name = "waves";
  return settings;
}

}  // namespace

WaveController::WaveController(Settings settings, Hooks hooks)
    : settings_(std::move(settings)),
      hooks_(std::move(hooks)),
      lease_(LeaseSettings(settings_.self), {hooks_.table, hooks_.random}) {}

void WaveController::Tick(const FleetSnapshot& fleet, MonotonicTime now) {
  lease_.Tick(now);
  if (busy_) return;
  if (!lease_.Held(now)) {
    loaded_ = false;
    waves_.clear();
    tracking_.clear();
    return;
  }
  if (!loaded_) {
    waves_.clear();
    Load("");
    return;
  }
  if (ApplyConfig(fleet) || FinishWaves() || AdvanceVms(fleet, now)) return;
  AdmitVms(fleet, now);
}

// Reads the rows of all waves, one page at a time.
void WaveController::Load(const std::string& first) {
  busy_ = true;
  hooks_.table.scan({schema::kWaves, first, "", kPageRows}, [this](Result<std::vector<Row>> rows) {
    busy_ = false;
    if (!rows) return;
    ApplyRows(rows.value());
    if (rows.value().size() < kPageRows) {
      loaded_ = true;
    } else {
      Load(rows.value().back().key.key + '\0');
    }
  });
}

void WaveController::ApplyRows(const std::vector<Row>& rows) {
  for (const Row& row : rows) {
    const std::size_t slash = row.key.key.find('/');
    Wave& wave = waves_[WaveId(row.key.key.substr(0, slash))];
    if (slash == std::string::npos) {
      auto record = DecodeWave(row.value);
      if (record) wave.record = record.value();
      wave.revision = row.revision;
    } else {
      auto part = DecodeWavePart(row.value);
      if (part) wave.parts[PoolId(row.key.key.substr(slash + 1))] = {part.value(), row.revision};
    }
  }
}

// Applies the first confirmed operator action that the rows do not contain yet. Returns whether
// there was one.
bool WaveController::ApplyConfig(const FleetSnapshot& fleet) {
  for (const auto& [id, state] : fleet.config.waves) {
    const auto version = fleet.config.entity_versions.find("wave/" + id.str());
    if (version == fleet.config.entity_versions.end()) continue;
    const auto it = waves_.find(id);
    if (it == waves_.end()) {
      // The VMs of a wave are fixed at its start, so the VM rows must have been read before.
      if (state.action == WaveAction::kCancel || fleet.assignments.empty()) continue;
      StartWave(id, state, version->second, fleet);
      return true;
    }
    const Wave& wave = it->second;
    if (wave.record.applied >= version->second) continue;
    WaveRecord next = wave.record;
    next.applied = version->second;
    const bool open = next.phase == WavePhase::kRunning || next.phase == WavePhase::kPaused;
    if (open && state.action == WaveAction::kCancel) next.phase = WavePhase::kCancelling;
    if (next.phase == WavePhase::kPaused && state.action == WaveAction::kResume) {
      next.phase = WavePhase::kRunning;
      next.failures.clear();
      next.reason.clear();
      ++next.resumes;
    }
    Transaction transaction;
    transaction.checks = {{schema::WaveRow(id), wave.revision}};
    transaction.writes = {{schema::WaveRow(id), EncodeWave(next)}};
    Commit(std::move(transaction), [this, id = id, next](Revision revision) {
      waves_[id].record = next;
      waves_[id].revision = revision;
    });
    return true;
  }
  return false;
}

void WaveController::StartWave(const WaveId& id, const WaveState& state, ConfigVersion version,
                               const FleetSnapshot& fleet) {
  Wave wave;
  wave.record.pools = state.pools;
  wave.record.applied = version;
  Transaction transaction;
  transaction.checks = {{schema::WaveRow(id), Revision(0)}};
  transaction.writes = {{schema::WaveRow(id), EncodeWave(wave.record)}};
  for (const PoolId& pool : state.pools) {
    Part& part = wave.parts[pool];
    for (const auto& [vm, member] : MembersOf(pool, fleet)) part.record.todo.insert(vm);
    transaction.checks.push_back({WavePartRow(id, pool), Revision(0)});
    transaction.writes.push_back({WavePartRow(id, pool), EncodeWavePart(part.record)});
  }
  Commit(std::move(transaction), [this, id, wave](Revision revision) {
    Wave& started = waves_[id] = wave;
    started.revision = revision;
    for (auto& [pool, part] : started.parts) part.revision = revision;
  });
}

bool WaveController::FinishWaves() {
  for (const auto& [id, wave] : waves_) {
    const bool running = wave.record.phase == WavePhase::kRunning;
    if (!running && wave.record.phase != WavePhase::kCancelling) continue;
    const bool finished = std::all_of(wave.parts.begin(), wave.parts.end(), [&](const auto& entry) {
      const WavePart& part = entry.second.record;
      return part.busy.empty() && (!running || part.todo.empty());
    });
    if (!finished) continue;
    WaveRecord next = wave.record;
    next.phase = running ? WavePhase::kDone : WavePhase::kCancelled;
    Transaction transaction;
    transaction.checks = {{schema::WaveRow(id), wave.revision}};
    transaction.writes = {{schema::WaveRow(id), EncodeWave(next)}};
    Commit(std::move(transaction), [this, id = id, next](Revision revision) {
      waves_[id].record = next;
      waves_[id].revision = revision;
    });
    return true;
  }
  return false;
}

bool WaveController::AdvanceVms(const FleetSnapshot& fleet, MonotonicTime now) {
  for (const auto& [id, wave] : waves_) {
    for (const auto& [pool, part] : wave.parts) {
      for (const auto& [vm, state] : part.record.busy) {
        const auto action = IsRemoved(vm, fleet, now) ? std::optional(Action::kRemove)
                                                      : Advance(wave, vm, state, now);
        if (!action) continue;
        StartStep(id, pool, vm, *action, fleet);
        return true;
      }
    }
  }
  return false;
}

// Returns the action that is due for the VM, or queries what is needed to decide on it.
std::optional<WaveController::Action> WaveController::Advance(const Wave& wave, const VmId& vm,
                                                              const WaveVm& state,
                                                              MonotonicTime now) {
  VmTracking& tracking = tracking_[vm];
  if (tracking.query_pending) return std::nullopt;
  if (tracking.phase != state.phase) {
    tracking = VmTracking();
    tracking.phase = state.phase;
    tracking.since = now;
    tracking.next_checkpoint = now + settings_.checkpoint_after;
    tracking.next_reboot = now + settings_.reboot_retry_interval;
  }
  if (now < tracking.next_poll) return std::nullopt;
  tracking.next_poll = now + settings_.poll_interval;
  switch (state.phase) {
    case AssignmentPhase::kDraining:
      // Maintenance of the VM has not begun, so a paused or cancelled wave returns it.
      if (wave.record.phase != WavePhase::kRunning) return Action::kRelease;
      return AdvanceDraining(vm, tracking, now);
    case AssignmentPhase::kRebooting:
      return AdvanceRebooting(vm, state, tracking, now);
    case AssignmentPhase::kVerifying:
      if (tracking.verified) return Action::kReturn;
      if (now >= tracking.since + settings_.verify_timeout) return Action::kFail;
      QueryVerified(vm);
      return std::nullopt;
    case AssignmentPhase::kOut:
      return AdvanceFailed(wave, vm, state, tracking, now);
    case AssignmentPhase::kActive:
      break;
  }
  return std::nullopt;
}

std::optional<WaveController::Action> WaveController::AdvanceDraining(const VmId& vm,
                                                                      VmTracking& tracking,
                                                                      MonotonicTime now) {
  if (now < tracking.since + settings_.settle) return std::nullopt;
  if (tracking.drained && !tracking.boot_id.empty()) return Action::kReboot;
  if (tracking.drained) {
    QueryBootId(vm);
    return std::nullopt;
  }
  if (now >= tracking.next_checkpoint) {
    tracking.next_checkpoint = now + settings_.checkpoint_after;
    hooks_.checkpoint(vm);
  }
  QueryRunning(vm);
  return std::nullopt;
}

std::optional<WaveController::Action> WaveController::AdvanceRebooting(const VmId& vm,
                                                                       const WaveVm& state,
                                                                       VmTracking& tracking,
                                                                       MonotonicTime now) {
  if (!tracking.boot_id.empty() && tracking.boot_id != state.boot) return Action::kVerify;
  if (now >= tracking.since + settings_.reboot_timeout) return Action::kFail;
  if (now >= tracking.next_reboot) {
    tracking.next_reboot = now + settings_.reboot_retry_interval;
    // The reply to the previous request may have been lost, or the node that had to send the
    // request may have been killed before.
    if (lease_.Held(hooks_.clock())) hooks_.reboot(vm);
  }
  QueryBootId(vm);
  return std::nullopt;
}

std::optional<WaveController::Action> WaveController::AdvanceFailed(const Wave& wave,
                                                                    const VmId& vm,
                                                                    const WaveVm& state,
                                                                    VmTracking& tracking,
                                                                    MonotonicTime now) {
  if (tracking.verified) return Action::kReturn;
  if (state.resumes < wave.record.resumes) {
    if (!tracking.boot_id.empty()) return Action::kReboot;
    QueryBootId(vm);
    return std::nullopt;
  }
  tracking.next_poll = now + settings_.recheck_interval;
  QueryVerified(vm);
  return std::nullopt;
}

bool WaveController::IsRemoved(const VmId& vm, const FleetSnapshot& fleet, MonotonicTime now) {
  VmTracking& tracking = tracking_[vm];
  if (fleet.vms.empty() || fleet.vms.contains(vm)) {
    tracking.absent_since.reset();
    return false;
  }
  if (!tracking.absent_since) tracking.absent_since = now;
  return now >= *tracking.absent_since + settings_.removal_timeout;
}

bool WaveController::AdmitVms(const FleetSnapshot& fleet, MonotonicTime now) {
  if (now < next_admission_) return false;
  next_admission_ = now + settings_.poll_interval;
  std::map<PoolId, PoolMembers> members;
  for (auto& [id, wave] : waves_) {
    if (wave.record.phase != WavePhase::kRunning) continue;
    wave.wait_reason.clear();
    if (members.empty()) members = MembersByPool(fleet);
    for (const auto& [pool, part] : wave.parts) {
      if (!AdmitFrom(id, pool, fleet, members, now)) continue;
      // Further VMs may be admitted in the next calls, without waiting for the interval.
      next_admission_ = now;
      return true;
    }
  }
  return false;
}

// Starts to admit a VM when this node's view shows that the budget allows it. The view may be
// outdated; the step checks the budget again on the rows.
bool WaveController::AdmitFrom(const WaveId& id, const PoolId& part, const FleetSnapshot& fleet,
                               std::map<PoolId, PoolMembers>& members, MonotonicTime now) {
  Wave& wave = waves_[id];
  for (const VmId& vm : wave.parts[part].record.todo) {
    if (IsRemoved(vm, fleet, now)) {
      StartStep(id, part, vm, Action::kRemove, fleet);
      return true;
    }
    const auto row = fleet.assignments.find(vm);
    if (row == fleet.assignments.end()) continue;
    const PoolId& pool = row->second.pool;
    const auto config = fleet.config.pools.find(pool);
    const PoolMember& member = members[pool][vm];
    if (config == fleet.config.pools.end() || !member.serving) continue;
    const PoolOutage outage = CountOutage(config->second, members[pool], BudgetRecord());
    if (!BudgetAllows(config->second, outage, member.rack)) {
      wave.wait_reason = "the availability budget of pool " + pool.str() + " is used up";
      continue;
    }
    StartStep(id, part, vm, Action::kAdmit, fleet);
    return true;
  }
  return false;
}

void WaveController::QueryRunning(const VmId& vm) {
  tracking_[vm].query_pending = true;
  hooks_.count_running(vm, [this, vm](std::optional<std::int64_t> running) {
    const auto it = tracking_.find(vm);
    if (it == tracking_.end()) return;
    it->second.query_pending = false;
    it->second.drained = running == 0;
  });
}

void WaveController::QueryBootId(const VmId& vm) {
  tracking_[vm].query_pending = true;
  hooks_.read_boot_id(vm, [this, vm](std::string boot_id) {
    const auto it = tracking_.find(vm);
    if (it == tracking_.end()) return;
    it->second.query_pending = false;
    it->second.boot_id = std::move(boot_id);
  });
}

void WaveController::QueryVerified(const VmId& vm) {
  tracking_[vm].query_pending = true;
  hooks_.verify(vm, [this, vm](bool verified) {
    const auto it = tracking_.find(vm);
    if (it == tracking_.end()) return;
    it->second.query_pending = false;
    it->second.verified = verified;
  });
}

std::vector<WaveProgress> WaveController::Waves() const {
  std::vector<WaveProgress> list;
  list.reserve(waves_.size());
  for (const auto& [id, wave] : waves_) {
    WaveProgress progress;
    progress.wave = id;
    progress.phase = wave.record.phase;
    progress.reason = wave.record.reason.empty() ? wave.wait_reason : wave.record.reason;
    for (const auto& [pool, part] : wave.parts) {
      progress.todo += std::ssize(part.record.todo);
      progress.under_way += std::ssize(part.record.busy);
      progress.done += std::ssize(part.record.done);
      for (const auto& [vm, state] : part.record.busy) {
        if (state.phase == AssignmentPhase::kOut) progress.failed.push_back(vm);
      }
    }
    list.push_back(std::move(progress));
  }
  return list;
}

}  // namespace sapphirewheel
