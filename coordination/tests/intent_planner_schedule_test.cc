#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fake_table.h"
#include "sapphirewheel/coordination/intent_planner.h"
#include "sapphirewheel/state/schema.h"

#include "CppUTest/TestHarness.h"

using namespace sapphirewheel;  // NOLINT(google-build-using-namespace)
using sapphirewheel::testing::FakeTable;

namespace {

constexpr int kSchedules = 1000;
constexpr int kSteps = 30;

// A random schedule in which operators plan and confirm the same changes at two daemons again and
// again, while answers are lost, calls are delayed and the pool planner moves VMs.
class Schedule {
 public:
  explicit Schedule(std::uint64_t seed) : seed_(seed), table_(seed) {
    for (const char* vm : {"w1", "w2"}) {
      VmInfo info;
      info.vm = VmId(vm);
      info.slots = Slots(8);
      inventory_.vms.vms.push_back(info);
    }
    table_.set_on_commit([this](const Transaction& t) { OnCommit(t); });
    for (int i = 0; i < 2; ++i) {
      logs_.push_back(std::make_unique<ConfigLog>(
          ConfigLog::Settings(),
          ConfigLog::Hooks{table_.Hooks(), table_.random(), table_.clock(), {}}));
      planners_.push_back(std::make_unique<IntentPlanner>(
          IntentPlanner::Hooks{table_.Hooks(), table_.random(), [this] { return inventory_; }},
          *logs_.back()));
    }
  }

  std::string Run() {
    for (const char* pool : {"p1", "p2"}) {
      PoolChange change;
      change.pool = PoolId(pool);
      Plan(change);
    }
    table_.RunFor(Millis(100));
    for (int step = 0; step < kSteps; ++step) RunStep();
    table_.set_faults({});
    table_.RunFor(Millis(10000));
    Check();
    return failure_.empty() ? "" : "seed " + std::to_string(seed_) + ": " + failure_;
  }

  [[nodiscard]] std::size_t confirmed() const noexcept { return confirmed_.size(); }

 private:
  void RunStep() {
    if (table_.Draw(5) == 0) DrawFaults();
    switch (table_.Draw(6)) {
      case 0:
        Plan(TeamChange{TeamId("t"), Share(1), Slots(static_cast<std::int64_t>(table_.Draw(9)))});
        break;
      case 1:
      case 2:
        Plan(VmPoolChange{VmId(table_.Draw(2) == 0 ? "w1" : "w2"),
                          PoolId(table_.Draw(2) == 0 ? "p1" : "p2")});
        break;
      case 3:
        logs_[table_.Draw(2)]->Tick(table_.now());
        if (table_.Draw(4) == 0) MoveByPlanner(VmId("w1"), PoolId("p1"));
        break;
      default:
        if (!plans_.empty()) Confirm(plans_[table_.Draw(plans_.size())]);
    }
    table_.RunFor(Millis(static_cast<std::int64_t>(table_.Draw(100))));
  }

  void DrawFaults() {
    const auto chance = [this] { return static_cast<double>(table_.Draw(30)) / 100; };
    table_.set_faults({chance(), chance(), chance(), chance(), Millis(1),
                       Millis(1 + static_cast<std::int64_t>(table_.Draw(100)))});
  }

  // Writes a VM's row as the pool planner does.
  void MoveByPlanner(const VmId& vm, const PoolId& pool) {
    const RowKey key = schema::VmRow(vm);
    VmAssignment assignment;
    assignment.pool = pool;
    table_.Put(key, EncodeAssignment(assignment));
    vm_rows_[key] = table_.Get(key);
  }

  // Checks that a confirmed plan replaces only the revision of a VM's row that it was computed on.
  void OnCommit(const Transaction& t) {
    std::map<std::string, ConfigVersion> basis;
    for (const RowWrite& write : t.writes) {
      if (write.key.table == schema::kPlans) basis = DecodePlan(*write.value).value().basis;
    }
    for (const RowWrite& write : t.writes) {
      if (write.key.table != schema::kVms) continue;
      if (basis.at("vms/" + write.key.key).count() != vm_rows_[write.key].revision.count()) {
        Fail("a plan replaced a row of a VM that it was not computed on");
      }
      vm_rows_[write.key] = table_.Get(write.key);
      ++vm_moves_;
    }
  }

  void Plan(const ConfigChange& change) {
    ++calls_;
    planners_[table_.Draw(2)]->MakePlan(change, [this](const Result<sapphirewheel::Plan>& plan) {
      ++replies_;
      if (!plan) return;
      plans_.push_back(plan.value().id);
      if (plans_.size() <= 2) Confirm(plan.value().id);
    });
  }

  void Confirm(const PlanId& id) {
    ++calls_;
    planners_[table_.Draw(2)]->Confirm(id,
                                       [this, id](const Result<sapphirewheel::Plan>& result,
                                                  const std::optional<sapphirewheel::Plan>& fresh) {
                                         ++replies_;
                                         if (fresh) plans_.push_back(fresh->id);
                                         if (result)
                                           confirmed_[id] = result.value().confirmed_version;
                                       });
  }

  void Check() {
    std::map<PlanId, ConfigVersion> in_log;
    for (const Row& row : table_.Scan({schema::kConfig, "0", "1", 1000})) {
      auto entry = DecodeEntry(row.value);
      if (in_log.contains(entry.value().plan)) Fail("a plan took effect twice");
      in_log[entry.value().plan] = entry.value().version;
      if (std::holds_alternative<VmPoolChange>(entry.value().change)) --vm_moves_;
    }
    if (vm_moves_ != 0) Fail("rows of VMs and log entries were not written together");
    for (const Row& row : table_.Scan({schema::kPlans, "", "", 1000})) {
      auto plan = DecodePlan(row.value);
      const bool confirmed = plan.value().state == PlanState::kConfirmed;
      if (confirmed != in_log.contains(plan.value().id)) Fail("plan row and log differ");
      if (confirmed && in_log[plan.value().id] != plan.value().confirmed_version) {
        Fail("plan row has another version than the log");
      }
    }
    for (const auto& [id, version] : confirmed_) {
      if (!in_log.contains(id) || in_log[id] != version) Fail("a confirmation was lost");
    }
    if (calls_ != replies_) Fail("an operator got no answer");
  }

  void Fail(const std::string& text) {
    if (failure_.empty()) failure_ = text;
  }

  std::uint64_t seed_;
  FakeTable table_;
  FleetInventory inventory_;
  std::vector<std::unique_ptr<ConfigLog>> logs_;
  std::vector<std::unique_ptr<IntentPlanner>> planners_;
  std::vector<PlanId> plans_;
  std::map<PlanId, ConfigVersion> confirmed_;
  std::map<RowKey, Row> vm_rows_;
  int vm_moves_ = 0;
  int calls_ = 0;
  int replies_ = 0;
  std::string failure_;
};

}  // namespace

// clang-format off
TEST_GROUP(IntentPlannerSchedules) {};
// clang-format on

// Guards against plans that take effect twice or partly when operators confirm them concurrently
// and answers are lost.
TEST(IntentPlannerSchedules, EachPlanTakesEffectAtMostOnce) {
  std::size_t confirmed = 0;
  for (int seed = 1; seed <= kSchedules; ++seed) {
    Schedule schedule(static_cast<std::uint64_t>(seed));
    const std::string failure = schedule.Run();
    STRCMP_EQUAL("", failure.c_str());
    confirmed += schedule.confirmed();
  }
  // Enough plans must be confirmed despite the faults, or else the checks prove nothing.
  CHECK_TRUE(confirmed > 3 * kSchedules);
}
