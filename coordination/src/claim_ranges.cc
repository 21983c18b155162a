#include <algorithm>
#include <boost/json/serialize.hpp>
#include <utility>

#include "claim_batch.h"
#include "sapphirewheel/coordination/claim_log.h"
#include "sapphirewheel/coordination/rendezvous.h"
#include "sapphirewheel/state/json.h"
#include "sapphirewheel/state/schema.h"

namespace sapphirewheel {
namespace {

// Maximum delay after repeated losses of a range, as a multiple of `takeover_retry`.
constexpr int kMaxLossFactor = 16;
// The table accepts at most 200 rows per transaction.
constexpr std::size_t kMaxDeletes = 150;

std::string RangePrefix(int n) { return schema::PaddedNumber(static_cast<std::uint64_t>(n)) + "/"; }

}  // namespace

Millis ClaimLog::RangeTime(const Range& range) const {
  return range.clock_base + (hooks_.clock() - range.clock_started);
}

std::string ClaimLog::RangeValue(const Range& range, bool owned) const {
  return boost::json::serialize(
      boost::json::object{{"owner", owned ? settings_.self.str() : ""},
                          {"epoch", range.epoch.count()},
                          {"at", (owned ? range.clock_base : RangeTime(range)).count()}});
}

void ClaimLog::OnLiveNodes(const std::vector<NodeId>& nodes) {
  if (nodes == nodes_) return;
  nodes_ = nodes;
  for (int n = 0; n < settings_.ranges; ++n) {
    Range& range = ranges_[static_cast<std::size_t>(n)];
    range.preferred = OwnerOfRange(n) == settings_.self;
    StepRange(n);
  }
}

// Advances the state machine of a range by one step, with at most one table call at a time.
void ClaimLog::StepRange(int n) {
  Range& range = ranges_[static_cast<std::size_t>(n)];
  if (range.busy || hooks_.clock() < range.next_try) return;
  const bool preferred = range.preferred && !draining_;
  switch (range.phase) {
    case RangePhase::kNotOwned:
      if (!preferred) return;
      range.phase = RangePhase::kTakingOver;
      return ReadRange(n);
    case RangePhase::kTakingOver:
      if (preferred) return ReadRange(n);
      range.phase = RangePhase::kNotOwned;
      return ClearRange(range);
    case RangePhase::kLoading:
      return preferred ? LoadNext(n) : ReleaseRange(n);
    case RangePhase::kOwned:
      return preferred ? StepOwned(n) : ReleaseRange(n);
    case RangePhase::kReleasing:
      return;
  }
}

void ClaimLog::ReadRange(int n) {
  ranges_[static_cast<std::size_t>(n)].busy = true;
  hooks_.table.read({schema::RangeRow(n)}, [this, n](const Result<std::vector<Row>>& rows) {
    Range& range = ranges_[static_cast<std::size_t>(n)];
    range.busy = false;
    if (!rows) return Backoff(range, 1);
    if (range.preferred && !draining_) return TakeOver(n, rows.value().front());
    StepRange(n);
  });
}

// Increments the epoch in the range row. After that no batch of an earlier epoch can commit,
// because each batch checks the revision of the range row.
void ClaimLog::TakeOver(int n, const Row& row) {
  Range& range = ranges_[static_cast<std::size_t>(n)];
  auto object = ParseObject(row.value);
  std::int64_t epoch = 0;
  Millis at{0};
  if (object) {
    epoch = IntField(object.value(), "epoch");
    at = Millis(IntField(object.value(), "at"));
  } else if (row.revision != Revision(0)) {
    return Backoff(range, 1);
  }
  // The claims in memory are valid only if no other node owned the range in the meantime.
  const bool continuous = range.revision != Revision(0) && row.revision == range.revision;
  if (continuous) at = std::max(at, RangeTime(range));
  if (!continuous) ClearRange(range);
  range.epoch = Epoch(static_cast<std::uint64_t>(epoch) + 1);
  range.clock_base = at;
  range.clock_started = hooks_.clock();
  range.busy = true;
  Transaction transaction;
  transaction.attempt = NewAttemptId();
  transaction.checks = {{row.key, row.revision}};
  transaction.writes = {{row.key, RangeValue(range, true)}};
  hooks_.table.transact(std::move(transaction),
                        [this, n](const TransactResult& result) { OnTakenOver(n, result); });
}

void ClaimLog::OnTakenOver(int n, const TransactResult& result) {
  Range& range = ranges_[static_cast<std::size_t>(n)];
  range.busy = false;
  if (result.outcome != TransactOutcome::kCommitted) {
    // The next attempt reads the row again and checks that revision, so at most one of the two
    // takes effect.
    Backoff(range, 1);
    return CheckDrained();
  }
  range.revision = result.revision;
  range.sequence = 0;
  range.phase = RangePhase::kLoading;
  range.loaded.clear();
  range.batches.clear();
  range.load_from = RangePrefix(n);
  StepRange(n);
}

void ClaimLog::LoadNext(int n) {
  Range& range = ranges_[static_cast<std::size_t>(n)];
  range.busy = true;
  hooks_.table.scan({schema::kClaims, range.load_from, schema::PrefixEnd(RangePrefix(n))},
                    [this, n](const Result<std::vector<Row>>& rows) { OnLoaded(n, rows); });
}

void ClaimLog::OnLoaded(int n, const Result<std::vector<Row>>& rows) {
  Range& range = ranges_[static_cast<std::size_t>(n)];
  range.busy = false;
  if (!rows) return Backoff(range, 1);
  for (const Row& row : rows.value()) {
    // Skipping an unreadable row could let a request run twice, so the range stays unavailable
    // until the row is repaired.
    if (!LoadBatch(range, row)) return Backoff(range, 1);
  }
  const ScanRequest defaults;
  if (rows.value().size() < static_cast<std::size_t>(defaults.limit)) {
    FinishLoading(range);
  } else {
    range.load_from = rows.value().back().key.key + "/";
  }
  StepRange(n);
}

bool ClaimLog::LoadBatch(Range& range, const Row& row) {
  auto batch = internal::DecodeBatch(row.value);
  if (!batch) return false;
  for (const ClaimKey& key : batch.value().released) range.loaded.erase(key);
  BatchInfo& info = range.batches[row.key.key];
  info.recorded_at = batch.value().at;
  info.keys.clear();
  for (const auto& [key, claimant] : batch.value().claims) {
    ClaimState& state = range.loaded[key];
    state.claimant = claimant;
    state.row = row.key.key;
    info.keys.push_back(key);
  }
  range.clock_base = std::max(range.clock_base, info.recorded_at);
  return true;
}

// Replaces the claims in memory by the loaded ones, keeping the known outcomes and cached
// responses.
void ClaimLog::FinishLoading(Range& range) {
  for (const ClaimKey& key : range.released) range.loaded.erase(key);
  for (auto& [key, known] : range.claims) {
    const auto it = range.loaded.find(key);
    if (it == range.loaded.end() || it->second.claimant != known.claimant) {
      DropCachedResponse(known);
      continue;
    }
    it->second.outcome = known.outcome;
    it->second.response = std::move(known.response);
  }
  range.claims = std::move(range.loaded);
  range.loaded.clear();
  range.clock_started = hooks_.clock();
  range.phase = RangePhase::kOwned;
}

// Gives up the range and records its outstanding releases in the same transaction. The outcome does
// not matter, because the next owner increments the epoch in any case.
void ClaimLog::ReleaseRange(int n) {
  Range& range = ranges_[static_cast<std::size_t>(n)];
  const bool loaded = range.phase == RangePhase::kOwned;
  range.phase = RangePhase::kReleasing;
  range.busy = true;
  Replies replies;
  RefuseWaiting(range, "the claim range is moving to another node", replies);
  Transaction transaction;
  transaction.attempt = NewAttemptId();
  transaction.checks = {{schema::RangeRow(n), range.revision}};
  transaction.writes = {{schema::RangeRow(n), RangeValue(range, false)}};
  if (loaded && !range.released.empty()) {
    const RowKey row = schema::ClaimRow(n, range.epoch, ++range.sequence);
    transaction.writes.push_back({row, TakeBatch(range)});
  }
  hooks_.table.transact(std::move(transaction), [this, n](const TransactResult&) {
    Range& released = ranges_[static_cast<std::size_t>(n)];
    released.busy = false;
    released.phase = RangePhase::kNotOwned;
    ClearRange(released);
    StepRange(n);
    CheckDrained();
  });
  for (auto& [done, reply] : replies) done(std::move(reply));
}

// Deletes batches older than the retention. The deletion is idempotent: unless the commit succeeds,
// a later step repeats it.
void ClaimLog::DeleteOldBatches(int n) {
  Range& range = ranges_[static_cast<std::size_t>(n)];
  const Millis oldest = RangeTime(range) - settings_.retention;
  Transaction transaction;
  std::vector<std::string> rows;
  for (const auto& [row, info] : range.batches) {
    if (info.recorded_at > oldest || rows.size() >= kMaxDeletes) break;
    rows.push_back(row);
    transaction.writes.push_back({{schema::kClaims, row}, std::nullopt});
  }
  if (rows.empty()) return;
  range.busy = true;
  range.last_commit = hooks_.clock();
  transaction.attempt = NewAttemptId();
  transaction.checks = {{schema::RangeRow(n), range.revision}};
  hooks_.table.transact(std::move(transaction), [this, n, rows](const TransactResult& result) {
    Range& current = ranges_[static_cast<std::size_t>(n)];
    current.busy = false;
    if (result.outcome == TransactOutcome::kCommitted) {
      for (const std::string& row : rows) EraseBatch(current, row);
    }
    StepRange(n);
    CheckDrained();
  });
}

void ClaimLog::EraseBatch(Range& range, const std::string& row) {
  const auto batch = range.batches.find(row);
  if (batch == range.batches.end()) return;
  for (const ClaimKey& key : batch->second.keys) {
    const auto it = range.claims.find(key);
    if (it == range.claims.end() || it->second.row != row) continue;
    DropCachedResponse(it->second);
    range.claims.erase(it);
  }
  range.batches.erase(batch);
}

void ClaimLog::ClearRange(Range& range) {
  for (auto& [key, state] : range.claims) DropCachedResponse(state);
  range.claims.clear();
  range.batches.clear();
  range.released.clear();
  range.released_in_flight.clear();
}

// Called when another node has taken over the range. Losing it again soon suggests that both nodes
// consider themselves the preferred owner, so each waits longer before it takes the range back.
void ClaimLog::OnLost(Range& range) {
  const MonotonicTime now = hooks_.clock();
  const bool soon = now - range.last_lost < settings_.takeover_retry * 2 * kMaxLossFactor;
  range.loss_factor = soon ? std::min(range.loss_factor * 2, kMaxLossFactor) : 1;
  range.last_lost = now;
  range.phase = RangePhase::kNotOwned;
  ClearRange(range);
  Backoff(range, range.loss_factor);
}

void ClaimLog::Backoff(Range& range, int factor) {
  const auto interval = static_cast<std::uint64_t>(settings_.takeover_retry.count()) *
                        static_cast<std::uint64_t>(factor);
  range.next_try = hooks_.clock() + Millis(interval / 2 + hooks_.random() % (interval / 2 + 1));
}

}  // namespace sapphirewheel
