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
    work_.clear();
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

// Reads all rows of waves page by page.
void WaveController::Load(const std::string& first) {
  busy_ = true;
  hooks_.table.scan({schema::kWaves, first, "", kPageRows}, [this](Result<std::vector<Row>> rows) {
    busy_ = false;
    if (!rows) return;
    TakeRows(rows.value());
    if (rows.value().size() < kPageRows) {
      loaded_ = true;
    } else {
      Load(rows.value().back().key.key + '\0');
    }
  });
}

void WaveController::TakeRows(const std::vector<Row>& rows) {
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

// Applies confirmed actions that the rows do not show yet.
bool WaveController::ApplyConfig(const FleetSnapshot& fleet) {
  for (const auto& [id, state] : fleet.config.waves) {
    const auto version = fleet.config.entity_versions.find("wave/" + id.str());
    if (version == fleet.config.entity_versions.end()) continue;
    const auto it = waves_.find(id);
    if (it == waves_.end()) {
      // The list of VMs is fixed at the start, so it needs a loaded view of the rows.
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
    const bool over = std::all_of(wave.parts.begin(), wave.parts.end(), [&](const auto& entry) {
      const WavePart& part = entry.second.record;
      return part.busy.empty() && (!running || part.todo.empty());
    });
    if (!over) continue;
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
        const auto action =
            IsGone(vm, fleet, now) ? std::optional(Action::kGone) : Advance(wave, vm, state, now);
        if (!action) continue;
        BeginStep(id, pool, vm, *action, fleet);
        return true;
      }
    }
  }
  return false;
}

// Asks what the VM's phase needs to know, or returns the step that is due.
std::optional<WaveController::Action> WaveController::Advance(const Wave& wave, const VmId& vm,
                                                              const WaveVm& state,
                                                              MonotonicTime now) {
  Work& work = work_[vm];
  if (work.asking) return std::nullopt;
  if (work.phase != state.phase) {
    work = Work();
    work.phase = state.phase;
    work.since = now;
    work.next_checkpoint = now + settings_.checkpoint_after;
    work.next_reboot = now + settings_.reboot_retry;
  }
  if (now < work.next_poll) return std::nullopt;
  work.next_poll = now + settings_.poll_interval;
  switch (state.phase) {
    case AssignmentPhase::kDraining:
      // Nothing was done to the VM yet, so that a wave that does not run gives it back.
      if (wave.record.phase != WavePhase::kRunning) return Action::kRelease;
      return AdvanceDraining(vm, work, now);
    case AssignmentPhase::kRebooting:
      return AdvanceRebooting(vm, state, work, now);
    case AssignmentPhase::kVerifying:
      if (work.verified) return Action::kReturn;
      if (now >= work.since + settings_.verify_limit) return Action::kFail;
      AskVerify(vm);
      return std::nullopt;
    case AssignmentPhase::kOut:
      return AdvanceFailed(wave, vm, state, work, now);
    case AssignmentPhase::kActive:
      break;
  }
  return std::nullopt;
}

std::optional<WaveController::Action> WaveController::AdvanceDraining(const VmId& vm, Work& work,
                                                                      MonotonicTime now) {
  if (now < work.since + settings_.settle) return std::nullopt;
  if (work.drained && !work.boot.empty()) return Action::kReboot;
  if (work.drained) {
    AskBoot(vm);
    return std::nullopt;
  }
  if (now >= work.next_checkpoint) {
    work.next_checkpoint = now + settings_.checkpoint_after;
    hooks_.checkpoint(vm);
  }
  AskRunning(vm);
  return std::nullopt;
}

std::optional<WaveController::Action> WaveController::AdvanceRebooting(const VmId& vm,
                                                                       const WaveVm& state,
                                                                       Work& work,
                                                                       MonotonicTime now) {
  if (!work.boot.empty() && work.boot != state.boot) return Action::kVerify;
  if (now >= work.since + settings_.reboot_limit) return Action::kFail;
  if (now >= work.next_reboot) {
    work.next_reboot = now + settings_.reboot_retry;
    // The answer to the previous request may have been lost, or its sender killed before it.
    if (lease_.Held(hooks_.clock())) hooks_.reboot(vm);
  }
  AskBoot(vm);
  return std::nullopt;
}

std::optional<WaveController::Action> WaveController::AdvanceFailed(const Wave& wave,
                                                                    const VmId& vm,
                                                                    const WaveVm& state, Work& work,
                                                                    MonotonicTime now) {
  if (work.verified) return Action::kReturn;
  if (state.resumes < wave.record.resumes) {
    if (!work.boot.empty()) return Action::kReboot;
    AskBoot(vm);
    return std::nullopt;
  }
  work.next_poll = now + settings_.recheck_failed;
  AskVerify(vm);
  return std::nullopt;
}

bool WaveController::IsGone(const VmId& vm, const FleetSnapshot& fleet, MonotonicTime now) {
  Work& work = work_[vm];
  if (fleet.vms.empty() || fleet.vms.contains(vm)) {
    work.absent_since.reset();
    return false;
  }
  if (!work.absent_since) work.absent_since = now;
  return now >= *work.absent_since + settings_.gone_after;
}

bool WaveController::AdmitVms(const FleetSnapshot& fleet, MonotonicTime now) {
  if (now < next_admission_) return false;
  next_admission_ = now + settings_.poll_interval;
  std::map<PoolId, PoolMembers> members;
  for (auto& [id, wave] : waves_) {
    if (wave.record.phase != WavePhase::kRunning) continue;
    wave.waiting.clear();
    if (members.empty()) members = MembersByPool(fleet);
    for (const auto& [pool, part] : wave.parts) {
      if (!AdmitFrom(id, pool, fleet, members, now)) continue;
      // Further VMs follow in the next calls without waiting for the interval.
      next_admission_ = now;
      return true;
    }
  }
  return false;
}

// Begins the admission of a VM when the view shows room; the transaction decides.
bool WaveController::AdmitFrom(const WaveId& id, const PoolId& part, const FleetSnapshot& fleet,
                               std::map<PoolId, PoolMembers>& members, MonotonicTime now) {
  Wave& wave = waves_[id];
  for (const VmId& vm : wave.parts[part].record.todo) {
    if (IsGone(vm, fleet, now)) {
      BeginStep(id, part, vm, Action::kGone, fleet);
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
      wave.waiting = "the availability budget of pool " + pool.str() + " is used up";
      continue;
    }
    BeginStep(id, part, vm, Action::kAdmit, fleet);
    return true;
  }
  return false;
}

void WaveController::AskRunning(const VmId& vm) {
  work_[vm].asking = true;
  hooks_.running(vm, [this, vm](std::optional<std::int64_t> running) {
    const auto it = work_.find(vm);
    if (it == work_.end()) return;
    it->second.asking = false;
    it->second.drained = running == 0;
  });
}

void WaveController::AskBoot(const VmId& vm) {
  work_[vm].asking = true;
  hooks_.boot(vm, [this, vm](std::string boot) {
    const auto it = work_.find(vm);
    if (it == work_.end()) return;
    it->second.asking = false;
    it->second.boot = std::move(boot);
  });
}

void WaveController::AskVerify(const VmId& vm) {
  work_[vm].asking = true;
  hooks_.verify(vm, [this, vm](bool verified) {
    const auto it = work_.find(vm);
    if (it == work_.end()) return;
    it->second.asking = false;
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
    progress.reason = wave.record.reason.empty() ? wave.waiting : wave.record.reason;
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
