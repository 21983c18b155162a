#pragma once

#include <algorithm>
#include <array>
#include <cstdint>
#include <map>

#include "sapphirewheel/state/ids.h"
#include "sapphirewheel/state/units.h"
#include "tools/measure/workload.h"

namespace sapphirewheel::measure {

// Simplified model of TokenEscrow without a table service. Enforces the upper limits of the teams
// at the entry nodes, either by escrow (section 4.4 of docs/design.md) or with each limit divided
// evenly among the nodes. With escrow, an acquisition takes 10 ms and gets the requested tokens as
// far as they are free, or up to 8 tokens while these are at most half of the free ones. Tokens
// that were idle for 2 s are returned.
class UpperLimits {
 public:
  explicit UpperLimits(bool divided_evenly) : divided_evenly_(divided_evenly) {
    for (const TeamSpec& spec : Teams()) {
      Team& team = teams_[TeamId(spec.name)];
      team.free = divided_evenly ? 0 : spec.upper_limit;
      for (Node& node : team.nodes) node.held = divided_evenly ? spec.upper_limit / kNodes : 0;
    }
  }

  [[nodiscard]] bool TryTake(const TeamId& id, int entry_node, std::int64_t slots,
                             MonotonicTime now) {
    Team& team = teams_.at(id);
    Node& node = team.nodes[static_cast<std::size_t>(entry_node)];
    if (node.held - node.used >= slots) {
      node.used += slots;
      return true;
    }
    if (!divided_evenly_ && node.acquired_at == MonotonicTime{}) {
      node.acquired_at = now + Millis(10);
      node.requested = slots;
    }
    return false;
  }
  void Release(const TeamId& id, int entry_node, std::int64_t slots) {
    teams_.at(id).nodes[static_cast<std::size_t>(entry_node)].used -= slots;
  }
  // Completes acquisitions and returns idle tokens.
  void Tick(MonotonicTime now) {
    if (divided_evenly_) return;
    for (auto& [id, team] : teams_) {
      for (Node& node : team.nodes) {
        if (node.acquired_at != MonotonicTime{} && now >= node.acquired_at) {
          const std::int64_t max_acquired =
              std::max(std::min(team.free, node.requested), team.free / 2);
          const std::int64_t acquired =
              std::min(max_acquired, std::max<std::int64_t>(8, node.requested));
          team.free -= acquired;
          node.held += acquired;
          node.acquired_at = {};
        }
        node.min_idle = std::min(node.min_idle, node.held - node.used);
        if (now < node.window_end) continue;
        team.free += node.min_idle;
        node.held -= node.min_idle;
        node.min_idle = node.held - node.used;
        node.window_end = now + Millis(2000);
      }
    }
  }
  [[nodiscard]] std::int64_t Used(const TeamId& id) const {
    std::int64_t used = 0;
    for (const Node& node : teams_.at(id).nodes) used += node.used;
    return used;
  }

 private:
  struct Node {
    std::int64_t held = 0;
    std::int64_t used = 0;
    std::int64_t requested = 0;
    // When the pending acquisition completes; zero if none is pending.
    MonotonicTime acquired_at{};
    // Smallest number of idle tokens since the start of the current 2 s window.
    std::int64_t min_idle = 0;
    MonotonicTime window_end{};
  };
  struct Team {
    std::int64_t free = 0;
    std::array<Node, kNodes> nodes;
  };

  bool divided_evenly_;
  std::map<TeamId, Team> teams_;
};

}  // namespace sapphirewheel::measure
