#include <algorithm>
#include <cctype>
#include <set>
#include <utility>

#include "plan_builder.h"

namespace sapphirewheel {
namespace {

constexpr std::size_t kMaxIdLength = 64;

Error Refuse(ErrorKind kind, std::string message, std::string remedy) {
  return Error{kind, std::move(message), std::move(remedy), RunState::kNotRun, std::nullopt};
}

// The transaction that starts a wave has two entries (a check and a write) per pool, and a
// transaction is limited to 200 rows.
constexpr std::size_t kMaxWavePools = 50;

Error Invalid(std::string message, std::string remedy) {
  return Refuse(ErrorKind::kInvalidArgument, std::move(message), std::move(remedy));
}

Error Conflict(std::string message, std::string remedy) {
  return Refuse(ErrorKind::kConflict, std::move(message), std::move(remedy));
}

Error Unknown(const std::string& kind, const std::string& id) {
  return Refuse(ErrorKind::kNotFound, "there is no " + kind + " \"" + id + "\"",
                "check the name, or create the " + kind + " first");
}

// Checks an id, which becomes part of row keys and tokens.
Result<void> CheckId(const std::string& field, const std::string& id) {
  const bool valid =
      !id.empty() && id.size() <= kMaxIdLength && std::all_of(id.begin(), id.end(), [](char c) {
        return std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.';
      });
  if (valid) return boost::outcome_v2::success();
  return Invalid("field \"" + field + "\" is not a valid name: \"" + id + "\"",
                 "use 1 to 64 letters, digits, '-', '_' or '.'");
}

Result<void> CheckPools(const std::vector<PoolId>& pools, const FleetConfig& config) {
  if (pools.empty()) return Invalid("the wave names no pool", "list at least one pool");
  if (pools.size() > kMaxWavePools) {
    return Invalid("the wave names " + std::to_string(pools.size()) + " pools",
                   "list at most " + std::to_string(kMaxWavePools) + " pools and start more waves");
  }
  std::set<PoolId> seen;
  for (const PoolId& pool : pools) {
    const auto it = config.pools.find(pool);
    if (it == config.pools.end()) return Unknown("pool", pool.str());
    if (!seen.insert(pool).second) {
      return Invalid("pool \"" + pool.str() + "\" is listed twice", "list each pool once");
    }
    if (it->second.max_out < 1 || it->second.max_out_per_rack < 1) {
      return Invalid(
          "the availability budget of pool \"" + pool.str() + "\" allows no VM out of service",
          "set max_out and max_out_per_rack of the pool to at least 1");
    }
  }
  return boost::outcome_v2::success();
}

const VmInfo* FindVm(const VmList& list, const VmId& vm) {
  const auto it =
      std::find_if(list.vms.begin(), list.vms.end(), [&](const VmInfo& v) { return v.vm == vm; });
  return it == list.vms.end() ? nullptr : &*it;
}

struct CheckVisitor {
  const PlanInput& input;

  Result<void> operator()(const TeamChange& c) const {
    BOOST_OUTCOME_TRY(CheckId("team", c.team.str()));
    if (c.share.count() < 1) return Invalid("field \"share\" is below 1", "set a share above 0");
    if (c.upper_limit.count() < 0) {
      return Invalid("field \"upper_limit\" is negative", "set an upper limit of 0 or more slots");
    }
    return boost::outcome_v2::success();
  }

  Result<void> operator()(const PoolChange& c) const {
    BOOST_OUTCOME_TRY(CheckId("pool", c.pool.str()));
    if (c.size < 0 || c.max_out < 0 || c.max_out_per_rack < 0) {
      return Invalid(
          "size, max_out or max_out_per_rack of pool \"" + c.pool.str() + "\" is negative",
          "set size, max_out and max_out_per_rack to 0 or more");
    }
    for (const ServiceId& service : c.services) {
      BOOST_OUTCOME_TRY(CheckId("services", service.str()));
    }
    if (c.spare && !c.services.empty()) {
      return Invalid("spare pool \"" + c.pool.str() + "\" lists services",
                     "list no services for a spare pool");
    }
    for (const ServiceId& service : c.open_services) {
      if (std::find(c.services.begin(), c.services.end(), service) == c.services.end()) {
        return Invalid("open service \"" + service.str() + "\" is not a service of the pool",
                       "add it to \"services\" or remove it from \"open_services\"");
      }
    }
    return boost::outcome_v2::success();
  }

