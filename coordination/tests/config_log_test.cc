#include "sapphirewheel/coordination/config_log.h"

#include <memory>
#include <set>
#include <string>

#include "fake_table.h"
#include "sapphirewheel/state/schema.h"

#include "CppUTest/TestHarness.h"

using namespace sapphirewheel;  // NOLINT(google-build-using-namespace)
using sapphirewheel::testing::FakeTable;

namespace {

ConfigChange Team(const std::string& name, std::int64_t limit) {
  return TeamChange{TeamId(name), Share(1), Slots(limit)};
}

ConfigLog::Settings SmallSettings() {
  ConfigLog::Settings settings;
  settings.snapshot_every = 10;
  settings.max_recent_entries = 5;
  settings.trim_batch = 4;
  return settings;
}

std::unique_ptr<ConfigLog> MakeLog(FakeTable& table, const std::string& client = "",
                                   std::function<void(const FleetConfig&)> changed = {}) {
  return std::make_unique<ConfigLog>(
      SmallSettings(),
      ConfigLog::Hooks{table.Hooks(client), table.random(), table.clock(), std::move(changed)});
}

Result<ConfigVersion> AppendAndWait(FakeTable& table, ConfigLog& log, const std::string& plan,
                                    std::vector<RowCheck> checks = {},
                                    std::vector<RowWrite> writes = {}) {
  std::optional<Result<ConfigVersion>> result;
  log.Append(PlanId(plan), Team("t", 1), {}, std::move(checks), std::move(writes),
             [&](const Result<ConfigVersion>& r) { result = r; });
  table.RunUntil([&] { return result.has_value(); });
  CHECK_TRUE(result.has_value());
  return *result;
}

void PullAndWait(FakeTable& table, ConfigLog& log) {
  log.PullNow(table.now());
  table.RunFor(Millis(100));
}

}  // namespace

// clang-format off
TEST_GROUP(ConfigLog) {
  FakeTable table;
};
// clang-format on

// Guards against an append that other daemons do not get by their pulls.
TEST(ConfigLog, OtherDaemonPullsAppendedEntry) {
  auto a = MakeLog(table);
  auto b = MakeLog(table);
  CHECK_TRUE(AppendAndWait(table, *a, "p1").has_value());
  CHECK_TRUE(a->version() == ConfigVersion(1));
  CHECK_FALSE(b->platform_as_of().has_value());
  const MonotonicTime asked = table.now();
  PullAndWait(table, *b);
  CHECK_TRUE(b->version() == ConfigVersion(1));
  CHECK_TRUE(b->platform_as_of() == asked);
}

// Guards against concurrent appends of which one is lost, or committed without checking its
// precondition again.
TEST(ConfigLog, RacingAppendsBothTakeEffect) {
  auto a = MakeLog(table);
  auto b = MakeLog(table);
  int checked = 0;
  std::vector<Result<ConfigVersion>> results;
  const auto note = [&](const Result<ConfigVersion>& r) { results.push_back(r); };
  const auto precondition = [&](const FleetConfig&) -> Result<void> {
    ++checked;
    return boost::outcome_v2::success();
  };
  a->Append(PlanId("a"), Team("a", 1), precondition, {}, {}, note);
  b->Append(PlanId("b"), Team("b", 1), precondition, {}, {}, note);
  table.RunUntil([&] { return results.size() == 2; });
  CHECK_EQUAL(2U, results.size());
  CHECK_TRUE(results[0].has_value() && results[1].has_value());
  CHECK_TRUE(results[0].value() != results[1].value());
  CHECK_EQUAL(3, checked);
}

// Guards against a change that is committed although a row that it depends on was modified.
TEST(ConfigLog, ModifiedRowIsPlanOutdated) {
  auto log = MakeLog(table);
  table.Put({"plans", "p"}, "x");
  auto result = AppendAndWait(table, *log, "p", {{{"plans", "p"}, Revision(0)}});
  CHECK_FALSE(result.has_value());
  CHECK_TRUE(result.error().kind == ErrorKind::kPlanOutdated);
  CHECK_TRUE(log->version() == ConfigVersion(0));
}

