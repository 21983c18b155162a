#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "sapphirewheel/state/error.h"
#include "sapphirewheel/state/ids.h"
#include "sapphirewheel/state/units.h"

namespace sapphirewheel {

// Sets a team's share of a full fleet and the maximum number of slots that it may use across the
// fleet.
struct TeamChange {
  TeamId team;
  Share share{1};
  Slots upper_limit;
};

// Sets the services that the workers of a pool run, its target size in VMs, and its availability
// budget.
struct PoolChange {
  PoolId pool;
  std::vector<ServiceId> services;
  // Services of this pool that accept work without a key; it is charged to the team `open`.
  std::vector<ServiceId> open_services;
  std::int64_t size = 0;
  // Maximum number of VMs that may be out of service at once, in the pool and in each rack.
  std::int64_t max_out = 1;
  std::int64_t max_out_per_rack = 1;
  // VMs of a spare pool are lent to other pools and run no service of their own.
  bool spare = false;
};

// Assigns a VM to a pool. The row of the VM in table `vms` changes in the same transaction.
struct VmPoolChange {
  VmId vm;
  PoolId pool;
};

// Grants a key to a team. Only the SHA-256 of the secret is stored, in lower-case hex digits.
struct KeyGrantChange {
  KeyId key;
  TeamId team;
  std::string secret_sha256;
  // How long a data centre that is cut off from the platform and from its peers accepts the key.
  Millis isolation_grace{0};
};

struct KeyWithdrawChange {
  KeyId key;
};

enum class WaveAction { kStart, kResume, kCancel };

// Starts, resumes or cancels a maintenance wave over the VMs of the given pools.
struct WaveChange {
  WaveId wave;
  WaveAction action = WaveAction::kStart;
  std::vector<PoolId> pools;
};

// The team that work of open services is charged to.
inline constexpr const char* kOpenTeam = "open";

using ConfigChange = std::variant<TeamChange, PoolChange, VmPoolChange, KeyGrantChange,
                                  KeyWithdrawChange, WaveChange>;

// One entry of the configuration log.
struct ConfigEntry {
  ConfigVersion version;
  PlanId plan;
  ConfigChange change;
};

struct KeyState {
  KeyGrantChange grant;
  bool withdrawn = false;
};

struct WaveState {
  std::vector<PoolId> pools;
  // The latest confirmed action.
  WaveAction action = WaveAction::kStart;
};

// The configuration after all log entries up to `version`.
struct FleetConfig {
  ConfigVersion version;
  std::map<TeamId, TeamChange> teams;
  std::map<PoolId, PoolChange> pools;
  std::map<KeyId, KeyState> keys;
  std::map<WaveId, WaveState> waves;
  // Version of the latest change of each entity, by its EntityName.
  std::map<std::string, ConfigVersion> entity_versions;
};

// Returns the name of the entity that a change modifies, e.g. "team/brewers".
[[nodiscard]] std::string EntityName(const ConfigChange& change);

// Applies an entry, which must be the next one after `config.version`. Errors: kConflict when it is
// not.
[[nodiscard]] Result<void> ApplyEntry(FleetConfig& config, const ConfigEntry& entry);

// Convert changes, entries and configurations to and from JSON. Errors: kInvalidArgument, naming
// the invalid position or field.
[[nodiscard]] std::string EncodeChange(const ConfigChange& change);
[[nodiscard]] Result<ConfigChange> DecodeChange(std::string_view text);
[[nodiscard]] std::string EncodeEntry(const ConfigEntry& entry);
[[nodiscard]] Result<ConfigEntry> DecodeEntry(std::string_view text);
[[nodiscard]] std::string EncodeConfig(const FleetConfig& config);
[[nodiscard]] Result<FleetConfig> DecodeConfig(std::string_view text);

}  // namespace sapphirewheel
