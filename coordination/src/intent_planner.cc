#include "sapphirewheel/coordination/intent_planner.h"

#include <utility>

#include "attempt_id.h"
#include "plan_builder.h"
#include "sapphirewheel/coordination/authentication.h"
#include "sapphirewheel/state/schema.h"

namespace sapphirewheel {
namespace {

// Maximum number of times the transaction that stores a plan is sent.
constexpr int kMaxSends = 3;
// A value in the table service is limited to 64 KiB; confirming a plan adds some bytes.
constexpr std::size_t kMaxPlanBytes = 64000;

Error Unavailable() {
  return Error{ErrorKind::kPlatformUnavailable, "the plan could not be stored at the platform",
               "retry later; nothing was changed", RunState::kNotRun, Millis(1000)};
}

Error UnknownPlan(const PlanId& plan) {
  return Error{ErrorKind::kNotFound, "there is no plan \"" + plan.str() + "\"",
               "check the id, or submit the intent again", RunState::kNotRun, std::nullopt};
}

Error TooLarge() {
  return Error{ErrorKind::kInvalidArgument, "the plan exceeds 64 KB",
               "name fewer pools or services in one intent", RunState::kNotRun, std::nullopt};
}

Error Outdated(const std::string& reason) {
  return Error{ErrorKind::kPlanOutdated, "the plan is outdated: " + reason,
               "review and confirm the new plan", RunState::kNotRun, std::nullopt};
}

Result<Plan> PlanFromRow(const PlanId& id, const Row& row) {
  if (row.revision.count() == 0) return UnknownPlan(id);
  BOOST_OUTCOME_TRY(auto plan, DecodePlan(row.value));
  plan.revision = row.revision;
  return plan;
}

// Compares the basis of a plan with the configuration. The transaction checks the row of a VM.
Result<void> CheckBasis(const Plan& plan, const FleetConfig& config) {
  for (const auto& [name, version] : BasisOf(plan.change, config)) {
    const auto it = plan.basis.find(name);
    if (it == plan.basis.end() || it->second != version) {
      return Outdated(name + " has changed since it was made");
    }
  }
  return boost::outcome_v2::success();
}

std::vector<RowCheck> ChecksOf(const Plan& plan) {
  std::vector<RowCheck> checks = {{schema::PlanRow(plan.id), plan.revision}};
  if (const auto* move = std::get_if<VmPoolChange>(&plan.change)) {
    const auto it = plan.basis.find(VmBasisName(move->vm));
    const std::uint64_t revision = it == plan.basis.end() ? 0 : it->second.count();
    checks.push_back({schema::VmRow(move->vm), Revision(revision)});
  }
  return checks;
}

std::vector<RowWrite> WritesOf(Plan plan, ConfigVersion version) {
  plan.state = PlanState::kConfirmed;
  plan.confirmed_version = version;
  std::vector<RowWrite> writes = {{schema::PlanRow(plan.id), EncodePlan(plan)}};
  if (const auto* move = std::get_if<VmPoolChange>(&plan.change)) {
    // The transaction checks the row's revision, which is that of an active VM outside any wave.
    VmAssignment assignment;
    assignment.vm = move->vm;
    assignment.pool = move->pool;
    writes.push_back({schema::VmRow(move->vm), EncodeAssignment(assignment)});
  }
  return writes;
}

}  // namespace

IntentPlanner::IntentPlanner(Hooks hooks, ConfigLog& log) : hooks_(std::move(hooks)), log_(log) {}

void IntentPlanner::MakePlan(ConfigChange change, PlanCallback done) {
  const auto* move = std::get_if<VmPoolChange>(&change);
  if (move == nullptr) return BuildAndStore(std::move(change), VmAssignment(), std::move(done));
  const VmId vm = move->vm;
  ReadVm(vm, [this, change = std::move(change),
              done = std::move(done)](const Result<VmAssignment>& assignment) {
    if (!assignment) return done(assignment.error());
    BuildAndStore(change, assignment.value(), done);
  });
}

void IntentPlanner::ReadVm(const VmId& vm, VmRowCallback done) {
  hooks_.table.read({schema::VmRow(vm)},
                    [vm, done = std::move(done)](const Result<std::vector<Row>>& rows) {
                      if (!rows) return done(rows.error());
                      const Row& row = rows.value().at(0);
                      VmAssignment assignment = DecodeAssignment(vm, row.value, row.revision);
                      assignment.vm = vm;
                      done(assignment);
                    });
}

void IntentPlanner::BuildAndStore(ConfigChange change, const VmAssignment& vm, PlanCallback done) {
  const FleetInventory inventory = hooks_.inventory ? hooks_.inventory() : FleetInventory();
  const PlanInput input{log_.config(), inventory, vm};
  if (auto checked = CheckChange(change, input); !checked) return done(checked.error());
  Plan plan;
  plan.id = PlanId("plan-" + RandomHex128(hooks_.random));
  if (auto* grant = std::get_if<KeyGrantChange>(&change)) {
    GeneratedKey key = GenerateKey(grant->key, hooks_.random);
    grant->secret_sha256 = std::move(key.secret_sha256);
    plan.token = std::move(key.token);
  }
  plan.change = std::move(change);
  plan.ground = input.config.version;
  plan.basis = BasisOf(plan.change, input.config);
  if (!vm.vm.empty()) plan.basis[VmBasisName(vm.vm)] = ConfigVersion(vm.revision.count());
  DescribePlan(plan, input);
  Transaction transaction;
  transaction.attempt = NewAttemptId(hooks_.random);
  transaction.checks.push_back({schema::PlanRow(plan.id), Revision(0)});
  std::string text = EncodePlan(plan);
  if (text.size() > kMaxPlanBytes) return done(TooLarge());
  transaction.writes.push_back({schema::PlanRow(plan.id), std::move(text)});
  Store(plan, transaction, 1, std::move(done));
}

void IntentPlanner::Store(const Plan& plan, const Transaction& transaction, int sends,
                          PlanCallback done) {
  hooks_.table.transact(transaction, [this, plan, transaction, sends,
                                      done = std::move(done)](const TransactResult& result) {
    if (result.outcome == TransactOutcome::kCommitted) {
      Plan stored = plan;
      stored.revision = result.revision;
      return done(std::move(stored));
    }
    if (result.outcome == TransactOutcome::kUncertain && sends < kMaxSends) {
      return Store(plan, transaction, sends + 1, done);
    }
    // If the plan was stored although the reply was lost, it has no effect: nobody knows its id.
    done(Unavailable());
  });
}

void IntentPlanner::GetPlan(const PlanId& plan, PlanCallback done) {
  hooks_.table.read({schema::PlanRow(plan)},
                    [plan, done = std::move(done)](const Result<std::vector<Row>>& rows) {
                      if (!rows) return done(rows.error());
                      done(PlanFromRow(plan, rows.value().at(0)));
                    });
}

void IntentPlanner::Confirm(const PlanId& plan, ConfirmCallback done) {
  GetPlan(plan, [this, done = std::move(done)](const Result<Plan>& stored) {
    if (!stored) return done(stored.error(), std::nullopt);
    if (stored.value().state == PlanState::kConfirmed) return done(stored, std::nullopt);
    Append(stored.value(), done);
  });
}

void IntentPlanner::Append(const Plan& plan, ConfirmCallback done) {
  log_.AppendWith(
      plan.id, plan.change, [plan](const FleetConfig& config) { return CheckBasis(plan, config); },
      ChecksOf(plan), [plan](ConfigVersion version) { return WritesOf(plan, version); },
      [this, plan, done = std::move(done)](const Result<ConfigVersion>& version) {
        if (version) {
          Plan confirmed = plan;
          confirmed.state = PlanState::kConfirmed;
          confirmed.confirmed_version = version.value();
          return done(std::move(confirmed), std::nullopt);
        }
        if (version.error().kind == ErrorKind::kPlanOutdated) {
          return OnOutdated(plan, version.error(), done);
        }
        done(version.error(), std::nullopt);
      });
}

void IntentPlanner::OnOutdated(const Plan& plan, const Error& reason, ConfirmCallback done) {
  GetPlan(plan.id, [this, reason, done = std::move(done)](const Result<Plan>& stored) {
    if (!stored) return done(stored.error(), std::nullopt);
    if (stored.value().state == PlanState::kConfirmed) return done(stored, std::nullopt);
    MakePlan(stored.value().change, [reason, done](const Result<Plan>& fresh) {
      if (fresh) return done(reason, fresh.value());
      Error error = reason;
      error.message += "; no new plan is possible: " + fresh.error().message;
      error.remedy = fresh.error().remedy;
      done(error, std::nullopt);
    });
  });
}

}  // namespace sapphirewheel