// Guards against an append that fails or is repeated because the reply to its transaction was lost.
TEST(ConfigLog, LostReplyIsSettledByTheAttemptId) {
  auto log = MakeLog(table);
  PullAndWait(table, *log);
  std::optional<Result<ConfigVersion>> result;
  log->Append(PlanId("p"), Team("t", 1), {}, {}, {},
              [&](const Result<ConfigVersion>& r) { result = r; });
  table.RunFor(Millis(2));
  table.set_faults({.lose_reply = 1});
  table.RunUntil([&] { return table.commits() == 1; });
  table.set_faults({});
  table.RunUntil([&] { return result.has_value(); });
  CHECK_TRUE(result && result->has_value());
  CHECK_EQUAL(1, table.commits());
  CHECK_TRUE(log->version() == ConfigVersion(1));
}

// Guards against an append that is reported as unknown although it did not run because of an
// outage.
TEST(ConfigLog, OutageIsNotRun) {
  auto log = MakeLog(table);
  table.SetOutage(true);
  auto result = AppendAndWait(table, *log, "p");
  CHECK_FALSE(result.has_value());
  CHECK_TRUE(result.error().kind == ErrorKind::kPlatformUnavailable);
  CHECK_TRUE(result.error().run == RunState::kNotRun);
}

// Guards against log rows that accumulate without limit, and against a daemon that cannot catch up
// after trimming.
TEST(ConfigLog, SnapshotReplacesTrimmedRows) {
  auto log = MakeLog(table);
  for (int i = 0; i < 100; ++i) {
    CHECK_TRUE(AppendAndWait(table, *log, "p" + std::to_string(i)).has_value());
    for (int j = 0; j < 20; ++j) PullAndWait(table, *log);
    const auto rows = table.Scan({schema::kConfig, "0", "1", 1000});
    CHECK_TRUE(rows.size() <= 20);
  }
  auto late = MakeLog(table);
  PullAndWait(table, *late);
  CHECK_TRUE(late->version() == ConfigVersion(100));
  CHECK_TRUE(EncodeConfig(late->config()) == EncodeConfig(log->config()));
}

// Guards against deltas that are applied twice, with gaps or in the wrong order.
TEST(ConfigLog, DeltasApplyInOrderOnly) {
  auto source = MakeLog(table);
  for (int i = 0; i < 4; ++i) CHECK_TRUE(AppendAndWait(table, *source, "p").has_value());
  auto target = MakeLog(table);
  CHECK_TRUE(target->OnDelta(source->DeltaAfter(ConfigVersion(2))) == ConfigVersion(0));
  CHECK_TRUE(target->OnDelta(source->DeltaAfter(ConfigVersion(0))) == ConfigVersion(4));
  CHECK_TRUE(target->OnDelta(source->DeltaAfter(ConfigVersion(1))) == ConfigVersion(4));
  CHECK_TRUE(source->DeltaAfter(ConfigVersion(4)).entries.empty());
  for (int i = 0; i < 4; ++i) CHECK_TRUE(AppendAndWait(table, *source, "p").has_value());
  // Only the latest 5 entries are kept in memory, so a peer at version 1 needs the snapshot.
  CHECK_TRUE(source->DeltaAfter(ConfigVersion(1)).snapshot.has_value());
  CHECK_FALSE(source->DeltaAfter(ConfigVersion(3)).snapshot.has_value());
  CHECK_TRUE(target->OnDelta(source->DeltaAfter(ConfigVersion(1))) == ConfigVersion(8));
}

// Guards against appends that accumulate without limit while the platform is slow.
TEST(ConfigLog, WaitingAppendsAreBounded) {
  auto log = MakeLog(table);
  int overloaded = 0;
  int committed = 0;
  for (int i = 0; i < 150; ++i) {
    log->Append(PlanId("p"), Team("t", i), {}, {}, {}, [&](const Result<ConfigVersion>& r) {
      if (r) ++committed;
      if (!r && r.error().kind == ErrorKind::kOverloaded) ++overloaded;
    });
  }
  CHECK_EQUAL(50, overloaded);
  table.RunUntil([&] { return committed == 100; });
  CHECK_EQUAL(100, committed);
}
