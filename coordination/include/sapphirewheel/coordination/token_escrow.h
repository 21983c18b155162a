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

// Upper limits by escrow: a team's limit is divided into tokens that nodes hold; a running task
// holds one token a slot. Tokens move only by transactions at the platform, so that the sum of free
// and held tokens is the limit at any time.
class TokenEscrow {
 public:
  struct Settings {
    NodeId self;
    // Idle tokens above the need are given back after this time.
    Millis idle_return{2000};
    Millis retry_interval{200};
    // Most part of the free tokens that one acquisition takes, so that others get some.
    double max_fraction = 0.5;
  };
  struct Hooks {
    TableHooks table;
    RandomSource random;
    Clock clock;
    // Called when tokens of a team became free here, so that waiting work is tried again.
    std::function<void(const TeamId&)> available;
  };

  TokenEscrow(Settings settings, Hooks hooks);

  // Follows the limits: the node that applies a change first adjusts the free tokens to it, once a
  // version (the row keeps the version of the limit it accounts for).
  void OnConfig(const FleetConfig& config);
  void Tick(MonotonicTime now);

  // Takes tokens for a task; false when this node holds too few, and then more are requested.
  [[nodiscard]] bool TryTake(const TeamId& team, Slots slots);
  // Gives the tokens of an ended task back to this node.
  void Release(const TeamId& team, Slots slots);

  [[nodiscard]] Slots Held(const TeamId& team) const;
  [[nodiscard]] Slots Free(const TeamId& team) const;

  // Returns all free tokens and acquires no more; calls back when the rows are settled. Tokens of
  // running tasks stay until they are released.
  void Drain(std::function<void()> done);
  // Moves the tokens of a fenced node to the free row. Only after NodeFencer reported completion
  // and the member row is marked as fenced. May be called again and by several nodes; it is retried
  // until it succeeds, so `done` never gets an error. It ends unfinished when this node stops.
  void Reclaim(const NodeId& node, DoneCallback done);

 private:
  struct TeamState {
    // The limit in this node's configuration and the version that set it.
    Slots limit;
    ConfigVersion limit_version;
    // The free row as last seen.
    Slots free;
    Slots row_limit;
    ConfigVersion row_version;
    Revision free_revision;
    bool last_writer_is_self = false;
    bool rows_known = false;
    // Tokens this node holds for certain, whatever an unsettled transaction does.
    Slots held;
    Revision held_revision;
    // Tokens of running tasks; at most `held`.
    Slots used;
    // Needs of the largest and the smallest task that was refused; 0 when none waits.
    Slots wanted;
    Slots wanted_least;
    MonotonicTime wanted_until{};
    // Slots to acquire at once; doubles while acquisitions follow each other closely.
    Slots chunk{1};
    MonotonicTime last_acquired{};
    // Fewest idle tokens in the current window, and those found superfluous in the one before.
    Slots idle_low;
    Slots surplus;
    MonotonicTime window_start{};
    // A transaction whose outcome is not known, and whether it was sent more than once.
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
  [[nodiscard]] bool Mine(const AttemptId& attempt) const;
  void Step(const TeamId& team, TeamState& state);
  void ReadRows(const TeamId& team, TeamState& state);
  void OnRows(const TeamId& team, const Result<std::vector<Row>>& rows);
  void Absorb(const TeamId& team, TeamState& state, const std::vector<Row>& rows, bool settled);
  void AbsorbFree(TeamState& state, const Row& row);
  void Adjust(const TeamId& team, TeamState& state);
  void Move(const TeamId& team, TeamState& state, Slots to_self);
  void Send(const TeamId& team, TeamState& state);
  void OnTransact(const TeamId& team, const TransactResult& result);
  void Backoff(TeamState& state);
  void CloseWindow(TeamState& state, MonotonicTime now);
  void CheckDrained();
  void StepReclaim(const NodeId& node);
  void OnReclaimScan(const NodeId& node, const Result<std::vector<Row>>& rows);
  void ReclaimTeam(const NodeId& node, const std::vector<Row>& rows);
  void RetryReclaim(const NodeId& node, bool at_once);

  Settings settings_;
  Hooks hooks_;
  bool draining_ = false;
  // This node's member row was marked as fenced or removed: it may acquire nothing any more.
  bool fenced_ = false;
  Revision member_revision_;
  std::map<TeamId, TeamState> teams_;
  std::map<NodeId, ReclaimState> reclaims_;
  std::vector<std::function<void()>> drained_;
};

}  // namespace sapphirewheel
