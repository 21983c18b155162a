#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fake_table.h"
#include "sapphirewheel/coordination/config_log.h"
#include "sapphirewheel/state/json.h"
#include "sapphirewheel/state/schema.h"

#include "CppUTest/TestHarness.h"

using namespace sapphirewheel;  // NOLINT(google-build-using-namespace)
using sapphirewheel::testing::FakeTable;

namespace {

constexpr int kSchedules = 2000;
constexpr int kDaemons = 3;
constexpr int kSteps = 60;

// Several daemons that append to one table, pull from it and push deltas to each other, with random
// faults. Records the first violation as text, so that a failure can name its seed.
class Schedule {
 public:
  explicit Schedule(std::uint64_t seed) : seed_(seed), table_(seed) {
    table_.set_on_commit([this](const Transaction& t) { OnCommit(t); });
    head_history_.emplace_back(table_.now(), 0);
    for (int i = 0; i < kDaemons; ++i) AddDaemon(i);
  }

  std::string Run() {
    for (int step = 0; step < kSteps && failure_.empty(); ++step) RunStep();
    EndFaults();
    for (int round = 0; round < 40 && failure_.empty(); ++round) {
      for (auto& log : logs_) log->PullNow(table_.now());
      table_.RunFor(Millis(500));
    }
    CheckEnd();
    return failure_.empty() ? "" : "seed " + std::to_string(seed_) + ": " + failure_;
  }

 private:
  void AddDaemon(int i) {
    ConfigLog::Settings settings;
    settings.snapshot_every = 4;
    settings.max_recent_entries = 3;
    settings.trim_batch = 2;
    applied_.push_back(0);
    logs_.push_back(std::make_unique<ConfigLog>(
        settings,
        ConfigLog::Hooks{table_.Hooks(std::to_string(i)), table_.random(), table_.clock(),
                         [this, i](const FleetConfig& config) { OnChanged(i, config); }}));
  }

  void RunStep() {
    if (table_.Draw(4) == 0) SetRandomFaults();
    const auto from = static_cast<std::size_t>(table_.Draw(kDaemons));
    const auto to = static_cast<std::size_t>(table_.Draw(kDaemons));
    switch (table_.Draw(4)) {
      case 0:
        Append(from);
        break;
      case 1:
        Push(from, to);
        break;
      default:
        logs_[from]->Tick(table_.now());
    }
    table_.RunFor(Millis(static_cast<std::int64_t>(table_.Draw(300))));
    for (std::size_t i = 0; i < logs_.size(); ++i) CheckFreshness(*logs_[i]);
  }

  void SetRandomFaults() {
    const auto chance = [this] {
      return table_.Draw(2) == 0 ? 0.0 : static_cast<double>(table_.Draw(40)) / 100;
    };
    FakeTable::Faults faults{chance(), chance(), chance(), chance(), Millis(1), Millis(1)};
    faults.max_delay = Millis(1 + static_cast<std::int64_t>(table_.Draw(400)));
    table_.set_faults(faults);
    table_.SetOutage(table_.Draw(6) == 0);
    table_.SetDisconnected(std::to_string(table_.Draw(kDaemons)), table_.Draw(2) == 0);
  }

  void EndFaults() {
    table_.set_faults({});
    table_.SetOutage(false);
    for (int i = 0; i < kDaemons; ++i) table_.SetDisconnected(std::to_string(i), false);
  }

  void Append(std::size_t daemon) {
    const std::string plan = "p" + std::to_string(plans_++);
    logs_[daemon]->Append(PlanId(plan), TeamChange{TeamId("t"), Share(1), Slots(plans_)}, {}, {},
                          {}, [this, plan](const Result<ConfigVersion>& result) {
                            ++results_;
                            if (result) {
                              committed_versions_[plan] = result.value().count();
                            } else if (result.error().run == RunState::kNotRun) {
                              not_run_.insert(plan);
                            }
                          });
  }

