#include <boost/json/serialize.hpp>
#include <string>
#include <utility>

#include "attempt_id.h"
#include "sapphirewheel/coordination/config_log.h"
#include "sapphirewheel/state/schema.h"

namespace sapphirewheel {
namespace {

// Number of lost races for the head after which an append fails; in each race another append won.
constexpr int kMaxRaces = 100;
// Number of times that a transaction is sent while its outcome is uncertain.
constexpr int kMaxSends = 3;

Error Overloaded() {
  return Error{ErrorKind::kOverloaded, "too many configuration changes are queued on this daemon",
               "retry later", RunState::kNotRun, Millis(1000)};
}

Error Contended() {
  return Error{ErrorKind::kConflict, "other configuration changes were committed first each time",
               "confirm again", RunState::kNotRun, Millis(1000)};
}

Error Outdated() {
  return Error{ErrorKind::kPlanOutdated, "a row that the change depends on was modified",
               "review and confirm the new plan", RunState::kNotRun, std::nullopt};
}

Error Unavailable() {
  return Error{ErrorKind::kPlatformUnavailable, "the platform's table service is unavailable",
               "retry later; nothing was changed", RunState::kNotRun, Millis(1000)};
}

Error OutcomeUnknown() {
  return Error{ErrorKind::kOutcomeUnknown,
               "the platform did not report whether the change took effect",
               "read the plan again later", RunState::kUnknown, Millis(1000)};
}

std::string HeadValue(ConfigVersion version) {
  return boost::json::serialize(boost::json::object{{"version", version.count()}});
}

const Row* FindRow(const std::vector<Row>& rows, const RowKey& key) {
  for (const Row& row : rows) {
    if (row.key == key) return &row;
  }
  return nullptr;
}

}  // namespace

void ConfigLog::Append(PlanId plan, ConfigChange change, Precondition precondition,
                       std::vector<RowCheck> checks, std::vector<RowWrite> writes,
                       AppendCallback done) {
  AppendWith(
      std::move(plan), std::move(change), std::move(precondition), std::move(checks),
      [writes = std::move(writes)](ConfigVersion) { return writes; }, std::move(done));
}

void ConfigLog::AppendWith(PlanId plan, ConfigChange change, Precondition precondition,
                           std::vector<RowCheck> checks, WriteSource writes, AppendCallback done) {
  if (appends_.size() >= settings_.max_waiting_appends) return done(Overloaded());
  appends_.push_back(PendingAppend{std::move(plan), std::move(change), std::move(precondition),
                                   std::move(checks), std::move(writes), std::move(done), 0});
  StartNextAppend();
}

void ConfigLog::StartNextAppend() {
  if (appending_ || appends_.empty()) return;
  appending_ = true;
  PrepareAppend();
}

void ConfigLog::PrepareAppend() {
  CatchUp([this](const Result<Head>& head) {
    if (!head) return FinishAppend(head.error());
    PendingAppend& append = appends_.front();
    if (config_.version != head.value().version) {
      // A peer delivered a newer entry while the head was being read.
      if (++append.races > kMaxRaces) return FinishAppend(Contended());
      return PrepareAppend();
    }
    if (append.precondition) {
      if (auto allowed = append.precondition(config_); !allowed) {
        return FinishAppend(allowed.error());
      }
    }
    const ConfigVersion next(config_.version.count() + 1);
    auto attempt = std::make_shared<AppendAttempt>();
    attempt->entry = ConfigEntry{next, append.plan, append.change};
    attempt->head_revision = head.value().revision;
    Transaction& transaction = attempt->transaction;
    transaction.attempt = NewAttemptId(hooks_.random);
    transaction.checks = append.checks;
    transaction.checks.push_back({schema::ConfigHead(), head.value().revision});
    transaction.writes = append.writes(next);
    transaction.writes.push_back({schema::ConfigRow(next), EncodeEntry(attempt->entry)});
    transaction.writes.push_back({schema::ConfigHead(), HeadValue(next)});
    SendAppend(attempt);
  });
}

void ConfigLog::SendAppend(const std::shared_ptr<AppendAttempt>& attempt) {
  attempt->sent = hooks_.clock();
  ++attempt->sends;
  hooks_.table.transact(attempt->transaction, [this, attempt](const TransactResult& result) {
    OnAppendResult(attempt, result);
  });
}

void ConfigLog::OnAppendResult(const std::shared_ptr<AppendAttempt>& attempt,
                               const TransactResult& result) {
  switch (result.outcome) {
    case TransactOutcome::kCommitted:
      if (attempt->entry.version.count() == config_.version.count() + 1) {
        Apply(attempt->entry);
        // The commit proves that the head was at this version after the transaction was sent.
        NotePlatformAsOf(attempt->sent);
      }
      return FinishAppend(attempt->entry.version);
    case TransactOutcome::kConflict:
      return OnAppendConflict(*attempt, result);
    case TransactOutcome::kUnavailable:
      // An earlier delivery may have taken effect.
      if (attempt->sends == 1) return FinishAppend(Unavailable());
      [[fallthrough]];
    case TransactOutcome::kUncertain:
      if (attempt->sends < kMaxSends) return SendAppend(attempt);
      return FinishAppend(OutcomeUnknown());
  }
}

// A conflict also settles earlier uncertain deliveries: revisions only increase, so a check that
// has failed once cannot succeed later.
void ConfigLog::OnAppendConflict(const AppendAttempt& attempt, const TransactResult& result) {
  const Row* entry = FindRow(result.current, schema::ConfigRow(attempt.entry.version));
  if (entry != nullptr && entry->attempt == attempt.transaction.attempt) {
    if (attempt.entry.version.count() == config_.version.count() + 1) Apply(attempt.entry);
    return FinishAppend(attempt.entry.version);
  }
  const Row* head = FindRow(result.current, schema::ConfigHead());
  if (head != nullptr && head->revision == attempt.head_revision) return FinishAppend(Outdated());
  if (++appends_.front().races > kMaxRaces) return FinishAppend(Contended());
  PrepareAppend();
}

void ConfigLog::FinishAppend(Result<ConfigVersion> result) {
  AppendCallback done = std::move(appends_.front().done);
  appends_.pop_front();
  appending_ = false;
  done(std::move(result));
  StartNextAppend();
}

}  // namespace sapphirewheel
