#include <algorithm>

#include "sapphirewheel/coordination/wave_controller.h"
#include "sapphirewheel/state/schema.h"

namespace sapphirewheel {

// One action on a VM. It starts from this node's view and is checked against the rows before the
// commit.
struct WaveController::Step {
  WaveId wave;
  PoolId part;
  VmId vm;
  Action action = Action::kAdmit;
  PoolChange pool;
  PoolMembers members;
  RackId rack;
  std::string boot_id;
  BudgetRecord budget;
  Row row;
};

// The records that a step writes.
struct WaveController::Change {
  WaveRecord wave;
  WavePart part;
  // Unset: the VM row is not changed. With an empty pool: the VM row is deleted.
  std::optional<VmAssignment> row;
};

void WaveController::StartStep(const WaveId& wave, const PoolId& part, const VmId& vm,
                               Action action, const FleetSnapshot& fleet) {
  Step step;
  step.wave = wave;
  step.part = part;
  step.vm = vm;
  step.action = action;
  step.boot_id = tracking_[vm].boot_id;
  const auto row = fleet.assignments.find(vm);
  step.pool.pool = row == fleet.assignments.end() ? part : row->second.pool;
  const auto config = fleet.config.pools.find(step.pool.pool);
  if (config != fleet.config.pools.end()) step.pool = config->second;
  const auto info = fleet.vms.find(vm);
  if (info != fleet.vms.end()) step.rack = info->second.rack;
  if (action == Action::kAdmit) step.members = MembersOf(step.pool.pool, fleet);
  busy_ = true;
  const RowKey key = schema::BudgetRow(step.pool.pool);
  hooks_.table.read({key}, [this, step = std::move(step)](Result<std::vector<Row>> rows) {
    busy_ = false;
    if (rows && rows.value().size() == 1) OnBudget(step, rows.value()[0]);
  });
}

// Reads the rows of the members after the budget row. Moves and waves write the budget row with
// each member that they change, so the check of the budget row in the transaction covers them.
void WaveController::OnBudget(Step step, const Row& budget) {
  step.budget = DecodeBudget(budget.value, budget.revision);
  std::vector<RowKey> keys = MemberKeys(step.members);
  keys.push_back(schema::VmRow(step.vm));
  const std::size_t n = keys.size();
  busy_ = true;
  hooks_.table.read(std::move(keys),
                    [this, n, step = std::move(step)](Result<std::vector<Row>> rows) {
                      busy_ = false;
                      if (rows && rows.value().size() == n) OnRows(step, rows.value());
                    });
}

void WaveController::OnRows(Step step, const std::vector<Row>& rows) {
  const auto wave = waves_.find(step.wave);
  if (!loaded_ || wave == waves_.end()) return;
  step.row = rows.back();
  RefreshMembers(step.pool.pool, step.members, rows);
  Change change{wave->second.record, wave->second.parts[step.part].record, std::nullopt};
  const bool possible =
      step.action == Action::kAdmit ? Admit(step, change) : ApplyAction(step, change);
  if (possible) CommitStep(std::move(step), std::move(change));
}

bool WaveController::Admit(Step& step, Change& change) {
  VmAssignment row = DecodeAssignment(step.vm, step.row.value, step.row.revision);
  if (row.pool != step.pool.pool || row.phase != AssignmentPhase::kActive || !row.wave.empty()) {
    return false;
  }
  if (!BudgetAllows(step.pool, CountOutage(step.pool, step.members, step.budget), step.rack)) {
    waves_[step.wave].wait_reason =
        "the availability budget of pool " + step.pool.pool.str() + " is used up";
    return false;
  }
  row.phase = AssignmentPhase::kDraining;
  row.wave = step.wave;
  change.row = row;
  change.part.todo.erase(step.vm);
  change.part.busy[step.vm] = WaveVm{AssignmentPhase::kDraining, "", change.wave.resumes};
  step.budget.out[step.vm] = step.wave;
  return true;
}

// Computes the records after an action on a VM that the wave holds. Returns false when the action
// is not possible now.
bool WaveController::ApplyAction(Step& step, Change& change) {
  VmAssignment row = DecodeAssignment(step.vm, step.row.value, step.row.revision);
  if (step.action == Action::kRemove) {
    if (row.wave == step.wave) {
      change.row.emplace();
      if (!step.pool.spare) ++step.budget.missing;
    }
    change.part.todo.erase(step.vm);
    ReleaseVm(step, change, true);
    return true;
  }
  if (row.wave != step.wave) {
    // Something else replaced the row, such as an operator's change of the pool: the VM becomes
    // pending in the wave again.
    ReleaseVm(step, change, false);
    return true;
  }
  // An operator moved the VM: a later step uses the budget of its new pool.
  if (row.pool != step.pool.pool) return false;
  WaveVm& state = change.part.busy[step.vm];
  switch (step.action) {
    case Action::kReboot:
      state = {AssignmentPhase::kRebooting, step.boot_id, change.wave.resumes};
      break;
    case Action::kVerify:
      state.phase = AssignmentPhase::kVerifying;
      break;
    case Action::kFail:
      state.phase = AssignmentPhase::kOut;
      Fail(step, change);
      break;
    default:
      ReleaseVm(step, change, step.action == Action::kReturn);
      row.wave = WaveId();
      row.phase = AssignmentPhase::kActive;
      change.row = row;
      return true;
  }
  row.phase = state.phase;
  change.row = row;
  return true;
}

// Ends the wave's hold on a VM, which becomes done or pending again.
void WaveController::ReleaseVm(Step& step, Change& change, bool done) const {
  change.part.busy.erase(step.vm);
  step.budget.out.erase(step.vm);
  (done ? change.part.done : change.part.todo).insert(step.vm);
}

// Records a failed VM. Failures within a wave are correlated, so a few of them pause it before
// it takes more VMs out of service.
void WaveController::Fail(const Step& step, Change& change) const {
  WaveRecord& wave = change.wave;
  wave.failures[step.vm] = step.rack;
  const auto in_rack = std::count_if(
      wave.failures.begin(), wave.failures.end(),
      [&](const auto& failure) { return !step.rack.empty() && failure.second == step.rack; });
  const auto in_wave = std::ssize(wave.failures);
  if (wave.phase != WavePhase::kRunning) return;
  if (in_rack < settings_.rack_failures && in_wave < settings_.wave_failures) return;
  wave.phase = WavePhase::kPaused;
  wave.reason = std::to_string(in_wave) + " VMs failed verification, " + std::to_string(in_rack) +
                " of them in rack " + step.rack.str() + ": repair them, then resume or cancel";
}

void WaveController::CommitStep(Step step, Change change) {
  const Wave& wave = waves_[step.wave];
  const RowKey wave_key = schema::WaveRow(step.wave);
  const RowKey part_key = WavePartRow(step.wave, step.part);
  const RowKey budget_key = schema::BudgetRow(step.pool.pool);
  Transaction transaction;
  transaction.checks = {{wave_key, wave.revision},
                        {part_key, wave.parts.at(step.part).revision},
                        {budget_key, step.budget.revision},
                        {step.row.key, step.row.revision}};
  transaction.writes = {{part_key, EncodeWavePart(change.part)},
                        {budget_key, EncodeBudget(step.budget)}};
  const bool writes_wave = step.action == Action::kFail;
  if (writes_wave) transaction.writes.push_back({wave_key, EncodeWave(change.wave)});
  if (change.row) {
    std::optional<std::string> value;
    if (!change.row->pool.empty()) value = EncodeAssignment(*change.row);
    transaction.writes.push_back({step.row.key, value});
  }
  Commit(std::move(transaction), [this, writes_wave, step = std::move(step),
                                  change = std::move(change)](Revision revision) {
    Wave& stored = waves_[step.wave];
    stored.parts[step.part] = {change.part, revision};
    if (writes_wave) {
      stored.record = change.wave;
      stored.revision = revision;
    }
    // The lease is checked again just before the reboot: if this node was paused after the commit,
    // another node may have returned the VM to service.
    const bool reboots = step.action == Action::kReboot;
    if (reboots && lease_.Held(hooks_.clock())) hooks_.reboot(step.vm);
  });
}

// Commits under the fence of the lease. On any other outcome than success all rows are read again.
void WaveController::Commit(Transaction transaction, std::function<void(Revision)> committed) {
  if (!lease_.Held(hooks_.clock())) return;
  transaction.attempt =
      AttemptId(settings_.self.str() + "/wave/" + schema::PaddedNumber(hooks_.random()) +
                schema::PaddedNumber(hooks_.random()));
  const RowCheck fence = lease_.Fence();
  transaction.checks.push_back(fence);
  busy_ = true;
  hooks_.table.transact(std::move(transaction), [this, fence, committed = std::move(committed)](
                                                    const TransactResult& result) {
    busy_ = false;
    if (result.outcome == TransactOutcome::kCommitted && loaded_) {
      committed(result.revision);
      return;
    }
    loaded_ = false;
    for (const Row& row : result.current) {
      if (row.key == fence.key && row.revision != fence.expected) lease_.OnFenced();
    }
  });
}

}  // namespace sapphirewheel