  // Sends the delta that the receiver lacks or that follows a random version; late, twice or never.
  void Push(std::size_t from, std::size_t to) {
    const std::uint64_t after =
        table_.Draw(2) == 0 ? logs_[to]->version().count() : table_.Draw(12);
    const ConfigDelta delta = logs_[from]->DeltaAfter(ConfigVersion(after));
    for (std::uint64_t copy = table_.Draw(3); copy > 0; --copy) {
      table_.After(Millis(static_cast<std::int64_t>(table_.Draw(3000))),
                   [this, to, delta] { static_cast<void>(logs_[to]->OnDelta(delta)); });
    }
  }

  void OnCommit(const Transaction& t) {
    for (const RowWrite& write : t.writes) {
      if (write.key.table == schema::kConfigHead) {
        auto head = ParseObject(*write.value);
        const auto version = static_cast<std::uint64_t>(IntField(head.value(), "version"));
        if (version != head_history_.back().second + 1) Fail("the head skips a version");
        head_history_.emplace_back(table_.now(), version);
      }
      if (write.key.table != schema::kConfig || write.key.key == "snapshot" || !write.value)
        continue;
      auto entry = DecodeEntry(*write.value);
      committed_entries_[entry.value().version.count()] = entry.value();
    }
  }

  void OnChanged(int daemon, const FleetConfig& config) {
    auto& applied = applied_[static_cast<std::size_t>(daemon)];
    const std::uint64_t version = config.version.count();
    if (version <= applied) Fail("the version decreases or repeats");
    applied = version;
    // Each entry sets the limit of the same team, so that the value identifies the last applied
    // entry.
    const auto it = committed_entries_.find(version);
    if (it == committed_entries_.end()) return Fail("the applied version was never committed");
    if (config.teams.at(TeamId("t")).upper_limit !=
        std::get<TeamChange>(it->second.change).upper_limit) {
      Fail("the applied content differs from the log");
    }
    if (config.entity_versions.at("team/t") != ConfigVersion(version)) Fail("entries were skipped");
  }

  std::uint64_t HeadAt(MonotonicTime time) const {
    std::uint64_t head = 0;
    for (const auto& [committed, version] : head_history_) {
      if (committed < time) head = version;
    }
    return head;
  }

  void CheckFreshness(const ConfigLog& log) {
    if (log.platform_as_of() && HeadAt(*log.platform_as_of()) > log.version().count()) {
      Fail("reports freshness as of a time when the platform had a newer version");
    }
  }

  void CheckEnd() {
    const std::uint64_t head = head_history_.back().second;
    std::map<std::string, int> entries;
    for (const auto& [version, entry] : committed_entries_) ++entries[entry.plan.str()];
    for (const auto& log : logs_) {
      if (log->version().count() != head) Fail("a daemon did not reach the head");
    }
    if (results_ != plans_) Fail("an append got no result");
    for (const auto& [plan, n] : entries) {
      if (n != 1) Fail(plan + " was appended more than once");
      if (not_run_.contains(plan)) Fail(plan + " was reported as not run, but is in the log");
    }
    for (const auto& [plan, version] : committed_versions_) {
      if (committed_entries_.at(version).plan.str() != plan) {
        Fail(plan + " got the version of another change");
      }
    }
    if (table_.limit_violations() != 0) Fail("limits of the table service exceeded");
  }

  void Fail(const std::string& text) {
    if (failure_.empty()) failure_ = text;
  }

  std::uint64_t seed_;
  FakeTable table_;
  std::vector<std::unique_ptr<ConfigLog>> logs_;
  std::vector<std::uint64_t> applied_;
  std::map<std::uint64_t, ConfigEntry> committed_entries_;
  std::vector<std::pair<MonotonicTime, std::uint64_t>> head_history_;
  std::map<std::string, std::uint64_t> committed_versions_;
  std::set<std::string> not_run_;
  int plans_ = 0;
  int results_ = 0;
  std::string failure_;
};

}  // namespace

// clang-format off
TEST_GROUP(ConfigLogSchedules) {};
// clang-format on

// Guards against versions that decrease, skipped or repeated entries, wrong results of appends and
// wrong freshness, caused by reordered, duplicated, lost and late calls.
TEST(ConfigLogSchedules, InvariantsHold) {
  for (int seed = 1; seed <= kSchedules; ++seed) {
    const std::string failure = Schedule(static_cast<std::uint64_t>(seed)).Run();
    STRCMP_EQUAL("", failure.c_str());
  }
}
