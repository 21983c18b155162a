#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cstdint>
#include <utility>

#include "sapphirewheel/coordination/intent_planner.h"
#include "sapphirewheel/state/json.h"

namespace sapphirewheel {
namespace {

namespace json = boost::json;

json::object EncodeCost(const PlanCost& cost) {
  json::object entitlement;
  for (const auto& [team, slots] : cost.entitlement_change) entitlement[team.str()] = slots;
  return {{"buffer_core_seconds_per_hour", cost.buffer_core_seconds_per_hour},
          {"roll_out_ms", cost.roll_out.count()},
          {"vm_moves", cost.vm_moves},
          {"entitlement_change", std::move(entitlement)}};
}

PlanCost DecodeCost(const json::object& object) {
  PlanCost cost;
  cost.buffer_core_seconds_per_hour = DoubleField(object, "buffer_core_seconds_per_hour");
  cost.roll_out = Millis(IntField(object, "roll_out_ms"));
  cost.vm_moves = IntField(object, "vm_moves");
  const auto* teams = object.if_contains("entitlement_change");
  if (teams == nullptr || !teams->is_object()) return cost;
  for (const auto& it : teams->get_object()) {
    cost.entitlement_change[TeamId(std::string(it.key()))] =
        DoubleField(teams->get_object(), it.key());
  }
  return cost;
}

std::vector<std::string> DecodeTexts(const json::object& object, std::string_view name) {
  std::vector<std::string> texts;
  const auto* value = object.if_contains(name);
  if (value == nullptr || !value->is_array()) return texts;
  for (const auto& it : value->get_array()) {
    if (it.is_string()) texts.emplace_back(it.get_string());
  }
  return texts;
}

ConfigVersion VersionField(const json::object& object, std::string_view name) {
  return ConfigVersion(static_cast<std::uint64_t>(IntField(object, name)));
}

}  // namespace

std::string EncodePlan(const Plan& plan) {
  json::array changes;
  for (const std::string& text : plan.changes) changes.emplace_back(text);
  json::array budgets;
  for (const PoolId& pool : plan.budgets) budgets.emplace_back(pool.str());
  json::object basis;
  for (const auto& [name, version] : plan.basis) basis[name] = version.count();
  json::object object{{"id", plan.id.str()},
                      {"state", plan.state == PlanState::kConfirmed ? "confirmed" : "pending"},
                      {"change", json::parse(EncodeChange(plan.change))},
                      {"changes", std::move(changes)},
                      {"cost", EncodeCost(plan.cost)},
                      {"budgets", std::move(budgets)},
                      {"duration_ms", plan.duration.count()},
                      {"ground", plan.ground.count()},
                      {"basis", std::move(basis)}};
  if (plan.state == PlanState::kConfirmed) {
    object["confirmed_version"] = plan.confirmed_version.count();
  }
  return json::serialize(object);
}

Result<Plan> DecodePlan(std::string_view text) {
  BOOST_OUTCOME_TRY(auto object, ParseObject(text));
  Plan plan;
  BOOST_OUTCOME_TRY(auto id, RequireText(object, "id"));
  plan.id = PlanId(id);
  plan.state =
      TextField(object, "state") == "confirmed" ? PlanState::kConfirmed : PlanState::kPending;
  const auto* change = object.if_contains("change");
  BOOST_OUTCOME_TRY(plan.change, DecodeChange(change == nullptr ? "{}" : json::serialize(*change)));
  plan.changes = DecodeTexts(object, "changes");
  const auto* cost = object.if_contains("cost");
  if (cost != nullptr && cost->is_object()) plan.cost = DecodeCost(cost->get_object());
  for (std::string& pool : DecodeTexts(object, "budgets")) plan.budgets.emplace_back(pool);
  plan.duration = Millis(IntField(object, "duration_ms"));
  plan.ground = VersionField(object, "ground");
  plan.confirmed_version = VersionField(object, "confirmed_version");
  const auto* basis = object.if_contains("basis");
  if (basis != nullptr && basis->is_object()) {
    for (const auto& it : basis->get_object()) {
      plan.basis[std::string(it.key())] = VersionField(basis->get_object(), it.key());
    }
  }
  return plan;
}

}  // namespace sapphirewheel
