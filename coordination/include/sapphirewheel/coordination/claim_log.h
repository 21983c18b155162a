#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "sapphirewheel/coordination/clock_and_random.h"
#include "sapphirewheel/state/ids.h"
#include "sapphirewheel/state/table.h"

namespace sapphirewheel {

struct ClaimKey {
  TeamId team;
  RequestId request;
  auto operator<=>(const ClaimKey&) const = default;
};

// An answer that is kept to serve a repeated request.
struct CachedResponse {
  int status = 200;
  std::string content_type;
  std::string body;
};

enum class ClaimVerdict { kGranted, kDuplicate, kRefused, kUncertain };

struct ClaimReply {
  ClaimVerdict verdict = ClaimVerdict::kRefused;
  // For a duplicate: whether the first attempt is known to have ended.
  bool done = false;
  std::optional<CachedResponse> answer;
  std::string message;
};

enum class ClaimOutcome { kUnknown, kDone, kReleased };

// Claims of requests that may not be repeated. Each range of the key space has one owner, fenced by
// an epoch in its row; the owner records claims by group commit before they are dispatched.
class ClaimLog {
 public:
  struct Settings {
    NodeId self;
    // The same at all nodes of a fleet, or one key would have two owners.
    int ranges = 16;
    // Time between two commits of a range: 16 ranges write at most 200 rows a second, half of what
    // the platform takes. The first claim after a pause is committed at once.
    Millis group_interval{80};
    std::size_t max_batch = 500;
    // Claims waiting for a commit; more are refused.
    std::size_t max_waiting = 5000;
    Millis takeover_retry{500};
    // Claims are kept for this long; a caller may not reuse an Idempotency-Key within it.
    Millis retention{24 * 3600 * 1000};
    std::size_t max_cached_response_bytes = std::size_t{64} * 1024;
    std::size_t max_cache_bytes = std::size_t{16} * 1024 * 1024;
  };
  struct Hooks {
    TableHooks table;
    RandomSource random;
    Clock clock;
  };
  using ClaimCallback = std::function<void(ClaimReply)>;

  ClaimLog(Settings settings, Hooks hooks);

  // Live nodes of the fleet; decides by rendezvous hashing who should own each range. Ranges that
  // this node should own are taken over; those it should not own are released.
  void OnLiveNodes(const std::vector<NodeId>& nodes);
  void Tick(MonotonicTime now);

  [[nodiscard]] int RangeOf(const ClaimKey& key) const;
  // The node that should own the key's range; empty when no node is live.
  [[nodiscard]] NodeId OwnerOf(const ClaimKey& key) const;

  // Records a claim, at the owner. Refused when this node does not own the range (yet), and then
  // surely not recorded. Uncertain: it may have been recorded; the request must not be dispatched.
  void Claim(const ClaimKey& key, const NodeId& claimant, ClaimCallback done);
  // How a granted claim ended, at the owner; ignored where the claim is not known. A released claim
  // may be claimed again, so kReleased must reach the owner at most once a granted claim, and never
  // for one that was answered kUncertain: a late copy would release the next claim of that
  // claimant.
  void RecordOutcome(const ClaimKey& key, const NodeId& claimant, ClaimOutcome outcome,
                     std::optional<CachedResponse> answer);

  // Stops accepting claims, finishes the commits under way and releases all ranges.
  void Drain(std::function<void()> done);

 private:
  struct ClaimState {
    NodeId claimant;
    ClaimOutcome outcome = ClaimOutcome::kUnknown;
    // Key of the row that records it; empty until it is committed.
    std::string row;
    std::optional<CachedResponse> answer;
  };
  struct Waiting {
    ClaimKey key;
    NodeId claimant;
    ClaimCallback done;
    // It replaces a release that is not recorded yet.
    bool replaces_release = false;
  };
  // A recorded batch: its time on the range's clock, for the retention, and its claims.
  struct BatchInfo {
    Millis at{0};
    std::vector<ClaimKey> keys;
  };
  enum class RangePhase { kNotOwned, kTakingOver, kLoading, kOwned, kReleasing };
  struct Range {
    RangePhase phase = RangePhase::kNotOwned;
    // This node is the preferred owner.
    bool wanted = false;
    // A call to the table is under way.
    bool busy = false;
    Epoch epoch;
    Revision revision;
    std::uint64_t sequence = 0;
    // Times the range was lost in a row, as the factor of the delay before it is taken back.
    int losses = 1;
    MonotonicTime last_lost{};
    MonotonicTime next_try{};
    MonotonicTime last_commit{};
    // Time between commits; grows while the table refuses writes.
    Millis interval{0};
    // The range's clock: `at_base` at the local time `at_start`. It runs only while the range is
    // owned, so that claims are kept at least as long as promised without a common clock.
    Millis at_base{0};
    MonotonicTime at_start{};
    std::map<ClaimKey, ClaimState> claims;
    std::map<std::string, BatchInfo> batches;
    // Claims as the scan of a new owner found them so far.
    std::map<ClaimKey, ClaimState> loaded;
    std::string load_from;
    std::vector<Waiting> waiting;
    std::vector<Waiting> in_flight;
    // Releases that are not recorded yet, and those in the transaction under way.
    std::vector<ClaimKey> released;
    std::vector<ClaimKey> released_in_flight;
  };
  // Replies that are sent once the state is consistent, because they may call back into this class.
  using Replies = std::vector<std::pair<ClaimCallback, ClaimReply>>;

  [[nodiscard]] NodeId OwnerOfRange(int n) const;
  [[nodiscard]] Millis RangeTime(const Range& range) const;
  [[nodiscard]] std::string RangeValue(const Range& range, bool owned) const;
  [[nodiscard]] AttemptId NewAttemptId() const;
  void StepRange(int n);
  void StepOwned(int n);
  void ReadRange(int n);
  void TakeOver(int n, const Row& row);
  void OnTakenOver(int n, const TransactResult& result);
  void LoadNext(int n);
  void OnLoaded(int n, const Result<std::vector<Row>>& rows);
  [[nodiscard]] bool LoadBatch(Range& range, const Row& row);
  void FinishLoading(Range& range);
  void ReleaseRange(int n);
  void Commit(int n);
  [[nodiscard]] std::string TakeBatch(Range& range);
  void OnCommitted(int n, const RowKey& row, const AttemptId& attempt,
                   const TransactResult& result);
  void FinishBatch(Range& range, const RowKey& row, Replies& replies);
  void DropBatch(Range& range, bool uncertain, Replies& replies);
  void RefuseWaiting(Range& range, const std::string& message, Replies& replies);
  void DeleteOldBatches(int n);
  void EraseBatch(Range& range, const std::string& row);
  void Forget(Range& range);
  void KeepAnswer(const ClaimKey& key, ClaimState& state, CachedResponse answer);
  void DropAnswer(ClaimState& state);
  void OnLost(Range& range);
  void Backoff(Range& range, int factor);
  void CheckDrained();

  Settings settings_;
  Hooks hooks_;
  bool draining_ = false;
  std::vector<NodeId> nodes_;
  std::vector<Range> ranges_;
  std::size_t waiting_ = 0;
  std::size_t kept_bytes_ = 0;
  std::deque<ClaimKey> kept_order_;
  std::vector<std::function<void()>> drained_;
};

}  // namespace sapphirewheel
