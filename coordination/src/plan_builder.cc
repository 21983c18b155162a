#include "plan_builder.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdint>
#include <cstdio>

namespace sapphirewheel {
namespace {

// Estimated times. A confirmed change is pushed to all nodes at once; nodes that miss the push pull
// it within 1 s.
constexpr Millis kRollOutTime(1000);
// Drain of a VM and its start in another pool.
constexpr Millis kMoveTime(30000);
// Drain, checkpoint, reboot and verification of one VM.
constexpr Millis kMaintenanceTime(180000);
constexpr double kSecondsPerHour = 3600;
// Smaller changes of an entitlement are rounding errors and are not described.
constexpr double kNoticeableSlots = 0.05;
// Maximum number of pools or teams that a plan describes one by one, because a plan must fit into a
// row of 64 KiB.
constexpr std::size_t kMaxDescriptions = 20;

std::string FormatOneDecimal(double n) {
  std::array<char, 32> text{};
  std::snprintf(text.data(), text.size(), "%.1f", n);
  return text.data();
}

std::string Seconds(Millis time) {
  return time.count() % 1000 == 0 ? std::to_string(time.count() / 1000) + " s"
                                  : std::to_string(time.count()) + " ms";
}

std::string Quoted(const std::string& id) { return "\"" + id + "\""; }

double TotalSlots(const FleetInventory& inventory) {
  double slots = 0;
  for (const VmInfo& vm : inventory.vms.vms) {
    if (vm.role == VmRole::kWorker) slots += static_cast<double>(vm.slots.count());
  }
  return slots;
}

double MeanCores(const FleetInventory& inventory) {
  double cores = 0;
  int n = 0;
  for (const VmInfo& vm : inventory.vms.vms) {
    if (vm.role != VmRole::kWorker) continue;
    cores += static_cast<double>(vm.cores);
    ++n;
  }
  return n == 0 ? 0 : cores / n;
}

std::int64_t VmsInPool(const FleetInventory& inventory, const PoolId& pool) {
  return std::count_if(inventory.assignments.begin(), inventory.assignments.end(),
                       [&](const auto& it) { return it.second.pool == pool; });
}

bool IsSpare(const FleetConfig& config, const PoolId& pool) {
  const auto it = config.pools.find(pool);
  return it != config.pools.end() && it->second.spare;
}

std::int64_t RoundsFor(std::int64_t vms, std::int64_t at_once) {
  return at_once < 1 ? vms : (vms + at_once - 1) / at_once;
}

// Number of consecutive maintenance rounds that the pool's budgets require, for the pool as a whole
// and for its largest rack.
std::int64_t MaintenanceRounds(const PoolChange& pool, const FleetInventory& inventory) {
  std::map<RackId, std::int64_t> racks;
  for (const VmInfo& vm : inventory.vms.vms) {
    const auto it = inventory.assignments.find(vm.vm);
    if (it != inventory.assignments.end() && it->second.pool == pool.pool) ++racks[vm.rack];
  }
  std::int64_t rounds = RoundsFor(VmsInPool(inventory, pool.pool), pool.max_out);
  for (const auto& [rack, n] : racks) {
    rounds = std::max(rounds, RoundsFor(n, pool.max_out_per_rack));
  }
  return rounds;
}

struct DescribeVisitor {
  Plan& plan;
  const PlanInput& input;

  void AddSentence(std::string sentence) const { plan.changes.push_back(std::move(sentence)); }

  void operator()(const TeamChange& c) const {
    const auto it = input.config.teams.find(c.team);
    std::string text = "Team " + Quoted(c.team.str());
    const std::string share = std::to_string(c.share.count());
    const std::string limit = std::to_string(c.upper_limit.count()) + " slots";
    if (it == input.config.teams.end()) {
      AddSentence(text + " is created with share " + share + " and upper limit " + limit + ".");
    } else {
      AddSentence(text + " gets share " + share + " (was " +
                  std::to_string(it->second.share.count()) + ") and upper limit " + limit +
                  " (was " + std::to_string(it->second.upper_limit.count()) + ").");
      if (c.upper_limit < it->second.upper_limit) {
        AddSentence(
            "No running task is stopped; new tasks of the team start once it is below the new "
            "limit.");
      }
    }
    DescribeEntitlements(c);
  }

