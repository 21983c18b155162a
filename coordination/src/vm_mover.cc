#include "sapphirewheel/coordination/vm_mover.h"

#include <algorithm>
#include <iterator>

#include "sapphirewheel/state/schema.h"

namespace sapphirewheel {
namespace {

// Failed steps until a move is given up; the planner decides again with a newer view.
constexpr int kMaxAttempts = 5;

// The search reads every VM row of the snapshot.
constexpr Millis kSearchInterval{1000};

}  // namespace

// One read and one transaction for a VM. It keeps what it needs of the fleet, because the snapshot
// is only valid during Tick.
struct VmMover::Step {
  VmId vm;
  PoolChange from;
  PoolChange to;
  PoolMembers from_members;
  RackId rack;
  Row row;
  BudgetRecord from_budget;
  BudgetRecord to_budget;
  // The result of the step; nothing deletes the row.
  std::optional<VmAssignment> next;
  bool finishes = false;
  bool counts = false;
};

VmMover::VmMover(Settings settings, Hooks hooks)
    : settings_(std::move(settings)), hooks_(std::move(hooks)) {}

void VmMover::Start(const VmMove& move, MonotonicTime now) {
  Work work;
  work.move = move;
  work.next_step = now;
  work_.emplace(move.vm, std::move(work));
}

std::map<VmId, PoolId> VmMover::Moving() const {
  std::map<VmId, PoolId> moving;
  for (const auto& [vm, work] : work_) moving.emplace(vm, work.move.to);
  return moving;
}

std::set<VmId> VmMover::HeldBack(MonotonicTime now) const {
  std::set<VmId> vms;
  for (const auto& [vm, until] : held_back_until_) {
    if (now < until) vms.insert(vm);
  }
  return vms;
}

void VmMover::Tick(const FleetSnapshot& fleet, LeaderLease& lease, MonotonicTime now) {
  if (!lease.Held(now)) {
    // Steps under way conflict with the fence, or have taken effect and are in the rows.
    std::erase_if(work_, [](const auto& entry) { return !entry.second.busy; });
    absent_since_.clear();
    return;
  }
  FindUnfinished(fleet, now);
  std::erase_if(work_, [](const auto& entry) {
    return !entry.second.busy && entry.second.attempts >= kMaxAttempts;
  });
  for (auto& [vm, work] : work_) {
    if (work.busy || now < work.next_step) continue;
    work.next_step = now + settings_.poll_interval;
    const bool settled = work.draining_since && now >= *work.draining_since + settings_.settle;
    if (work.draining_since && !work.drained &&
        now >= *work.draining_since + settings_.drain_limit) {
      work.cancel = true;
      held_back_until_[vm] = now + settings_.retry_drain;
    }
    if (work.draining_since && !work.drained && !work.cancel) {
      if (settled) AskRunning(vm, work);
    } else {
      BeginStep(vm, work, fleet, lease);
    }
  }
}

// Finds VMs that an earlier holder of the duty left draining, and rows of VMs that were removed.
void VmMover::FindUnfinished(const FleetSnapshot& fleet, MonotonicTime now) {
  if (now < next_search_) return;
  next_search_ = now + kSearchInterval;
  // An empty list says nothing of the VMs.
  if (fleet.vms.empty()) absent_since_.clear();
  for (const auto& [vm, row] : fleet.assignments) {
    if (!row.wave.empty()) continue;
    const bool absent = !fleet.vms.empty() && !fleet.vms.contains(vm);
    const bool orphan = !absent && row.phase == AssignmentPhase::kDraining;
    if (!absent) absent_since_.erase(vm);
    if (work_.contains(vm) || !(absent || orphan)) continue;
    if (absent) {
      const MonotonicTime since = absent_since_.try_emplace(vm, now).first->second;
      if (now < since + settings_.gone_after) continue;
    }
    Work work;
    work.move = {vm, row.pool, row.pool, MoveReason::kReturn};
    work.cancel = orphan;
    work.remove = absent;
    work.next_step = now;
    work_.emplace(vm, std::move(work));
  }
  std::erase_if(absent_since_,
                [&](const auto& entry) { return !fleet.assignments.contains(entry.first); });
}

void VmMover::AskRunning(const VmId& vm, Work& work) {
  work.busy = true;
  hooks_.running(vm, [this, vm](std::optional<std::int64_t> running) {
    const auto it = work_.find(vm);
    if (it == work_.end()) return;
    it->second.busy = false;
    if (running == 0) {
      it->second.drained = true;
      it->second.next_step = {};
    }
  });
}

void VmMover::BeginStep(const VmId& vm, Work& work, const FleetSnapshot& fleet,
                        LeaderLease& lease) {
  Step step;
  step.vm = vm;
  const auto& pools = fleet.config.pools;
  const auto from = pools.find(work.move.from);
  const auto to = pools.find(work.move.to);
  step.from.pool = work.move.from;
  step.to.pool = work.move.to;
  if (from != pools.end()) step.from = from->second;
  if (to != pools.end()) step.to = to->second;
  const auto info = fleet.vms.find(vm);
  if (info != fleet.vms.end()) step.rack = info->second.rack;
  step.from_members = MembersOf(work.move.from, fleet);
  work.busy = true;
  std::vector<RowKey> keys = {schema::BudgetRow(step.from.pool), schema::BudgetRow(step.to.pool)};
  Read(std::move(keys), std::move(step), lease, &VmMover::OnBudgets);
}

void VmMover::Read(std::vector<RowKey> keys, Step step, LeaderLease& lease, OnRead next) {
  const std::size_t n = keys.size();
  hooks_.table.read(std::move(keys),
                    [this, n, step = std::move(step), &lease, next](Result<std::vector<Row>> rows) {
                      const auto it = work_.find(step.vm);
                      if (it == work_.end()) return;
                      it->second.busy = false;
                      if (!rows || rows.value().size() != n) return;
                      (this->*next)(step, rows.value(), lease);
                    });
}

void VmMover::OnBudgets(Step step, const std::vector<Row>& rows, LeaderLease& lease) {
  step.from_budget = DecodeBudget(rows[0].value, rows[0].revision);
  step.to_budget = DecodeBudget(rows[1].value, rows[1].revision);
  work_.at(step.vm).busy = true;
  std::vector<RowKey> keys = MemberKeys(step.from_members);
  keys.push_back(schema::VmRow(step.vm));
  Read(std::move(keys), std::move(step), lease, &VmMover::OnRows);
}

void VmMover::OnRows(Step step, const std::vector<Row>& rows, LeaderLease& lease) {
  Work& work = work_.at(step.vm);
  step.row = rows.back();
  RefreshMembers(step.from.pool, step.from_members, rows);
  const VmAssignment row = DecodeAssignment(step.vm, step.row.value, step.row.revision);
  if (Decide(step, work, row)) {
    Commit(std::move(step), lease);
  } else {
    work_.erase(step.vm);
  }
}

// Chooses the next state of the row; false when the move is over or no longer possible.
bool VmMover::Decide(Step& step, Work& work, const VmAssignment& row) {
  if (step.row.revision == Revision(0)) {
    if (!work.move.from.empty() || work.remove) return false;
    step.next.emplace();
    step.next->vm = step.vm;
    step.next->pool = work.move.to;
    step.finishes = true;
    step.to_budget.missing = std::max<std::int64_t>(0, step.to_budget.missing - 1);
    return true;
  }
  if (row.pool != work.move.from || !row.wave.empty()) {
    // Our own last step took effect although its answer was lost.
    if (work.attempts > 0 && row.pool == work.move.to && !work.move.from.empty()) ++completed_;
    return false;
  }
  if (work.remove) {
    step.finishes = true;
    step.from_budget.out.erase(step.vm);
    if (!step.from.spare) ++step.from_budget.missing;
    return true;
  }
  if (row.phase == AssignmentPhase::kActive) return DecideActive(step, work, row);
  if (row.phase != AssignmentPhase::kDraining) return false;
  if (!work.drained && !work.cancel) {
    // Our own earlier step took effect although its answer was lost.
    if (!work.draining_since) work.draining_since = hooks_.clock();
    step.next = row;
    return true;
  }
  step.finishes = true;
  step.from_budget.out.erase(step.vm);
  step.next = row;
  step.next->phase = AssignmentPhase::kActive;
  if (work.cancel) return true;
  step.counts = true;
  step.next->pool = work.move.to;
  const bool falls_short = std::ssize(step.from_members) <= step.from.size;
  if (!step.from.spare && falls_short) ++step.from_budget.missing;
  step.to_budget.missing = std::max<std::int64_t>(0, step.to_budget.missing - 1);
  return true;
}

bool VmMover::DecideActive(Step& step, const Work& work, const VmAssignment& row) {
  if (work.cancel || work.drained) return false;
  step.next = row;
  if (step.from.spare) {
    // Nothing runs on spare VMs, so that there is nothing to drain.
    step.finishes = true;
    step.counts = true;
    step.next->pool = work.move.to;
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
  if (step.to.pool != step.from.pool && step.finishes) write_budget(step.to.pool, step.to_budget);
  work_.at(step.vm).busy = true;
  hooks_.table.transact(
      std::move(transaction), [this, step = std::move(step), &lease](const TransactResult& result) {
        const auto it = work_.find(step.vm);
        if (it == work_.end()) return;
        it->second.busy = false;
        if (result.outcome == TransactOutcome::kCommitted) return OnCommitted(step, it->second);
        // The next step reads the rows again and continues from what has taken effect.
        ++it->second.attempts;
        if (result.outcome != TransactOutcome::kConflict) return;
        for (const Row& row : result.current) {
          if (row.key == lease.Fence().key && row.revision != lease.Fence().expected) {
            lease.OnFenced();
          }
        }
      });
}

void VmMover::OnCommitted(const Step& step, Work& work) {
  if (step.finishes) {
    if (step.counts) ++completed_;
    work_.erase(step.vm);
    return;
  }
  work.attempts = 0;
  if (!work.draining_since) work.draining_since = hooks_.clock();
}

}  // namespace sapphirewheel
