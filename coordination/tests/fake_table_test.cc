#include "fake_table.h"

#include <string>

#include "CppUTest/TestHarness.h"

using sapphirewheel::AttemptId;
using sapphirewheel::Revision;
using sapphirewheel::RowKey;
using sapphirewheel::Transaction;
using sapphirewheel::TransactOutcome;
using sapphirewheel::TransactResult;
using sapphirewheel::testing::FakeTable;

namespace {

Transaction PutIfAbsent(const RowKey& key, const std::string& attempt) {
  return Transaction{AttemptId(attempt), {{key, Revision(0)}}, {{key, attempt}}};
}

}  // namespace

// clang-format off
TEST_GROUP(FakeTable) {};
// clang-format on

// Guards against a fake table that commits a transaction whose check failed.
TEST(FakeTable, FailedCheckHasNoEffect) {
  FakeTable table;
  auto hooks = table.Hooks();
  const RowKey key{"t", "k"};
  table.Put(key, "old");
  TransactResult result;
  hooks.transact(PutIfAbsent(key, "a1"), [&](const TransactResult& r) { result = r; });
  table.RunFor(sapphirewheel::Millis(10));
  CHECK_TRUE(result.outcome == TransactOutcome::kConflict);
  CHECK_EQUAL(1U, result.current.size());
  STRCMP_EQUAL("old", table.Get(key).value.c_str());
}

// Guards against reporting a repeated delivery of a committed transaction as a conflict.
TEST(FakeTable, RepeatedAttemptIsCommitted) {
  FakeTable table(7, {.lose_reply = 1});
  auto hooks = table.Hooks();
  const RowKey key{"t", "k"};
  TransactResult result;
  hooks.transact(PutIfAbsent(key, "a1"), [&](const TransactResult& r) { result = r; });
  table.RunFor(sapphirewheel::Millis(10));
  CHECK_TRUE(result.outcome == TransactOutcome::kUncertain);
  table.set_faults({});
  hooks.transact(PutIfAbsent(key, "a1"), [&](const TransactResult& r) { result = r; });
  table.RunFor(sapphirewheel::Millis(10));
  CHECK_TRUE(result.outcome == TransactOutcome::kCommitted);
  CHECK_EQUAL(1, table.commits());
}

// Guards against calls of a disconnected client that take effect.
TEST(FakeTable, DisconnectedClientHasNoEffect) {
  FakeTable table;
  auto hooks = table.Hooks("a");
  table.SetDisconnected("a", true);
  TransactResult result;
  hooks.transact(PutIfAbsent({"t", "k"}, "a1"), [&](const TransactResult& r) { result = r; });
  table.RunFor(sapphirewheel::Millis(10));
  CHECK_TRUE(result.outcome == TransactOutcome::kUnavailable);
  CHECK_TRUE(table.Get({"t", "k"}).revision == Revision(0));
}