  void DescribeOthers(std::size_t n, const std::string& kind) const {
    if (n > kMaxDescriptions) {
      AddSentence("The same applies to " + std::to_string(n - kMaxDescriptions) + " other " + kind +
                  ".");
    }
  }

  void DescribeEntitlements(const TeamChange& c) const {
    const double total = TotalSlots(input.inventory);
    auto teams = input.config.teams;
    const auto before = Entitlements(teams, total);
    teams[c.team] = c;
    for (const auto& [team, after] : Entitlements(teams, total)) {
      const auto it = before.find(team);
      const double old = it == before.end() ? 0 : it->second;
      if (std::abs(after - old) < kNoticeableSlots) continue;
      plan.cost.entitlement_change[team] = after - old;
      if (plan.cost.entitlement_change.size() > kMaxDescriptions) continue;
      AddSentence("When the fleet is full, team " + Quoted(team.str()) + " is entitled to " +
                  FormatOneDecimal(after) + " of " + FormatOneDecimal(total) + " slots (was " +
                  FormatOneDecimal(old) + ").");
    }
    DescribeOthers(plan.cost.entitlement_change.size(), "teams");
  }

  void operator()(const PoolChange& c) const {
    const auto it = input.config.pools.find(c.pool);
    const std::int64_t present = VmsInPool(input.inventory, c.pool);
    const std::string name = (c.spare ? "Spare pool " : "Pool ") + Quoted(c.pool.str());
    AddSentence(name + (it == input.config.pools.end() ? " is created with " : " gets ") +
                std::to_string(c.size) + " VMs; it has " + std::to_string(present) + " now.");
    AddSentence("At most " + std::to_string(c.max_out) + " of its VMs and " +
                std::to_string(c.max_out_per_rack) +
                " VMs of a rack may be out of service at once.");
    if (!c.services.empty()) AddSentence("It runs the services " + JoinNames(c.services) + ".");
    if (!c.open_services.empty()) {
      AddSentence("Work on " + JoinNames(c.open_services) +
                  " is accepted without a key and charged to team " + Quoted(kOpenTeam) + ".");
    }
    plan.cost.vm_moves = std::abs(c.size - present);
    if (plan.cost.vm_moves > 0) plan.duration = kMoveTime;
    const bool was_spare = IsSpare(input.config, c.pool);
    const std::int64_t reserve = (c.spare ? c.size : 0) - (was_spare ? it->second.size : 0);
    plan.cost.buffer_core_seconds_per_hour =
        static_cast<double>(reserve) * MeanCores(input.inventory) * kSecondsPerHour;
    plan.budgets.push_back(c.pool);
  }

  static std::string JoinNames(const std::vector<ServiceId>& services) {
    std::string text;
    for (const ServiceId& service : services) text += (text.empty() ? "" : ", ") + service.str();
    return text;
  }

  void operator()(const VmPoolChange& c) const {
    const PoolId& from = input.vm.pool;
    AddSentence("VM " + Quoted(c.vm.str()) + " moves to pool " + Quoted(c.pool.str()) +
                (from.empty() ? " (it was in none)." : " (from " + Quoted(from.str()) + ")."));
    AddSentence("Its running tasks finish first.");
    plan.cost.vm_moves = 1;
    plan.duration = kMoveTime;
    const int reserve =
        (IsSpare(input.config, c.pool) ? 1 : 0) - (IsSpare(input.config, from) ? 1 : 0);
    for (const VmInfo& vm : input.inventory.vms.vms) {
      if (vm.vm != c.vm) continue;
      plan.cost.buffer_core_seconds_per_hour =
          reserve * static_cast<double>(vm.cores) * kSecondsPerHour;
    }
    if (!from.empty()) plan.budgets.push_back(from);
    plan.budgets.push_back(c.pool);
  }

