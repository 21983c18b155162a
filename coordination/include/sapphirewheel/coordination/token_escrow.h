#pragma once

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sapphirewheel/coordination/clock_and_random.h"
#include "sapphirewheel/state/fleet_config.h"
#include "sapphirewheel/state/table.h"

namespace sapphirewheel {

// Enforces the teams' upper limits by escrow: a team's limit is divided into tokens, which are
// either free or held by a node. A running task uses one token per slot. Tokens move only by
// transactions at the platform, so that the sum of free and held tokens always equals the limit.
class TokenEscrow {
 public:
  struct Settings {
    NodeId self;
    // Surplus idle tokens are returned after this time.
    Millis idle_return{2000};
    Millis retry_interval{200};
    // Maximum fraction of the free tokens taken by one acquisition, so that some are left for other
    // nodes.
    double max_fraction = 0.5;
  };
  struct Hooks {
    TableHooks table;
    RandomSource random;
    Clock clock;
    // Called when more tokens of a team became usable at this node, so that waiting work is
    // retried.
    std::function<void(const TeamId&)> available;
  };

  TokenEscrow(Settings settings, Hooks hooks);

  // Applies changed limits. The first node that applies a version adjusts the free tokens to it;
  // the row stores the version of its limit, so that this happens once per version.
  void OnConfig(const FleetConfig& config);
  void Tick(MonotonicTime now);

  // Takes tokens for a task. Returns false if this node holds too few, and then requests more.
  [[nodiscard]] bool TryTake(const TeamId& team, Slots slots);
  // Releases the tokens of an ended task; this node keeps holding them as idle tokens.
  void Release(const TeamId& team, Slots slots);

  // Tokens that this node holds, used ones included.
  [[nodiscard]] Slots Held(const TeamId& team) const;
  // Tokens of this node that a task may take now.
  [[nodiscard]] Slots Free(const TeamId& team) const;

  // Returns all idle tokens and stops acquiring; calls `done` when this is settled in the rows.
  // Tokens of running tasks stay until they are released.
  void Drain(std::function<void()> done);
  // Moves the tokens of a fenced node to the free row. Call this only after NodeFencer reported
  // completion and the member row is marked as fenced. Repeated and concurrent calls, also on
  // several nodes, are safe. It is retried until it succeeds, so `done` never receives an error; if
  // this node stops first, the reclaim stays incomplete.
  void Reclaim(const NodeId& node, DoneCallback done);

 private:
  struct TeamState {
    // The limit in this node's configuration, and the version that set it.
    Slots limit;
    ConfigVersion limit_version;
    // The free row as last read.
    Slots free;
    Slots row_limit;
    ConfigVersion row_version;
    Revision free_revision;
    bool last_writer_is_self = false;
    bool rows_known = false;
    // Tokens that this node holds whether or not a pending transaction commits.
    Slots held;
    Revision held_revision;
    // Tokens of running tasks; at most `held`.
    Slots used;
    // Slots of the largest and the smallest refused task; 0 if none is waiting.
    Slots max_requested;
    Slots min_requested;
    MonotonicTime requested_until{};
    // Tokens to acquire at once; doubles if acquisitions follow each other closely, and halves when
    // there is a surplus.
    Slots chunk{1};
    MonotonicTime last_acquired{};
    // Minimum number of idle tokens in the current window, and the surplus found in the previous
    // one.
    Slots min_idle;
    Slots surplus;
    MonotonicTime window_start{};
    // A transaction whose outcome is not known yet, and whether it was sent more than once.
    std::optional<Transaction> pending;
    bool resent = false;
    bool busy = false;
    int failures = 0;
    MonotonicTime next_try{};
  };
  struct ReclaimState {
    std::vector<TeamId> teams;
    std::string scan_from;
    bool scanned = false;
    bool busy = false;
    MonotonicTime next_try{};
    std::vector<DoneCallback> done;
  };

  [[nodiscard]] static Slots Idle(const TeamState& state);
  [[nodiscard]] static Slots Usable(const TeamState& state);
  [[nodiscard]] Slots AcquireAmount(const TeamState& state) const;
  [[nodiscard]] AttemptId NewAttemptId() const;
  [[nodiscard]] bool IsOwnAttempt(const AttemptId& attempt) const;
  void Step(const TeamId& team, TeamState& state);
  void ReadRows(const TeamId& team, TeamState& state);
  void OnRows(const TeamId& team, const Result<std::vector<Row>>& rows);
  void ApplyRows(const TeamId& team, TeamState& state, const std::vector<Row>& rows, bool settled);
  void ApplyFreeRow(TeamState& state, const Row& row);
  void AdjustToLimit(const TeamId& team, TeamState& state);
  void MoveTokens(const TeamId& team, TeamState& state, Slots to_self);
  void Send(const TeamId& team, TeamState& state);
  void OnTransact(const TeamId& team, const TransactResult& result);
  void Backoff(TeamState& state);
  void UpdateSurplus(TeamState& state, MonotonicTime now);
  void CheckDrained();
  void StepReclaim(const NodeId& node);
  void OnReclaimScan(const NodeId& node, const Result<std::vector<Row>>& rows);
  void ReclaimTeam(const NodeId& node, const std::vector<Row>& rows);
  void RetryReclaim(const NodeId& node, bool at_once);

  Settings settings_;
  Hooks hooks_;
  bool draining_ = false;
  // This node's member row was marked as fenced or removed; the node must not acquire any tokens.
  bool fenced_ = false;
  Revision member_revision_;
  std::map<TeamId, TeamState> teams_;
  std::map<NodeId, ReclaimState> reclaims_;
  std::vector<std::function<void()>> drain_callbacks_;
};

}  // namespace sapphirewheel