  Result<void> operator()(const VmPoolChange& c) const {
    const VmInfo* vm = FindVm(input.inventory.vms, c.vm);
    if (vm == nullptr) {
      return Refuse(ErrorKind::kNotFound, "there is no VM \"" + c.vm.str() + "\"",
                    "check the name; a new VM is listed after some seconds");
    }
    if (vm->role != VmRole::kWorker) {
      return Invalid("VM \"" + c.vm.str() + "\" is an entry VM", "assign only worker VMs to pools");
    }
    if (!input.config.pools.contains(c.pool)) return Unknown("pool", c.pool.str());
    if (input.vm.pool == c.pool) {
      return Conflict("VM \"" + c.vm.str() + "\" is in pool \"" + c.pool.str() + "\" already",
                      "no action is needed");
    }
    if (!input.vm.wave.empty()) {
      return Conflict("wave \"" + input.vm.wave.str() + "\" holds VM \"" + c.vm.str() + "\"",
                      "wait until the VM has returned, or cancel the wave");
    }
    if (input.vm.phase != AssignmentPhase::kActive) {
      return Conflict("VM \"" + c.vm.str() + "\" is out of service",
                      "wait until the VM has returned");
    }
    return boost::outcome_v2::success();
  }

  Result<void> operator()(const KeyGrantChange& c) const {
    BOOST_OUTCOME_TRY(CheckId("key", c.key.str()));
    if (c.team.str() == kOpenTeam) {
      return Invalid("team \"open\" takes no keys", "grant the key to another team");
    }
    if (!input.config.teams.contains(c.team)) return Unknown("team", c.team.str());
    if (c.isolation_grace.count() < 0) {
      return Invalid("field \"isolation_grace_ms\" is negative", "set 0 or more");
    }
    if (input.config.keys.contains(c.key)) {
      return Conflict("key \"" + c.key.str() + "\" was granted before",
                      "choose a new key id; key ids cannot be reused");
    }
    return boost::outcome_v2::success();
  }

  Result<void> operator()(const KeyWithdrawChange& c) const {
    const auto it = input.config.keys.find(c.key);
    if (it == input.config.keys.end()) return Unknown("key", c.key.str());
    if (it->second.withdrawn) {
      return Conflict("key \"" + c.key.str() + "\" is already withdrawn", "no action is needed");
    }
    return boost::outcome_v2::success();
  }

  Result<void> operator()(const WaveChange& c) const {
    BOOST_OUTCOME_TRY(CheckId("wave", c.wave.str()));
    const auto it = input.config.waves.find(c.wave);
    const bool known = it != input.config.waves.end();
    if (c.action == WaveAction::kStart) {
      if (known) {
        return Conflict("wave \"" + c.wave.str() + "\" was started before",
                        "resume or cancel it, or choose a new wave id");
      }
      return CheckPools(c.pools, input.config);
    }
    if (!known) return Unknown("wave", c.wave.str());
    if (it->second.action == WaveAction::kCancel) {
      return Conflict("wave \"" + c.wave.str() + "\" is cancelled", "start a new wave");
    }
    return boost::outcome_v2::success();
  }
};

struct BasisVisitor {
  const FleetConfig& config;
  std::map<std::string, ConfigVersion>& basis;

  void Add(const std::string& name) const {
    const auto it = config.entity_versions.find(name);
    basis[name] = it == config.entity_versions.end() ? ConfigVersion(0) : it->second;
  }
  // Entitlements depend on the shares of all teams.
  void operator()(const TeamChange&) const {
    for (const auto& [team, change] : config.teams) Add("team/" + team.str());
  }
  void operator()(const PoolChange&) const {}
  void operator()(const VmPoolChange& c) const { Add("pool/" + c.pool.str()); }
  void operator()(const KeyGrantChange& c) const { Add("team/" + c.team.str()); }
  void operator()(const KeyWithdrawChange&) const {}
  void operator()(const WaveChange& c) const {
    for (const PoolId& pool : c.pools) Add("pool/" + pool.str());
  }
};

}  // namespace

Result<void> CheckChange(const ConfigChange& change, const PlanInput& input) {
  return std::visit(CheckVisitor{input}, change);
}

std::map<std::string, ConfigVersion> BasisOf(const ConfigChange& change,
                                             const FleetConfig& config) {
  std::map<std::string, ConfigVersion> basis;
  const BasisVisitor visitor{config, basis};
  visitor.Add(EntityName(change));
  std::visit(visitor, change);
  return basis;
}

std::string VmBasisName(const VmId& vm) { return "vms/" + vm.str(); }

}  // namespace sapphirewheel
