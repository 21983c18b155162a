#include "sapphirewheel/coordination/vm_mover.h"

#include <algorithm>
#include <iterator>

#include "sapphirewheel/state/schema.h"

namespace sapphirewheel {
namespace {

// Failed steps after which a move is abandoned; the planner decides again from newer data.
constexpr int kMaxAttempts = 5;

// Interval of FindUnfinished, which iterates over every VM row of the snapshot.
constexpr Millis kSearchInterval{1000};

}  // namespace

// A step of a move: its reads and one transaction. It copies what it needs of the fleet snapshot,
// which is only valid during Tick.
struct VmMover::Step {
  VmId vm;
  PoolChange from;
  PoolChange to;
  PoolMembers from_members;
  RackId rack;
  Row row;
  BudgetRecord from_budget;
  BudgetRecord to_budget;
  // The new content of the VM row; unset deletes the row.
  std::optional<VmAssignment> next;
  bool is_last = false;
  bool completes_move = false;
};

VmMover::VmMover(Settings settings, Hooks hooks)
    : settings_(std::move(settings)), hooks_(std::move(hooks)) {}

void VmMover::Start(const VmMove& move, MonotonicTime now) {
  MoveState state;
  state.move = move;
  state.next_step = now;
  moves_.emplace(move.vm, std::move(state));
}

std::map<VmId, PoolId> VmMover::Moving() const {
  std::map<VmId, PoolId> moving;
  for (const auto& [vm, state] : moves_) moving.emplace(vm, state.move.to);
  return moving;
}

std::set<VmId> VmMover::InDrainBackoff(MonotonicTime now) const {
  std::set<VmId> vms;
  for (const auto& [vm, until] : drain_backoff_until_) {
    if (now < until) vms.insert(vm);
  }
  return vms;
}

void VmMover::Tick(const FleetSnapshot& fleet, LeaderLease& lease, MonotonicTime now) {
  if (!lease.Held(now)) {
    // Steps in progress fail on the fence, or have taken effect and are visible in the rows.
    std::erase_if(moves_, [](const auto& entry) { return !entry.second.busy; });
    absent_since_.clear();
    return;
  }
  FindUnfinished(fleet, now);
  std::erase_if(moves_, [](const auto& entry) {
    return !entry.second.busy && entry.second.attempts >= kMaxAttempts;
  });
  for (auto& [vm, state] : moves_) {
    if (state.busy || now < state.next_step) continue;
    state.next_step = now + settings_.poll_interval;
    const bool settled = state.draining_since && now >= *state.draining_since + settings_.settle;
    if (state.draining_since && !state.drained &&
        now >= *state.draining_since + settings_.drain_timeout) {
      state.cancel = true;
      drain_backoff_until_[vm] = now + settings_.drain_retry_delay;
    }
    if (state.draining_since && !state.drained && !state.cancel) {
      if (settled) QueryRunning(vm, state);
    } else {
      StartStep(vm, state, fleet, lease);
    }
  }
}

// Finds VMs that an earlier holder of the lease left draining, and rows of removed VMs.
void VmMover::FindUnfinished(const FleetSnapshot& fleet, MonotonicTime now) {
  if (now < next_search_) return;
  next_search_ = now + kSearchInterval;
  // An empty list is not evidence that VMs were removed.
  if (fleet.vms.empty()) absent_since_.clear();
  for (const auto& [vm, row] : fleet.assignments) {
    if (!row.wave.empty()) continue;
    const bool absent = !fleet.vms.empty() && !fleet.vms.contains(vm);
    const bool orphan = !absent && row.phase == AssignmentPhase::kDraining;
    if (!absent) absent_since_.erase(vm);
    if (moves_.contains(vm) || !(absent || orphan)) continue;
    if (absent) {
      const MonotonicTime since = absent_since_.try_emplace(vm, now).first->second;
      if (now < since + settings_.removal_timeout) continue;
    }
    MoveState state;
    state.move = {vm, row.pool, row.pool, MoveReason::kReturn};
    state.cancel = orphan;
    state.remove = absent;
    state.next_step = now;
    moves_.emplace(vm, std::move(state));
  }
  std::erase_if(absent_since_,
                [&](const auto& entry) { return !fleet.assignments.contains(entry.first); });
}

void VmMover::QueryRunning(const VmId& vm, MoveState& state) {
  state.busy = true;
  hooks_.count_running(vm, [this, vm](std::optional<std::int64_t> running) {
    const auto it = moves_.find(vm);
    if (it == moves_.end()) return;
    it->second.busy = false;
    if (running == 0) {
      it->second.drained = true;
      it->second.next_step = {};
    }
  });
}

void VmMover::StartStep(const VmId& vm, MoveState& state, const FleetSnapshot& fleet,
                        LeaderLease& lease) {
  Step step;
  step.vm = vm;
  const auto& pools = fleet.config.pools;
  const auto from = pools.find(state.move.from);
  const auto to = pools.find(state.move.to);
  step.from.pool = state.move.from;
  step.to.pool = state.move.to;
  if (from != pools.end()) step.from = from->second;
  if (to != pools.end()) step.to = to->second;
  const auto info = fleet.vms.find(vm);
  if (info != fleet.vms.end()) step.rack = info->second.rack;
  step.from_members = MembersOf(state.move.from, fleet);
  state.busy = true;
  std::vector<RowKey> keys = {schema::BudgetRow(step.from.pool), schema::BudgetRow(step.to.pool)};
  Read(std::move(keys), std::move(step), lease, &VmMover::OnBudgets);
}

void VmMover::Read(std::vector<RowKey> keys, Step step, LeaderLease& lease, OnRead next) {
  const std::size_t n = keys.size();
  hooks_.table.read(std::move(keys),
                    [this, n, step = std::move(step), &lease, next](Result<std::vector<Row>> rows) {
                      const auto it = moves_.find(step.vm);
                      if (it == moves_.end()) return;
                      it->second.busy = false;
                      if (!rows || rows.value().size() != n) return;
                      (this->*next)(step, rows.value(), lease);
                    });
}

void VmMover::OnBudgets(Step step, const std::vector<Row>& rows, LeaderLease& lease) {
  step.from_budget = DecodeBudget(rows[0].value, rows[0].revision);
  step.to_budget = DecodeBudget(rows[1].value, rows[1].revision);
  moves_.at(step.vm).busy = true;
  std::vector<RowKey> keys = MemberKeys(step.from_members);
  keys.push_back(schema::VmRow(step.vm));
  Read(std::move(keys), std::move(step), lease, &VmMover::OnRows);
}

void VmMover::OnRows(Step step, const std::vector<Row>& rows, LeaderLease& lease) {
  MoveState& state = moves_.at(step.vm);
  step.row = rows.back();
  RefreshMembers(step.from.pool, step.from_members, rows);
  const VmAssignment row = DecodeAssignment(step.vm, step.row.value, step.row.revision);
  if (Decide(step, state, row)) {
    Commit(std::move(step), lease);
  } else {
    moves_.erase(step.vm);
  }
}

// Decides the next content of the VM row. Returns false when the move is complete or no longer
// possible.
bool VmMover::Decide(Step& step, MoveState& state, const VmAssignment& row) {
  if (step.row.revision == Revision(0)) {
    if (!state.move.from.empty() || state.remove) return false;
    step.next.emplace();
    step.next->vm = step.vm;
    step.next->pool = state.move.to;
    step.is_last = true;
    step.to_budget.missing = std::max<std::int64_t>(0, step.to_budget.missing - 1);
    return true;
  }
  if (row.pool != state.move.from || !row.wave.empty()) {
    // The previous step of this node took effect although its reply was lost.
    if (state.attempts > 0 && row.pool == state.move.to && !state.move.from.empty()) ++completed_;
    return false;
  }
  if (state.remove) {
    step.is_last = true;
    step.from_budget.out.erase(step.vm);
    if (!step.from.spare) ++step.from_budget.missing;
    return true;
  }
  if (row.phase == AssignmentPhase::kActive) return DecideActive(step, state, row);
  if (row.phase != AssignmentPhase::kDraining) return false;
  if (!state.drained && !state.cancel) {
    // An earlier step of this node took effect although its reply was lost.
    if (!state.draining_since) state.draining_since = hooks_.clock();
    step.next = row;
    return true;
  }
  step.is_last = true;
  step.from_budget.out.erase(step.vm);
  step.next = row;
  step.next->phase = AssignmentPhase::kActive;
  if (state.cancel) return true;
  step.completes_move = true;
  step.next->pool = state.move.to;
  const bool below_size = std::ssize(step.from_members) <= step.from.size;
  if (!step.from.spare && below_size) ++step.from_budget.missing;
  step.to_budget.missing = std::max<std::int64_t>(0, step.to_budget.missing - 1);
  return true;
}

bool VmMover::DecideActive(Step& step, const MoveState& state, const VmAssignment& row) {
  if (state.cancel || state.drained) return false;
  step.next = row;
  if (step.from.spare) {
    // Spare VMs run no tasks, so no drain is needed.
    step.is_last = true;
    step.completes_move = true;
    step.next->pool = state.move.to;
    step.to_budget.missing = std::max<std::int64_t>(0, step.to_budget.missing - 1);
    return true;
  }
  const PoolOutage outage = CountOutage(step.from, step.from_members, step.from_budget);
  if (!BudgetAllows(step.from, outage, step.rack)) return false;
  step.next->phase = AssignmentPhase::kDraining;
  step.from_budget.out[step.vm] = WaveId();
  return true;
}

void VmMover::Commit(Step step, LeaderLease& lease) {
  if (!lease.Held(hooks_.clock())) return;
  Transaction transaction;
  transaction.attempt =
      AttemptId(settings_.self.str() + "/move/" + schema::PaddedNumber(hooks_.random()) +
                schema::PaddedNumber(hooks_.random()));
  transaction.checks = {lease.Fence(), {step.row.key, step.row.revision}};
  std::optional<std::string> value;
  if (step.next) value = EncodeAssignment(*step.next);
  transaction.writes.push_back({step.row.key, value});
  const auto write_budget = [&](const PoolId& pool, const BudgetRecord& budget) {
    if (pool.empty()) return;
    transaction.checks.push_back({schema::BudgetRow(pool), budget.revision});
    transaction.writes.push_back({schema::BudgetRow(pool), EncodeBudget(budget)});
  };
  write_budget(step.from.pool, step.from_budget);
  if (step.to.pool != step.from.pool && step.is_last) write_budget(step.to.pool, step.to_budget);
  moves_.at(step.vm).busy = true;
  hooks_.table.transact(
      std::move(transaction), [this, step = std::move(step), &lease](const TransactResult& result) {
        const auto it = moves_.find(step.vm);
        if (it == moves_.end()) return;
        it->second.busy = false;
        if (result.outcome == TransactOutcome::kCommitted) return OnCommitted(step, it->second);
        // The next step reads the rows again and continues from their current content.
        ++it->second.attempts;
        if (result.outcome != TransactOutcome::kConflict) return;
        for (const Row& row : result.current) {
          if (row.key == lease.Fence().key && row.revision != lease.Fence().expected) {
            lease.OnFenced();
          }
        }
      });
}

void VmMover::OnCommitted(const Step& step, MoveState& state) {
  if (step.is_last) {
    if (step.completes_move) ++completed_;
    moves_.erase(step.vm);
    return;
  }
  state.attempts = 0;
  if (!state.draining_since) state.draining_since = hooks_.clock();
}

}  // namespace sapphirewheel
