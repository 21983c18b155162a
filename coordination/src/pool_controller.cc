#include "sapphirewheel/coordination/pool_controller.h"

#include "sapphirewheel/state/schema.h"

namespace sapphirewheel {
namespace {

constexpr int kPageRows = 500;

LeaderLease::Settings LeaseSettings(const NodeId& self) {
  LeaderLease::Settings settings;
  settings.self = self;
  settings.name = "planner";
  return settings;
}

VmMover::Settings MoverSettings(const NodeId& self) {
  VmMover::Settings settings;
  settings.self = self;
  return settings;
}

}  // namespace

PoolController::PoolController(Settings settings, VmMover::Hooks hooks)
    : settings_(std::move(settings)),
      hooks_(std::move(hooks)),
      lease_(LeaseSettings(settings_.self), {hooks_.table, hooks_.random}),
      planner_(settings_.planner),
      mover_(MoverSettings(settings_.self), hooks_) {}

void PoolController::Tick(const FleetSnapshot& fleet, const std::vector<ServiceDemand>& demand,
                          const std::map<VmId, std::int64_t>& running, MonotonicTime now) {
  lease_.Tick(now);
  mover_.Tick(fleet, lease_, now);
  if (!lease_.Held(now)) {
    budgets_known_ = false;
    return;
  }
  if (now < next_plan_) return;
  next_plan_ = now + settings_.plan_interval;
  if (budgets_known_) {
    PruneBudgets(fleet);
    const auto moves = planner_.Plan(
        {fleet, demand, budgets_, mover_.Moving(), mover_.InDrainBackoff(now), running}, now);
    for (const VmMove& move : moves) mover_.Start(move, now);
    mover_.Tick(fleet, lease_, now);
  }
  if (!reading_) ReadBudgets("");
}

// Reads all budget rows, one page at a time.
void PoolController::ReadBudgets(const std::string& first) {
  reading_ = true;
  hooks_.table.scan({schema::kBudgets, first, "", kPageRows},
                    [this](Result<std::vector<Row>> rows) {
                      reading_ = false;
                      if (!rows) return;
                      for (const Row& row : rows.value()) {
                        budgets_[PoolId(row.key.key)] = DecodeBudget(row.value, row.revision);
                      }
                      if (rows.value().size() < kPageRows) {
                        budgets_known_ = true;
                      } else {
                        ReadBudgets(rows.value().back().key.key + '\0');
                      }
                    });
}

void PoolController::PruneBudgets(const FleetSnapshot& fleet) {
  for (auto& [pool, budget] : budgets_) {
    if (!PruneBudget(pool, budget, fleet)) continue;
    Transaction transaction;
    transaction.attempt =
        AttemptId(settings_.self.str() + "/prune/" + schema::PaddedNumber(hooks_.random()));
    transaction.checks = {lease_.Fence(), {schema::BudgetRow(pool), budget.revision}};
    transaction.writes = {{schema::BudgetRow(pool), EncodeBudget(budget)}};
    // The outcome does not matter: the next read returns the current row.
    hooks_.table.transact(std::move(transaction), [](const TransactResult&) {});
  }
}

}  // namespace sapphirewheel
