#include "sapphirewheel/coordination/claim_log.h"

#include <algorithm>
#include <cstddef>
#include <utility>

#include "claim_batch.h"
#include "sapphirewheel/coordination/rendezvous.h"
#include "sapphirewheel/state/schema.h"

namespace sapphirewheel {
namespace {

// The table accepts values of up to 64 KiB; the difference is reserved for the surrounding JSON.
constexpr std::size_t kMaxBatchBytes = std::size_t{60} * 1024;

ClaimReply Reply(ClaimVerdict verdict, std::string message) {
  ClaimReply reply;
  reply.verdict = verdict;
  reply.message = std::move(message);
  return reply;
}

}  // namespace

ClaimLog::ClaimLog(Settings settings, Hooks hooks)
    : settings_(std::move(settings)), hooks_(std::move(hooks)) {
  ranges_.resize(static_cast<std::size_t>(settings_.ranges));
  for (Range& range : ranges_) range.interval = settings_.group_interval;
}

int ClaimLog::RangeOf(const ClaimKey& key) const {
  const std::uint64_t h = StableHash(key.team.str() + '\n' + key.request.str());
  return static_cast<int>(h % static_cast<std::uint64_t>(settings_.ranges));
}

NodeId ClaimLog::OwnerOfRange(int n) const {
  return RendezvousOwner("range-" + std::to_string(n), nodes_);
}

NodeId ClaimLog::OwnerOf(const ClaimKey& key) const { return OwnerOfRange(RangeOf(key)); }

AttemptId ClaimLog::NewAttemptId() const {
  return AttemptId(settings_.self.str() + "/" + schema::PaddedNumber(hooks_.random()));
}

void ClaimLog::Tick(MonotonicTime) {
  for (int n = 0; n < settings_.ranges; ++n) StepRange(n);
  CheckDrained();
}

void ClaimLog::Claim(const ClaimKey& key, const NodeId& claimant, ClaimCallback done) {
  const int n = RangeOf(key);
  Range& range = ranges_[static_cast<std::size_t>(n)];
  if (range.phase != RangePhase::kOwned || draining_) {
    return done(
        Reply(ClaimVerdict::kRefused, "this node does not own the claim range of the request"));
  }
  const auto it = range.claims.find(key);
  if (it != range.claims.end()) {
    ClaimReply reply = Reply(ClaimVerdict::kDuplicate, "the request has already been claimed");
    reply.done = it->second.outcome == ClaimOutcome::kDone;
    reply.answer = it->second.response;
    return done(std::move(reply));
  }
  if (waiting_ >= settings_.max_waiting) {
    return done(Reply(ClaimVerdict::kRefused, "too many claims are waiting to be recorded"));
  }
  const bool replaces = std::erase(range.released, key) > 0;
  range.claims[key].claimant = claimant;
  range.waiting.push_back({key, claimant, std::move(done), replaces});
  ++waiting_;
  StepRange(n);
}

void ClaimLog::RecordOutcome(const ClaimKey& key, const NodeId& claimant, ClaimOutcome outcome,
                             std::optional<CachedResponse> response) {
  Range& range = ranges_[static_cast<std::size_t>(RangeOf(key))];
  const auto it = range.claims.find(key);
  if (it == range.claims.end() || it->second.row.empty()) return;
  ClaimState& state = it->second;
  if (state.claimant != claimant || state.outcome == ClaimOutcome::kDone) return;
  if (outcome == ClaimOutcome::kReleased) {
    range.claims.erase(it);
    range.released.push_back(key);
    return;
  }
  state.outcome = outcome;
  if (response) CacheResponse(key, state, *std::move(response));
}

void ClaimLog::CacheResponse(const ClaimKey& key, ClaimState& state, CachedResponse response) {
  if (response.body.size() > settings_.max_cached_response_bytes) return;
  DropCachedResponse(state);
  cache_bytes_ += response.body.size();
  state.response = std::move(response);
  cache_order_.push_back(key);
  while (cache_bytes_ > settings_.max_cache_bytes && !cache_order_.empty()) {
    const ClaimKey oldest = cache_order_.front();
    cache_order_.pop_front();
    Range& range = ranges_[static_cast<std::size_t>(RangeOf(oldest))];
    const auto it = range.claims.find(oldest);
    if (it != range.claims.end()) DropCachedResponse(it->second);
  }
}

void ClaimLog::DropCachedResponse(ClaimState& state) {
  if (!state.response) return;
  cache_bytes_ -= state.response->body.size();
  state.response.reset();
}

// Commits waiting claims when due. Recording releases and deleting expired batches are less urgent:
// they wait until the last commit is `takeover_retry` ago.
void ClaimLog::StepOwned(int n) {
  Range& range = ranges_[static_cast<std::size_t>(n)];
  const Millis since = hooks_.clock() - range.last_commit;
  const bool full = range.waiting.size() >= settings_.max_batch;
  if (!range.waiting.empty() && (full || since >= range.interval)) return Commit(n);
  if (since < settings_.takeover_retry) return;
  if (!range.released.empty()) return Commit(n);
  DeleteOldBatches(n);
}

// Moves as many releases and waiting claims as fit into the next batch; returns its encoded value.
std::string ClaimLog::TakeBatch(Range& range) {
  internal::ClaimBatch batch;
  batch.at = RangeTime(range);
  std::size_t bytes = 0;
  std::size_t n = 0;
  for (; n < range.released.size() && n < settings_.max_batch; ++n) {
    bytes += internal::EntryBytes(range.released[n], NodeId());
    if (bytes > kMaxBatchBytes) break;
    batch.released.push_back(range.released[n]);
  }
  range.released_in_flight = batch.released;
  range.released.erase(range.released.begin(),
                       range.released.begin() + static_cast<std::ptrdiff_t>(n));
  for (n = 0; n < range.waiting.size() && n < settings_.max_batch; ++n) {
    const PendingClaim& it = range.waiting[n];
    bytes += internal::EntryBytes(it.key, it.claimant);
    if (bytes > kMaxBatchBytes) break;
    batch.claims.emplace_back(it.key, it.claimant);
  }
  const auto end = range.waiting.begin() + static_cast<std::ptrdiff_t>(n);
  range.in_flight.assign(std::make_move_iterator(range.waiting.begin()),
                         std::make_move_iterator(end));
  range.waiting.erase(range.waiting.begin(), end);
  return EncodeBatch(batch);
}

// Commits a batch. The check of the range row fails once another node has taken over the range.
void ClaimLog::Commit(int n) {
  Range& range = ranges_[static_cast<std::size_t>(n)];
  range.busy = true;
  range.last_commit = hooks_.clock();
  const RowKey row = schema::ClaimRow(n, range.epoch, ++range.sequence);
  Transaction transaction;
  transaction.attempt = NewAttemptId();
  transaction.checks = {{schema::RangeRow(n), range.revision}, {row, Revision(0)}};
  transaction.writes = {{row, TakeBatch(range)}};
  hooks_.table.transact(
      transaction, [this, n, row, attempt = transaction.attempt](const TransactResult& result) {
        OnCommitted(n, row, attempt, result);
      });
}

void ClaimLog::OnCommitted(int n, const RowKey& row, const AttemptId& attempt,
                           const TransactResult& result) {
  Range& range = ranges_[static_cast<std::size_t>(n)];
  range.busy = false;
  bool committed = result.outcome == TransactOutcome::kCommitted;
  for (const Row& it : result.current) {
    committed = committed || (it.key == row && it.attempt == attempt);
  }
  Replies replies;
  if (committed) {
    range.interval = std::max(settings_.group_interval, range.interval / 2);
    FinishBatch(range, row, replies);
  } else if (result.outcome == TransactOutcome::kUnavailable) {
    range.interval = std::min(settings_.takeover_retry, range.interval * 2);
    DropBatch(range, false, replies);
  } else if (result.outcome == TransactOutcome::kUncertain) {
    // The transaction may still take effect later. Taking the range over again raises the epoch,
    // which makes a late delivery fail; the reload finds the claims if it has already committed.
    DropBatch(range, true, replies);
    RefuseWaiting(range, "the claim range is being reloaded", replies);
    range.phase = RangePhase::kTakingOver;
  } else {
    DropBatch(range, false, replies);
    RefuseWaiting(range, "another node has taken over the claim range", replies);
    OnLost(range);
  }
  for (auto& [done, reply] : replies) done(std::move(reply));
  StepRange(n);
  CheckDrained();
}

void ClaimLog::FinishBatch(Range& range, const RowKey& row, Replies& replies) {
  BatchInfo& info = range.batches[row.key];
  info.recorded_at = RangeTime(range);
  for (PendingClaim& it : range.in_flight) {
    range.claims[it.key].row = row.key;
    info.keys.push_back(it.key);
    replies.emplace_back(std::move(it.done), Reply(ClaimVerdict::kGranted, ""));
  }
  waiting_ -= range.in_flight.size();
  range.in_flight.clear();
  range.released_in_flight.clear();
}

// Discards the claims of a batch that was not recorded, or whose outcome is uncertain, and puts its
// releases back into the list of releases to record.
void ClaimLog::DropBatch(Range& range, bool uncertain, Replies& replies) {
  for (const ClaimKey& key : range.released_in_flight) {
    // A waiting claim of the same key cancels the release, which must not be recorded after it.
    const auto it =
        std::find_if(range.waiting.begin(), range.waiting.end(),
                     [&key](const PendingClaim& waiting) { return waiting.key == key; });
    if (it == range.waiting.end()) {
      range.released.push_back(key);
    } else {
      it->replaces_release = true;
    }
  }
  range.released_in_flight.clear();
  for (PendingClaim& it : range.in_flight) {
    range.claims.erase(it.key);
    if (it.replaces_release && !uncertain) range.released.push_back(it.key);
    replies.emplace_back(std::move(it.done),
                         uncertain
                             ? Reply(ClaimVerdict::kUncertain, "the claim may have been recorded")
                             : Reply(ClaimVerdict::kRefused, "the claim could not be recorded"));
  }
  waiting_ -= range.in_flight.size();
  range.in_flight.clear();
}

void ClaimLog::RefuseWaiting(Range& range, const std::string& message, Replies& replies) {
  for (PendingClaim& it : range.waiting) {
    range.claims.erase(it.key);
    if (it.replaces_release) range.released.push_back(it.key);
    replies.emplace_back(std::move(it.done), Reply(ClaimVerdict::kRefused, message));
  }
  waiting_ -= range.waiting.size();
  range.waiting.clear();
}

void ClaimLog::Drain(std::function<void()> done) {
  draining_ = true;
  drain_callbacks_.push_back(std::move(done));
  for (int n = 0; n < settings_.ranges; ++n) StepRange(n);
  CheckDrained();
}

void ClaimLog::CheckDrained() {
  if (drain_callbacks_.empty()) return;
  for (const Range& range : ranges_) {
    if (range.busy || range.phase != RangePhase::kNotOwned) return;
  }
  std::vector<std::function<void()>> done;
  done.swap(drain_callbacks_);
  for (const auto& callback : done) callback();
}

}  // namespace sapphirewheel
