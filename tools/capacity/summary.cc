#include "tools/capacity/summary.h"

#include <optional>

#include "tools/capacity/fixtures.h"

namespace sapphirewheel::capacity {
namespace {

// Cost of one role at the target size.
struct Cost {
  std::string role;
  // Per node.
  double cpu_percent = 0;
  double heap_mb = 0;
  // Network traffic; empty if it was not measured.
  std::optional<double> kb_per_second = std::nullopt;
  // Row reads and writes per second at the platform, for the whole fleet.
  double reads = 0;
  double writes = 0;
  // True if only the node that holds the lease of the role incurs the cost.
  bool single_node = false;
};

void PrintCost(std::ostream& out, const Cost& cost) {
  out << "| " << cost.role << " | " << FormatNumber(cost.cpu_percent) << " | "
      << FormatNumber(cost.heap_mb) << " | "
      << (cost.kb_per_second ? FormatNumber(*cost.kb_per_second) : "not measured") << " | "
      << FormatNumber(cost.reads) << " | " << FormatNumber(cost.writes) << " |\n";
}

Cost WorkerCost(const std::vector<Series>& workers) {
  const Series& owned = workers.at(0);
  Cost cost{"worker ownership, placement: renewals and loads"};
  cost.cpu_percent = owned.AtTarget(2) + workers.at(1).AtTarget(2);
  cost.heap_mb = owned.AtTarget(3) * owned.target / 1e6;
  return cost;
}

Cost ScanCost(const Series& view, const Series& scans) {
  Cost cost{"reads of the VM list, `vms` and `members`"};
  cost.cpu_percent = view.AtTarget(1);
  cost.heap_mb = view.AtTarget(0);
  cost.kb_per_second = view.AtTarget(3);
  cost.reads = scans.AtTarget(0) + scans.AtTarget(1);
  return cost;
}

Cost MembershipCost(const Series& reports) {
  Cost cost{"membership (a node that is no relay)"};
  cost.cpu_percent = reports.AtTarget(3) + reports.AtTarget(4);
  cost.heap_mb = reports.AtTarget(5) / 1000;
  cost.kb_per_second = reports.AtTarget(0);
  return cost;
}

Cost ConfigurationCost(const Series& log) {
  Cost cost{"key and configuration distribution"};
  cost.cpu_percent = log.AtTarget(0);
  cost.heap_mb = log.AtTarget(5);
  cost.kb_per_second = log.AtTarget(3) / 1000;
  cost.reads = log.AtTarget(1) * kDaemons;
  cost.writes = log.AtTarget(2);
  return cost;
}

Cost EscrowCost(const Series& escrow) {
  Cost cost{"upper limits, every team with peaks at every node"};
  cost.cpu_percent = escrow.AtTarget(2);
  cost.heap_mb = escrow.AtTarget(5) * kTeams / 1e6;
  cost.kb_per_second = 0;
  cost.reads = escrow.AtTarget(3) * kDaemons;
  cost.writes = escrow.AtTarget(4) * kDaemons;
  return cost;
}

Cost ClaimCost(const Series& claims, const Series& retained) {
  const double claims_per_node_per_day = claims.target * 86400 / kDaemons;
  Cost cost{"claims, " + FormatNumber(claims.target) + " a second in the fleet, kept for 24 h"};
  cost.cpu_percent = claims.AtTarget(3) / kDaemons;
  cost.heap_mb = retained.Fit(0).At(claims_per_node_per_day);
  cost.reads = claims.AtTarget(2);
  cost.writes = claims.AtTarget(1);
  return cost;
}

Cost JobCost(const Series& jobs) {
  Cost cost{"jobs, one for each two workers"};
  cost.cpu_percent = jobs.AtTarget(1);
  cost.heap_mb = jobs.AtTarget(4) * jobs.target / 1e6;
  cost.reads = jobs.AtTarget(2) * kDaemons;
  cost.writes = jobs.AtTarget(3) * kDaemons;
  return cost;
}

Cost PlannerCost(const Series& planner) {
  return {"pools (only the node with the duty)",
          planner.AtTarget(1),
          planner.AtTarget(4),
          std::nullopt,
          planner.AtTarget(2),
          planner.AtTarget(3),
          true};
}

// Assumes that each VM is maintained once in three weeks, plus 110 failures and 690 restarts a day.
Cost WaveCost(const Series& waves) {
  const double vms_per_second = kWorkers / (21.0 * 86400) + (110 + 690) / 86400.0;
  return {"waves (only the node with the duty)",
          waves.AtTarget(3),
          waves.AtTarget(4),
          std::nullopt,
          waves.AtTarget(1) * vms_per_second,
          waves.AtTarget(2) * vms_per_second,
          true};
}

}  // namespace

void PrintSummary(std::ostream& out, const SeriesByRole& measured) {
  const auto& workers = measured.at("Worker ownership and placement");
  const auto& claims = measured.at("Claims and jobs");
  const std::vector<Cost> costs = {
      ScanCost(workers.at(1), measured.at("Scans of the platform").at(0)),
      WorkerCost(workers),
      MembershipCost(measured.at("Membership").at(1)),
      ConfigurationCost(measured.at("Configuration").at(0)),
      EscrowCost(measured.at("Teams: upper limits and order").at(0)),
      ClaimCost(claims.at(1), claims.at(3)),
      JobCost(claims.at(4)),
      PlannerCost(measured.at("Pools").at(0)),
      WaveCost(measured.at("Waves").at(0)),
  };
  out << "\n### Sum at the target size, 81 daemons\n\n| role | CPU % of a core, each node | heap "
         "MB, "
         "each node | KB/s, each node | row reads/s, fleet | row writes/s, fleet "
         "|\n|---|---|---|---|---|---|\n";
  Cost sum{"**sum** (nodes without the two duties)"};
  sum.kb_per_second = 0;
  for (const Cost& cost : costs) {
    PrintCost(out, cost);
    sum.reads += cost.reads;
    sum.writes += cost.writes;
    if (cost.single_node) continue;
    sum.cpu_percent += cost.cpu_percent;
    sum.heap_mb += cost.heap_mb;
    sum.kb_per_second = *sum.kb_per_second + cost.kb_per_second.value_or(0);
  }
  PrintCost(out, sum);
  out << "| limit | 1.20 | 64.0 | 10.0 | 2000 | several hundred |\n";
}

}  // namespace sapphirewheel::capacity
