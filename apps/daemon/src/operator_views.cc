#include "operator_views.h"

#include <boost/json/array.hpp>

#include "sapphirewheel/state/json.h"

namespace sapphirewheel {
namespace {

namespace json = boost::json;

template <typename Texts>
json::array TextArray(const Texts& texts) {
  json::array out;
  for (const auto& it : texts) out.emplace_back(it);
  return out;
}

json::object CostView(const PlanCost& cost) {
  json::object entitlement;
  for (const auto& [team, slots] : cost.entitlement_change) entitlement[team.str()] = slots;
  return {{"buffer_core_seconds_per_hour", cost.buffer_core_seconds_per_hour},
          {"roll_out_ms", cost.roll_out.count()},
          {"vm_moves", cost.vm_moves},
          {"entitlement_change_slots", std::move(entitlement)}};
}

const char* PhaseName(AssignmentPhase phase) {
  switch (phase) {
    case AssignmentPhase::kActive:
      return "active";
    case AssignmentPhase::kDraining:
      return "draining";
    case AssignmentPhase::kRebooting:
      return "rebooting";
    case AssignmentPhase::kVerifying:
      return "verifying";
    case AssignmentPhase::kOut:
      return "out";
  }
  return "out";
}

json::object VmView(const Node& node, const VmInfo& vm) {
  json::object view{{"vm", vm.vm.str()},
                    {"role", vm.role == VmRole::kWorker ? "worker" : "entry"},
                    {"phase", vm.phase == VmPhase::kLive ? "live" : "leaving"},
                    {"data_centre", vm.data_centre.str()},
                    {"rack", vm.rack.str()},
                    {"address", vm.address}};
  const auto& assignments = node.fleet().assignments();
  if (auto it = assignments.find(vm.vm); it != assignments.end()) {
    view["pool"] = it->second.pool.str();
    view["assignment"] = PhaseName(it->second.phase);
    view["wave"] = it->second.wave.str();
  }
  return view;
}

json::object FleetView(const Node& node) {
  json::array vms;
  for (const VmInfo& vm : node.fleet().vms().vms) vms.push_back(VmView(node, vm));
  json::array nodes;
  for (const MemberRecord& member : node.membership().Members()) {
    nodes.push_back(json::object{{"node", member.node.str()},
                                 {"data_centre", member.data_centre.str()},
                                 {"address", member.http_address},
                                 {"fenced", member.fenced}});
  }
  json::array owned;
  for (const WorkerView& worker : node.registry().Owned(node.Now())) {
    owned.push_back(json::object{{"vm", worker.info.vm.str()},
                                 {"pool", worker.pool.str()},
                                 {"slots", worker.slots.count()},
                                 {"free_slots", worker.free_slots.count()},
                                 {"quarantined", worker.quarantined}});
  }
  json::object pools;
  for (const auto& [id, pool] : node.config().pools) {
    pools[id.str()] = json::object{{"size", pool.size}, {"spare", pool.spare}};
  }
  return {{"node", node.self().node.str()}, {"config_version", node.config().version.count()},
          {"ready", node.Ready()},          {"vms", std::move(vms)},
          {"nodes", std::move(nodes)},      {"owned_workers", std::move(owned)},
          {"pools", std::move(pools)}};
}

json::object TeamView(const Node& node, const TeamChange& team) {
  return {{"team", team.team.str()},
          {"share", team.share.count()},
          {"upper_limit", team.upper_limit.count()},
          {"tokens_here", node.escrow().Held(team.team).count()},
          {"free_tokens_here", node.escrow().Free(team.team).count()},
          {"queued_here", node.scheduler().QueuedForTeam(team.team)}};
}

json::object TeamsView(const Node& node) {
  json::array teams;
  for (const auto& [id, team] : node.config().teams) teams.push_back(TeamView(node, team));
  return {{"config_version", node.config().version.count()}, {"teams", std::move(teams)}};
}

json::object WavesView(const Node& node) {
  json::array waves;
  for (const auto& [id, wave] : node.config().waves) {
    json::array pools;
    for (const PoolId& pool : wave.pools) pools.emplace_back(pool.str());
    waves.push_back(json::object{{"wave", id.str()},
                                 {"action", static_cast<int>(wave.action)},
                                 {"pools", std::move(pools)}});
  }
  json::array progress;
  for (const WaveProgress& it : node.controllers().Waves()) {
    json::array failed;
    for (const VmId& vm : it.failed) failed.emplace_back(vm.str());
    progress.push_back(json::object{{"wave", it.wave.str()},
                                    {"phase", WavePhaseName(it.phase)},
                                    {"todo", it.todo},
                                    {"under_way", it.under_way},
                                    {"done", it.done},
                                    {"failed", std::move(failed)},
                                    {"reason", it.reason}});
  }
  return {{"waves", std::move(waves)},
          {"holder", node.controllers().wave_holder().str()},
          {"progress", std::move(progress)}};
}

std::optional<json::object> RequestView(const Node& node, const std::string& id) {
  json::array requests;
  for (const RequestExplanation& it : node.requests().Explain(id)) {
    json::object view{{"task", it.task.str()},
                      {"request", it.request.str()},
                      {"team", it.team.str()},
                      {"service", it.service.str()},
                      {"urgent", it.urgent},
                      {"phase", it.phase},
                      {"reason", it.reason},
                      {"attempts", it.attempts},
                      {"waited_ms", it.waited.count()},
                      {"deadline_in_ms", it.left.count()}};
    if (!it.worker.empty()) view["worker"] = it.worker.str();
    requests.push_back(std::move(view));
  }
  if (requests.empty()) return std::nullopt;
  return json::object{{"node", node.self().node.str()}, {"requests", std::move(requests)}};
}

// The path after the kind, joined again because an Idempotency-Key may contain '/'.
std::string JoinedId(const std::vector<std::string>& path) {
  std::string id = path[3];
  for (std::size_t i = 4; i < path.size(); ++i) id += "/" + path[i];
  return id;
}

std::optional<json::object> ExplainView(const Node& node, const std::string& kind,
                                        const std::string& id) {
  if (kind == "vm") {
    for (const VmInfo& vm : node.fleet().vms().vms) {
      if (vm.vm.str() == id) return VmView(node, vm);
    }
  }
  if (kind == "request") return RequestView(node, id);
  if (kind == "team") {
    const auto& teams = node.config().teams;
    if (auto it = teams.find(TeamId(id)); it != teams.end()) return TeamView(node, it->second);
  }
  return std::nullopt;
}

}  // namespace

json::object PlanView(const Plan& plan, const Node* node) {
  json::array budgets;
  for (const PoolId& pool : plan.budgets) budgets.emplace_back(pool.str());
  json::object basis;
  for (const auto& [name, version] : plan.basis) basis[name] = version.count();
  json::object view{{"plan", plan.id.str()},
                    {"state", plan.state == PlanState::kConfirmed ? "confirmed" : "pending"},
                    {"changes", TextArray(plan.changes)},
                    {"cost", CostView(plan.cost)},
                    {"budgets", std::move(budgets)},
                    {"duration_ms", plan.duration.count()},
                    {"ground", plan.ground.count()},
                    {"basis", std::move(basis)}};
  if (!plan.token.empty()) view["token"] = plan.token;
  if (plan.state != PlanState::kConfirmed) return view;
  view["confirmed_version"] = plan.confirmed_version.count();
  if (node == nullptr) return view;
  json::object in_force;
  bool everywhere = true;
  const auto applied = node->membership().AppliedByDataCentre(node->config().version, node->Now());
  for (const auto& [data_centre, version] : applied) {
    const bool here = version >= plan.confirmed_version;
    in_force[data_centre.str()] = here;
    everywhere = everywhere && here;
  }
  view["in_force"] = std::move(in_force);
  view["in_force_everywhere"] = everywhere;
  return view;
}

std::optional<json::object> OperatorView(const Node& node, const std::vector<std::string>& path) {
  if (path.size() == 2 && path[1] == "fleet") return FleetView(node);
  if (path.size() == 2 && path[1] == "teams") return TeamsView(node);
  if (path.size() == 2 && path[1] == "waves") return WavesView(node);
  if (path.size() >= 4 && path[1] == "explain") {
    return ExplainView(node, path[2], JoinedId(path));
  }
  return std::nullopt;
}

}  // namespace sapphirewheel
