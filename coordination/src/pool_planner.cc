#include "sapphirewheel/coordination/pool_planner.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <tuple>

namespace sapphirewheel {
namespace {

// In seconds.
constexpr double kQueueSmoothing = 2.0;
constexpr double kRecentHalfLife = 2.0;
// Weight of the latest peak or gap in the mean lengths.
constexpr double kLengthWeight = 0.2;

// Fraction of a VM's slots that may be in use when it is moved. The VM with the fewest slots in use
// is lent first; a donor with free capacity loses nothing while it drains. Surplus is returned only
// with idle VMs, because returning it is not urgent.
constexpr double kMaxLoadToLend = 1;
constexpr double kMaxLoadToReturn = 0;

// Time from the end of a peak until a lent VM is idle and back in its pool.
constexpr double kReturnSeconds = 30;

double Seconds(Millis time) { return static_cast<double>(time.count()) / 1000.0; }

}  // namespace

// State of a pool after the moves that the plan contains so far.
struct PoolPlanner::PoolDraft {
  const PoolChange* config = nullptr;
  History* history = nullptr;
  std::vector<VmId> serving;
  std::map<RackId, std::int64_t> racks;
  PoolOutage outage;
  // VMs that stay in the pool or are moving to it.
  std::int64_t assigned = 0;
  double slots = 0;
  double vm_slots = 0;
  double queued = 0;
  double demand = 0;
  bool received = false;

  [[nodiscard]] bool BelowSize() const { return !config->spare && assigned < config->size; }
};

struct PoolPlanner::Draft {
  const Input& input;
  MonotonicTime now;
  std::map<PoolId, PoolDraft> pools;
  std::size_t in_progress = 0;
  std::size_t limit = 0;
  std::vector<VmMove> moves;

