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

// The response to a request, cached to answer repetitions of the request.
struct CachedResponse {
  int status = 200;
  std::string content_type;
  std::string body;
};

enum class ClaimVerdict { kGranted, kDuplicate, kRefused, kUncertain };

struct ClaimReply {
  ClaimVerdict verdict = ClaimVerdict::kRefused;
  // For a duplicate: whether the first request is known to have completed.
  bool done = false;
  std::optional<CachedResponse> answer;
  std::string message;
};

enum class ClaimOutcome { kUnknown, kDone, kReleased };

// Records claims of non-repeatable requests, so that each is dispatched at most once. The key space
// is split into ranges. Each range has one owner, fenced by an epoch in the range's row. The owner
// commits claims in batches (group commit) before the requests are dispatched.
class ClaimLog {
 public:
  struct Settings {
    NodeId self;
    // Must be equal on all nodes of a fleet; otherwise a key could have two owners.
    int ranges = 16;
    // Time between two commits of a range. With 16 ranges this is at most 200 rows per second, half
    // of the platform's write limit. The first claim after an idle period is committed immediately.
    Millis group_interval{80};
    std::size_t max_batch = 500;
    // Maximum number of claims that wait for a commit; further claims are refused.
    std::size_t max_waiting = 5000;
    Millis takeover_retry{500};
    // How long claims are kept. A caller must not reuse an Idempotency-Key within this time.
    Millis retention{24 * 3600 * 1000};
    // Larger response bodies are not cached.
    std::size_t max_cached_response_bytes = std::size_t{64} * 1024;
    // Total size of the cached response bodies; the oldest are evicted first.
    std::size_t max_cache_bytes = std::size_t{16} * 1024 * 1024;
  };
  struct Hooks {
    TableHooks table;
    RandomSource random;
    Clock clock;
  };
  using ClaimCallback = std::function<void(ClaimReply)>;

  ClaimLog(Settings settings, Hooks hooks);

  // Sets the live nodes of the fleet, from which rendezvous hashing selects the preferred owner of
  // each range. This node takes over the ranges it is preferred for and releases the others.
  void OnLiveNodes(const std::vector<NodeId>& nodes);
  void Tick(MonotonicTime now);

  [[nodiscard]] int RangeOf(const ClaimKey& key) const;
  // The preferred owner of the key's range; empty when no node is live.
  [[nodiscard]] NodeId OwnerOf(const ClaimKey& key) const;

  // Records a claim; call this on the owner. kRefused: the claim is not recorded, for example
  // because this node does not own the range (yet). kUncertain: the claim may have been recorded,
  // and the request must not be dispatched.
  void Claim(const ClaimKey& key, const NodeId& claimant, ClaimCallback done);
  // Records the outcome of a granted claim; call this on the owner. Ignored if the claim is
  // unknown. A released key can be claimed again. Therefore send kReleased at most once per granted
  // claim, and never after kUncertain: a late duplicate would release the claimant's next claim of
  // the key.
  void RecordOutcome(const ClaimKey& key, const NodeId& claimant, ClaimOutcome outcome,
                     std::optional<CachedResponse> response);

  // Stops accepting claims, completes pending commits and releases all ranges.
  void Drain(std::function<void()> done);

 private:
  struct ClaimState {
    NodeId claimant;
    ClaimOutcome outcome = ClaimOutcome::kUnknown;
    // Key of the row that records the claim; empty until the commit.
    std::string row;
    std::optional<CachedResponse> response;
  };
  struct PendingClaim {
    ClaimKey key;
    NodeId claimant;
    ClaimCallback done;
    // The claim cancels a release of the same key that has not been recorded yet.
    bool replaces_release = false;
  };
  struct BatchInfo {
    // Commit time on the range's clock, for the retention.
    Millis recorded_at{0};
    std::vector<ClaimKey> keys;
  };
  enum class RangePhase { kNotOwned, kTakingOver, kLoading, kOwned, kReleasing };
  struct Range {
    RangePhase phase = RangePhase::kNotOwned;
    // This node is the preferred owner.
    bool preferred = false;
    // A table call is in progress.
    bool busy = false;
    Epoch epoch;
    Revision revision;
    std::uint64_t sequence = 0;
    // Multiplier for the delay before the range is taken back; doubles with each loss that soon
    // follows the previous one.
    int loss_factor = 1;
    MonotonicTime last_lost{};
    MonotonicTime next_try{};
    MonotonicTime last_commit{};
    // Current time between commits; grows while the table is unavailable.
    Millis interval{0};
    // The range's clock shows `clock_base` at the local time `clock_started`. It runs only while
    // the range is owned, so that claims are kept for at least `retention` without synchronized
    // clocks.
    Millis clock_base{0};
    MonotonicTime clock_started{};
    std::map<ClaimKey, ClaimState> claims;
    std::map<std::string, BatchInfo> batches;
    // Claims that the scan after a takeover has found so far.
    std::map<ClaimKey, ClaimState> loaded;
    std::string load_from;
    std::vector<PendingClaim> waiting;
    std::vector<PendingClaim> in_flight;
    // Releases that are not recorded yet, and those in the current transaction.
    std::vector<ClaimKey> released;
    std::vector<ClaimKey> released_in_flight;
  };
  // Replies are sent only when the state is consistent, because callbacks may call this class
  // again.
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
  void ClearRange(Range& range);
  void CacheResponse(const ClaimKey& key, ClaimState& state, CachedResponse response);
  void DropCachedResponse(ClaimState& state);
  void OnLost(Range& range);
  void Backoff(Range& range, int factor);
  void CheckDrained();

  Settings settings_;
  Hooks hooks_;
  bool draining_ = false;
  std::vector<NodeId> nodes_;
  std::vector<Range> ranges_;
  std::size_t waiting_ = 0;
  std::size_t cache_bytes_ = 0;
  std::deque<ClaimKey> cache_order_;
  std::vector<std::function<void()>> drain_callbacks_;
};

}  // namespace sapphirewheel
