#include <array>
#include <boost/json/array.hpp>
#include <boost/json/serialize.hpp>

#include "sapphirewheel/state/fleet_config.h"
#include "sapphirewheel/state/json.h"

namespace sapphirewheel {
namespace {

namespace json = boost::json;

constexpr std::array<const char*, 3> kWaveActions = {"start", "resume", "cancel"};

Error Invalid(const std::string& message) {
  return Error{ErrorKind::kInvalidArgument, message, "correct the named field", RunState::kNotRun,
               std::nullopt};
}

template <typename Id>
json::array EncodeIds(const std::vector<Id>& ids) {
  json::array out;
  for (const Id& id : ids) out.emplace_back(id.str());
  return out;
}

template <typename Id>
std::vector<Id> DecodeIds(const json::object& object, std::string_view name) {
  std::vector<Id> ids;
  const auto* value = object.if_contains(name);
  if (value == nullptr || !value->is_array()) return ids;
  for (const auto& it : value->get_array()) {
    if (it.is_string()) ids.emplace_back(std::string(it.get_string()));
  }
  return ids;
}

struct EncodeVisitor {
  json::object operator()(const TeamChange& c) const {
    return {{"kind", "team"},
            {"team", c.team.str()},
            {"share", c.share.count()},
            {"upper_limit", c.upper_limit.count()}};
  }
  json::object operator()(const PoolChange& c) const {
    return {{"kind", "pool"},
            {"pool", c.pool.str()},
            {"services", EncodeIds(c.services)},
            {"open_services", EncodeIds(c.open_services)},
            {"size", c.size},
            {"max_out", c.max_out},
            {"max_out_per_rack", c.max_out_per_rack},
            {"spare", c.spare}};
  }
  json::object operator()(const VmPoolChange& c) const {
    return {{"kind", "vm-pool"}, {"vm", c.vm.str()}, {"pool", c.pool.str()}};
  }
  json::object operator()(const KeyGrantChange& c) const {
    return {{"kind", "key-grant"},
            {"key", c.key.str()},
            {"team", c.team.str()},
            {"secret_sha256", c.secret_sha256},
            {"isolation_grace_ms", c.isolation_grace.count()}};
  }
  json::object operator()(const KeyWithdrawChange& c) const {
    return {{"kind", "key-withdraw"}, {"key", c.key.str()}};
  }
  json::object operator()(const WaveChange& c) const {
    return {{"kind", "wave"},
            {"wave", c.wave.str()},
            {"action", kWaveActions.at(static_cast<std::size_t>(c.action))},
            {"pools", EncodeIds(c.pools)}};
  }
};

// Largest accepted slots, shares and sizes; far above the largest fleet planned for.
constexpr std::int64_t kMaxCount = 10'000'000;
// One day. A longer isolation grace would outlast any network partition planned for.
constexpr std::int64_t kMaxGraceMs = 86'400'000;

Result<ConfigChange> DecodeTeam(const json::object& object) {
  BOOST_OUTCOME_TRY(auto team, RequireText(object, "team"));
  BOOST_OUTCOME_TRY(auto share, RequireInt(object, "share", 1, kMaxCount));
  BOOST_OUTCOME_TRY(auto limit, RequireInt(object, "upper_limit", 0, kMaxCount));
  return ConfigChange{TeamChange{TeamId(team), Share(share), Slots(limit)}};
}

Result<ConfigChange> DecodePool(const json::object& object) {
  BOOST_OUTCOME_TRY(auto pool, RequireText(object, "pool"));
  BOOST_OUTCOME_TRY(auto size, RequireInt(object, "size", 0, kMaxCount));
  BOOST_OUTCOME_TRY(auto max_out, RequireInt(object, "max_out", 0, kMaxCount));
  BOOST_OUTCOME_TRY(auto per_rack, RequireInt(object, "max_out_per_rack", 0, kMaxCount));
  PoolChange change;
  change.pool = PoolId(pool);
  change.services = DecodeIds<ServiceId>(object, "services");
  change.open_services = DecodeIds<ServiceId>(object, "open_services");
  change.size = size;
  change.max_out = max_out;
  change.max_out_per_rack = per_rack;
  change.spare = BoolField(object, "spare");
  return ConfigChange{change};
}

Result<ConfigChange> DecodeGrant(const json::object& object) {
  BOOST_OUTCOME_TRY(auto key, RequireText(object, "key"));
  BOOST_OUTCOME_TRY(auto team, RequireText(object, "team"));
  const std::int64_t grace = IntField(object, "isolation_grace_ms", 0);
  if (grace < 0 || grace > kMaxGraceMs) {
    return Invalid("field \"isolation_grace_ms\" is out of range 0 to 86400000");
  }
  return ConfigChange{
      KeyGrantChange{KeyId(key), TeamId(team), TextField(object, "secret_sha256"), Millis(grace)}};
}

Result<ConfigChange> DecodeWave(const json::object& object) {
  BOOST_OUTCOME_TRY(auto wave, RequireText(object, "wave"));
  BOOST_OUTCOME_TRY(auto action, RequireText(object, "action"));
  WaveChange change;
  change.wave = WaveId(wave);
  change.pools = DecodeIds<PoolId>(object, "pools");
  for (std::size_t i = 0; i < kWaveActions.size(); ++i) {
    if (action == kWaveActions.at(i)) {
      change.action = static_cast<WaveAction>(i);
      return ConfigChange{change};
    }
  }
  return Invalid("field \"action\" is \"" + action + "\"; it must be start, resume or cancel");
}

Result<ConfigChange> DecodeObject(const json::object& object) {
  BOOST_OUTCOME_TRY(auto kind, RequireText(object, "kind"));
  if (kind == "team") return DecodeTeam(object);
  if (kind == "pool") return DecodePool(object);
  if (kind == "key-grant") return DecodeGrant(object);
  if (kind == "wave") return DecodeWave(object);
  if (kind == "vm-pool") {
    BOOST_OUTCOME_TRY(auto vm, RequireText(object, "vm"));
    BOOST_OUTCOME_TRY(auto pool, RequireText(object, "pool"));
    return ConfigChange{VmPoolChange{VmId(vm), PoolId(pool)}};
  }
  if (kind == "key-withdraw") {
    BOOST_OUTCOME_TRY(auto key, RequireText(object, "key"));
    return ConfigChange{KeyWithdrawChange{KeyId(key)}};
  }
  return Invalid("field \"kind\" is \"" + kind +
                 "\"; it must be team, pool, vm-pool, wave, key-grant or key-withdraw");
}

json::object ChangeObject(const ConfigChange& change) {
  return std::visit(EncodeVisitor{}, change);
}

const json::object* ObjectField(const json::object& object, std::string_view name) {
  const auto* value = object.if_contains(name);
  return value == nullptr ? nullptr : value->if_object();
}

// Calls `decode` with each object of an array field; stops at the first error.
template <typename Decode>
Result<void> ForEachObject(const json::object& object, std::string_view name, Decode decode) {
  const auto* value = object.if_contains(name);
  if (value == nullptr || !value->is_array()) {
    return Invalid("field \"" + std::string(name) + "\" is missing or not an array");
  }
  for (const auto& it : value->get_array()) {
    if (!it.is_object()) return Invalid("an item of \"" + std::string(name) + "\" is no object");
    BOOST_OUTCOME_TRY(decode(it.get_object()));
  }
  return boost::outcome_v2::success();
}

}  // namespace

std::string EncodeChange(const ConfigChange& change) {
  return json::serialize(ChangeObject(change));
}

Result<ConfigChange> DecodeChange(std::string_view text) {
  BOOST_OUTCOME_TRY(auto object, ParseObject(text));
  return DecodeObject(object);
}

std::string EncodeEntry(const ConfigEntry& entry) {
  return json::serialize(json::object{{"version", entry.version.count()},
                                      {"plan", entry.plan.str()},
                                      {"change", ChangeObject(entry.change)}});
}

Result<ConfigEntry> DecodeEntry(std::string_view text) {
  BOOST_OUTCOME_TRY(auto object, ParseObject(text));
  BOOST_OUTCOME_TRY(auto version, RequireInt(object, "version", 1, INT64_MAX));
  const auto* change = ObjectField(object, "change");
  if (change == nullptr) return Invalid("field \"change\" is missing or not an object");
  BOOST_OUTCOME_TRY(auto decoded, DecodeObject(*change));
  return ConfigEntry{ConfigVersion(static_cast<std::uint64_t>(version)),
                     PlanId(TextField(object, "plan")), std::move(decoded)};
}

std::string EncodeConfig(const FleetConfig& config) {
  json::array changes;
  for (const auto& [id, team] : config.teams) changes.push_back(ChangeObject(team));
  for (const auto& [id, pool] : config.pools) changes.push_back(ChangeObject(pool));
  for (const auto& [id, key] : config.keys) {
    json::object object = ChangeObject(key.grant);
    object["withdrawn"] = key.withdrawn;
    changes.push_back(std::move(object));
  }
  for (const auto& [id, wave] : config.waves) {
    json::object object = ChangeObject(WaveChange{id, wave.action, wave.pools});
    changes.push_back(std::move(object));
  }
  json::object versions;
  for (const auto& [name, version] : config.entity_versions) versions[name] = version.count();
  return json::serialize(json::object{{"version", config.version.count()},
                                      {"changes", std::move(changes)},
                                      {"entity_versions", std::move(versions)}});
}

Result<FleetConfig> DecodeConfig(std::string_view text) {
  BOOST_OUTCOME_TRY(auto object, ParseObject(text));
  BOOST_OUTCOME_TRY(auto version, RequireInt(object, "version", 0, INT64_MAX));
  FleetConfig config;
  BOOST_OUTCOME_TRY(ForEachObject(object, "changes", [&](const json::object& it) -> Result<void> {
    BOOST_OUTCOME_TRY(auto change, DecodeObject(it));
    if (auto* wave = std::get_if<WaveChange>(&change)) {
      config.waves[wave->wave] = WaveState{wave->pools, wave->action};
      return boost::outcome_v2::success();
    }
    ConfigEntry entry{ConfigVersion(config.version.count() + 1), PlanId(), change};
    BOOST_OUTCOME_TRY(ApplyEntry(config, entry));
    if (auto* grant = std::get_if<KeyGrantChange>(&change)) {
      config.keys[grant->key].withdrawn = BoolField(it, "withdrawn");
    }
    return boost::outcome_v2::success();
  }));
  config.version = ConfigVersion(static_cast<std::uint64_t>(version));
  config.entity_versions.clear();
  if (const auto* versions = ObjectField(object, "entity_versions")) {
    for (const auto& it : *versions) {
      const std::int64_t n = IntField(*versions, it.key());
      config.entity_versions[std::string(it.key())] = ConfigVersion(static_cast<std::uint64_t>(n));
    }
  }
  return config;
}

}  // namespace sapphirewheel
