#include "sapphirewheel/state/fleet_config.h"

#include "sapphirewheel/state/json.h"

namespace sapphirewheel {
namespace {

struct NameVisitor {
  std::string operator()(const TeamChange& c) const { return "team/" + c.team.str(); }
  std::string operator()(const PoolChange& c) const { return "pool/" + c.pool.str(); }
  std::string operator()(const VmPoolChange& c) const { return "vm/" + c.vm.str(); }
  std::string operator()(const KeyGrantChange& c) const { return "key/" + c.key.str(); }
  std::string operator()(const KeyWithdrawChange& c) const { return "key/" + c.key.str(); }
  std::string operator()(const WaveChange& c) const { return "wave/" + c.wave.str(); }
};

struct ApplyVisitor {
  FleetConfig& config;

  void operator()(const TeamChange& c) const { config.teams[c.team] = c; }
  void operator()(const PoolChange& c) const { config.pools[c.pool] = c; }
  // The VM's row holds the assignment; the log only records the change.
  void operator()(const VmPoolChange&) const {}
  void operator()(const KeyGrantChange& c) const { config.keys[c.key] = KeyState{c, false}; }
  void operator()(const KeyWithdrawChange& c) const {
    if (auto it = config.keys.find(c.key); it != config.keys.end()) it->second.withdrawn = true;
  }
  void operator()(const WaveChange& c) const {
    WaveState& wave = config.waves[c.wave];
    if (c.action == WaveAction::kStart) wave.pools = c.pools;
    wave.action = c.action;
  }
};

}  // namespace

std::string EntityName(const ConfigChange& change) { return std::visit(NameVisitor{}, change); }

Result<void> ApplyEntry(FleetConfig& config, const ConfigEntry& entry) {
  if (entry.version.count() != config.version.count() + 1) {
    return Error{ErrorKind::kConflict,
                 "configuration entry " + std::to_string(entry.version.count()) +
                     " does not follow version " + std::to_string(config.version.count()),
                 "pull the entries after the applied version", RunState::kNotRun, std::nullopt};
  }
  std::visit(ApplyVisitor{config}, entry.change);
  config.entity_versions[EntityName(entry.change)] = entry.version;
  config.version = entry.version;
  return boost::outcome_v2::success();
}

}  // namespace sapphirewheel