  void operator()(const KeyGrantChange& c) const {
    AddSentence("Key " + Quoted(c.key.str()) + " is granted to team " + Quoted(c.team.str()) + ".");
    if (c.isolation_grace.count() == 0) {
      AddSentence(
          "A data centre that is cut off from the platform and from its peers refuses the key.");
    } else {
      AddSentence(
          "A data centre that is cut off from the platform and from its peers accepts the key for "
          "up to " +
          Seconds(c.isolation_grace) + ", even if it is withdrawn in the meantime.");
    }
  }

  void operator()(const KeyWithdrawChange& c) const {
    const KeyGrantChange& grant = input.config.keys.at(c.key).grant;
    AddSentence("Key " + Quoted(c.key.str()) + " of team " + Quoted(grant.team.str()) +
                " stops working within seconds; accepted work is finished.");
    if (grant.isolation_grace.count() > 0) {
      AddSentence(
          "A data centre that is cut off from the platform and from its peers may accept the key "
          "for up to " +
          Seconds(grant.isolation_grace) + " longer: its isolation grace.");
    }
  }

  void operator()(const WaveChange& c) const {
    const std::string name = "Wave " + Quoted(c.wave.str());
    if (c.action == WaveAction::kCancel) {
      AddSentence(name +
                  " is cancelled: it takes no further VM; VMs that are out return to service.");
      plan.budgets = input.config.waves.at(c.wave).pools;
      return;
    }
    const bool start = c.action == WaveAction::kStart;
    plan.budgets = start ? c.pools : input.config.waves.at(c.wave).pools;
    AddSentence(name + (start ? " starts." : " resumes."));
    for (std::size_t i = 0; i < plan.budgets.size(); ++i) {
      AddMaintenance(plan.budgets[i], i < kMaxDescriptions);
    }
    DescribeOthers(plan.budgets.size(), "pools");
  }

  void AddMaintenance(const PoolId& id, bool describe) const {
    const auto it = input.config.pools.find(id);
    if (it == input.config.pools.end()) return;
    const PoolChange& pool = it->second;
    if (describe) {
      AddSentence(
          "Pool " + Quoted(id.str()) + ": " + std::to_string(VmsInPool(input.inventory, id)) +
          " VMs are drained, rebooted and verified, at most " + std::to_string(pool.max_out) +
          " at once and " + std::to_string(pool.max_out_per_rack) + " of a rack.");
    }
    // Pools are maintained concurrently.
    plan.duration =
        std::max(plan.duration, kMaintenanceTime * MaintenanceRounds(pool, input.inventory));
  }
};

}  // namespace

void DescribePlan(Plan& plan, const PlanInput& input) {
  plan.cost.roll_out = kRollOutTime;
  plan.duration = kRollOutTime;
  std::visit(DescribeVisitor{plan, input}, plan.change);
}

std::map<TeamId, double> Entitlements(const std::map<TeamId, TeamChange>& teams,
                                      double total_slots) {
  std::map<TeamId, double> entitlements;
  std::map<TeamId, TeamChange> unlimited = teams;
  double remaining = total_slots;
  bool limit_reached = true;
  while (limit_reached && !unlimited.empty()) {
    double shares = 0;
    for (const auto& [id, team] : unlimited) shares += static_cast<double>(team.share.count());
    limit_reached = false;
    const double total_in_round = remaining;
    for (auto it = unlimited.begin(); it != unlimited.end();) {
      const double limit = static_cast<double>(it->second.upper_limit.count());
      const double slots = total_in_round * static_cast<double>(it->second.share.count()) / shares;
      entitlements[it->first] = std::min(slots, limit);
      if (slots <= limit) {
        ++it;
        continue;
      }
      limit_reached = true;
      remaining -= limit;
      it = unlimited.erase(it);
    }
  }
  return entitlements;
}

}  // namespace sapphirewheel