  [[nodiscard]] bool AtMoveLimit() const { return in_progress >= limit; }
};

const char* MoveReasonName(MoveReason reason) noexcept {
  switch (reason) {
    case MoveReason::kNewVm:
      return "new VM";
    case MoveReason::kBelowSize:
      return "pool below its size";
    case MoveReason::kPeak:
      return "demand peak";
    case MoveReason::kReturn:
      return "surplus returned";
  }
  return "";
}

PoolPlanner::PoolPlanner(Settings settings)
    : settings_(settings), headroom_(1 + 0.25 * settings.profile.share / settings.profile.buffer) {}

std::vector<VmMove> PoolPlanner::Plan(const Input& input, MonotonicTime now) {
  Draft draft = MakeDraft(input, now);
  AssignNewVms(draft);
  ServePeaks(draft);
  RefillPools(draft);
  ReturnSurplus(draft);
  std::erase_if(moved_, [&](const auto& entry) { return !input.fleet.vms.contains(entry.first); });
  return std::move(draft.moves);
}

PoolPlanner::Draft PoolPlanner::MakeDraft(const Input& input, MonotonicTime now) {
  Draft draft{input, now, {}, input.moving.size(), 0, {}};
  draft.limit = static_cast<std::size_t>(
      std::max(1.0, std::round(settings_.max_concurrent_moves * settings_.profile.rollout)));
  const std::map<PoolId, PoolMembers> members = MembersByPool(input.fleet);
  for (const auto& [id, config] : input.fleet.config.pools) {
    PoolDraft& pool = draft.pools[id];
    pool.config = &config;
    pool.history = &history_[id];
    const auto own = members.find(id);
    const auto budget = input.budgets.find(id);
    if (own != members.end()) {
      AddMembers(pool, own->second, input);
      pool.outage = CountOutage(config, own->second,
                                budget == input.budgets.end() ? BudgetRecord() : budget->second);
    }
  }
  for (const auto& [vm, to] : input.moving) {
    const auto pool = draft.pools.find(to);
    const auto info = input.fleet.vms.find(vm);
    if (pool == draft.pools.end() || info == input.fleet.vms.end()) continue;
    ++pool->second.assigned;
    pool->second.slots += static_cast<double>(info->second.slots.count());
  }
  DivideDemand(draft);
  for (auto& [id, pool] : draft.pools) UpdateHistory(pool, now);
  return draft;
}

void PoolPlanner::AddMembers(PoolDraft& pool, const PoolMembers& members, const Input& input) {
  for (const auto& [vm, member] : members) {
    if (input.moving.contains(vm)) continue;
    ++pool.assigned;
    if (!member.serving) continue;
    pool.serving.push_back(vm);
    ++pool.racks[member.rack];
    pool.slots += static_cast<double>(input.fleet.vms.at(vm).slots.count());
  }
}

void PoolPlanner::DivideDemand(Draft& draft) {
  // The demand for a service is divided among its pools in proportion to their slots.
  for (const ServiceDemand& demand : draft.input.demand) {
    std::vector<PoolDraft*> served;
    double slots = 0;
    for (auto& [id, pool] : draft.pools) {
      const auto& services = pool.config->services;
      if (std::find(services.begin(), services.end(), demand.service) == services.end()) continue;
      served.push_back(&pool);
      slots += pool.slots;
    }
    for (PoolDraft* pool : served) {
      const double part =
          slots > 0 ? pool->slots / slots : 1.0 / static_cast<double>(served.size());
      pool->queued += part * static_cast<double>(demand.queued.count());
      pool->demand += part * static_cast<double>((demand.queued + demand.running).count());
    }
  }
}

void PoolPlanner::UpdateHistory(PoolDraft& pool, MonotonicTime now) {
  constexpr double kDefaultVmSlots = 8;
  pool.vm_slots =
      pool.serving.empty() ? kDefaultVmSlots : pool.slots / static_cast<double>(pool.assigned);
  History& history = *pool.history;
  const double elapsed = history.updated == MonotonicTime{} ? 0 : Seconds(now - history.updated);
  // Work that is queued while slots are free waits for something else, such as a team's limit.
  const double excess = std::clamp(pool.demand - pool.slots, 0.0, pool.queued);
  // Smoothed when it rises, but not when it falls: a long queue that has ended must not keep VMs
  // from other pools.
  const double smoothed =
      history.queued + (excess - history.queued) * (1 - std::exp(-elapsed / kQueueSmoothing));
  history.queued = std::min(excess, smoothed);
  const double used = std::min(pool.demand, pool.slots);
  history.recent_demand =
      std::max(used, history.recent_demand * std::exp2(-elapsed / kRecentHalfLife));
  history.updated = now;
  const bool in_peak = history.queued >= 1;
  if (in_peak == history.in_peak) return;
  const double lasted = history.since == MonotonicTime{} ? 0 : Seconds(now - history.since);
  double& mean = history.in_peak ? history.peak_length : history.gap_length;
  if (lasted > 0) mean += kLengthWeight * (lasted - mean);
  history.in_peak = in_peak;
  history.since = now;
}

// Assigns VMs without a row to the pool with the smallest filled fraction of its size, or to the
// spare pool when no pool is below its size.
void PoolPlanner::AssignNewVms(Draft& draft) {
  for (const auto& [vm, info] : draft.input.fleet.vms) {
    if (info.role != VmRole::kWorker || info.phase != VmPhase::kLive) continue;
    if (draft.input.fleet.assignments.contains(vm) || draft.input.moving.contains(vm)) continue;
    PoolDraft* best = nullptr;
    std::tuple<double, std::int64_t> best_rank;
    for (auto& [id, pool] : draft.pools) {
      if (!pool.BelowSize()) continue;
      const auto in_rack = pool.racks.find(info.rack);
      const std::tuple rank(
          static_cast<double>(pool.assigned) / static_cast<double>(pool.config->size),
          in_rack == pool.racks.end() ? 0 : in_rack->second);
      if (best != nullptr && rank >= best_rank) continue;
      best = &pool;
      best_rank = rank;
    }
    for (auto& [id, pool] : draft.pools) {
      if (best == nullptr && pool.config->spare) best = &pool;
    }
    if (best != nullptr) Move(draft, vm, nullptr, *best, MoveReason::kNewVm);
  }
}

// Expected seconds until the end of a peak. A peak that outlasts the mean length is assumed to last
// half as long again.
double PoolPlanner::ExpectedPeakLeft(const History& history, MonotonicTime now) {
  if (!history.in_peak) return history.peak_length;
  const double lasted = Seconds(now - history.since);
  return std::max(history.peak_length - lasted, lasted / 2);
}

void PoolPlanner::ServePeaks(Draft& draft) {
  while (!draft.AtMoveLimit()) {
    PoolDraft* neediest = nullptr;
    double best = 0;
    for (auto& [id, pool] : draft.pools) {
      if (pool.config->spare) continue;
      // By Little's law a queue of n slots for t seconds is n * t slot-seconds of waiting. The
      // saving by one VM is bounded by its slots and begins when the VM has arrived.
      const double excess = std::min(pool.history->queued, pool.demand - pool.slots);
      const double left = ExpectedPeakLeft(*pool.history, draft.now) - Seconds(settings_.move_time);
      const double gain = std::min(excess, pool.vm_slots) * std::max(1.0, left);
      if (gain <= best) continue;
      best = gain;
      neediest = &pool;
    }
    if (neediest == nullptr) return;
    PoolDraft* donor = ChooseDonor(draft, *neediest, best);
    const auto vm =
        donor == nullptr ? std::nullopt : ChooseVm(draft, *donor, *neediest, kMaxLoadToLend);
    if (!vm) return;
    Move(draft, *vm, donor, *neediest, MoveReason::kPeak);
  }
}

// Returns the donor with the least risk, or nullptr when for no donor the gain exceeds the cost of
// the move plus the risk.
PoolPlanner::PoolDraft* PoolPlanner::ChooseDonor(Draft& draft, const PoolDraft& to,
                                                 double gain) const {
  PoolDraft* best = nullptr;
  double best_risk = gain - settings_.move_cost * settings_.profile.moves;
  for (auto& [id, pool] : draft.pools) {
    if (&pool == &to || pool.received || !CanSpare(pool)) continue;
    if (!ChooseVm(draft, pool, to, kMaxLoadToLend)) continue;
    const double risk = Risk(pool, ExpectedPeakLeft(*to.history, draft.now));
    if (risk >= best_risk) continue;
    best = &pool;
    best_risk = risk;
  }
  return best;
}

// Returns whether the pool without one of its VMs still covers its own recent demand.
bool PoolPlanner::CanSpare(const PoolDraft& pool) const {
  if (pool.config->spare) return true;
  if (pool.history->in_peak) return false;
  return pool.slots - pool.vm_slots >= headroom_ * pool.history->recent_demand;
}

// Expected waiting, in slot-seconds, that lending a VM for the given time causes in the donor: the
// probability of a peak until the VM is back, times the waiting that the VM would have saved in it.
// VMs above the pool's size carry no risk, because they are not the pool's own.
double PoolPlanner::Risk(const PoolDraft& pool, double seconds) const {
  if (pool.config->spare || pool.assigned > pool.config->size) return 0;
  const History& history = *pool.history;
  const double away = seconds + kReturnSeconds;
  const double chance = std::min(1.0, away / std::max(1.0, history.gap_length));
  return settings_.profile.share * pool.vm_slots * history.peak_length * chance;
}

// Returns the VM with the fewest slots in use that the pool can give up. Without it, the pool must
// stay within its availability budget and keep its spread over racks.
std::optional<VmId> PoolPlanner::ChooseVm(const Draft& draft, const PoolDraft& from,
                                          const PoolDraft& to, double max_load) const {
  const auto stay = settings_.min_stay * settings_.profile.moves;
  std::int64_t most = 0;
  for (const auto& [rack, n] : from.racks) most = std::max(most, n);
  std::optional<VmId> best;
  std::tuple<std::int64_t, std::int64_t, std::int64_t> best_rank;
  for (const VmId& vm : from.serving) {
    const auto moved = moved_.find(vm);
    if (moved != moved_.end() && draft.now < moved->second + stay) continue;
    if (draft.input.in_drain_backoff.contains(vm)) continue;
    const RackId& rack = draft.input.fleet.vms.at(vm).rack;
    const std::int64_t in_rack = from.racks.at(rack);
    if (!from.config->spare) {
      if (!BudgetAllows(*from.config, from.outage, rack)) continue;
      // Giving up the last VM in a rack while another rack has several reduces the spread.
      if (in_rack == 1 && most > 1) continue;
    }
    const auto running = draft.input.running.find(vm);
    const bool known = running != draft.input.running.end();
    if (known && static_cast<double>(running->second) > max_load * from.vm_slots) continue;
    const auto in_target = to.racks.find(rack);
    const std::tuple rank(known ? running->second : 0,
                          in_target == to.racks.end() ? 0 : in_target->second, -in_rack);
    if (best && rank >= best_rank) continue;
    best = vm;
    best_rank = rank;
  }
  return best;
}

// Refills pools below their size from the spare pools.
void PoolPlanner::RefillPools(Draft& draft) {
  for (auto& [id, pool] : draft.pools) {
    for (auto& [other, spare] : draft.pools) {
      while (!draft.AtMoveLimit() && pool.BelowSize() && spare.config->spare) {
        const auto vm = ChooseVm(draft, spare, pool, kMaxLoadToLend);
        if (!vm) break;
        Move(draft, *vm, &spare, pool, MoveReason::kBelowSize);
      }
    }
  }
}

// Moves VMs above a pool's size that it does not need to a pool below its size, or else to a spare
// pool.
void PoolPlanner::ReturnSurplus(Draft& draft) {
  for (auto& [id, pool] : draft.pools) {
    if (pool.config->spare || pool.received) continue;
    while (!draft.AtMoveLimit() && pool.assigned > pool.config->size && CanSpare(pool)) {
      PoolDraft* target = nullptr;
      for (auto& [other, candidate] : draft.pools) {
        if (candidate.BelowSize()) target = &candidate;
      }
      for (auto& [other, candidate] : draft.pools) {
        if (target == nullptr && candidate.config->spare) target = &candidate;
      }
      const auto vm =
          target == nullptr ? std::nullopt : ChooseVm(draft, pool, *target, kMaxLoadToReturn);
      if (!vm) break;
      Move(draft, *vm, &pool, *target, MoveReason::kReturn);
    }
  }
}

void PoolPlanner::Move(Draft& draft, const VmId& vm, PoolDraft* from, PoolDraft& to,
                       MoveReason reason) {
  const VmInfo& info = draft.input.fleet.vms.at(vm);
  const auto slots = static_cast<double>(info.slots.count());
  VmMove move{vm, PoolId(), to.config->pool, reason};
  if (from != nullptr) {
    move.from = from->config->pool;
    std::erase(from->serving, vm);
    if (--from->racks[info.rack] == 0) from->racks.erase(info.rack);
    ++from->outage.out;
    ++from->outage.out_by_rack[info.rack];
    --from->assigned;
    from->slots -= slots;
  }
  ++to.assigned;
  ++to.racks[info.rack];
  to.slots += slots;
  to.received = true;
  moved_[vm] = draft.now;
  if (reason != MoveReason::kNewVm) ++draft.in_progress;
  draft.moves.push_back(std::move(move));
}

}  // namespace sapphirewheel
