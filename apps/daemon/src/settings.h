#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "sapphirewheel/state/ids.h"
#include "sapphirewheel/state/units.h"
#include "sapphirewheel/transport/endpoint.h"

namespace sapphirewheel {

inline constexpr const char* kVersion = "0.1.0";

// All settings of a daemon, validated.
struct DaemonSettings {
  // Path of the settings file that the users' platform writes. When set, the daemon serves that
  // platform and takes its addresses and bounds from the file.
  std::string deployment_file;
  // Port for metrics on the VM's address in that file; 0: none.
  std::uint16_t metrics_port = 0;
  VmId vm;
  DataCentreId data_centre;
  Endpoint listen;
  Endpoint peer_listen;
  // Addresses published to peers and operators; empty: the bound ones.
  std::string advertise;
  std::string peer_advertise;
  std::vector<Endpoint> platform;
  // HTTP CONNECT proxy for all outgoing connections; empty port: none.
  Endpoint egress_proxy;
  // Bearer token that operators must present; empty: none is required.
  std::string operator_token;

  Millis key_freshness{3000};
  Millis heartbeat_interval{500};
  Millis suspect_after{2000};
  Millis dead_after{10000};
  Millis config_pull_interval{1000};
  Millis fleet_poll_interval{1000};
  Millis assignment_poll_interval{2000};
  Millis list_lag{10000};
  Millis renew_interval{1000};
  Millis platform_timeout{2000};
  Millis platform_settle{5000};
  Millis default_deadline{30000};
  Millis max_deadline{300000};
  Millis drain_notice{1000};
  Millis drain_timeout{30000};
  // A pause of the core thread longer than this makes the node register as a new incarnation.
  Millis pause_limit{5000};

  std::size_t max_header_bytes = 16'384;
  std::size_t max_body_bytes = 1'048'576;
  std::size_t max_connections = 1000;
  Millis idle_timeout{60000};
  Millis header_timeout{10000};
  Millis read_timeout{10000};
  std::size_t min_body_rate = 16'384;
  std::size_t request_memory = 67'108'864;
  std::size_t max_queue = 20000;
  std::size_t max_queue_per_team = 5000;
  std::size_t core_ring = 16384;
  int quarantine_failures = 3;
  Millis claim_group_interval{80};
  std::string policy = "brunner";
  std::string trace_file;
  std::string log_level = "info";
};

enum class SettingsOutcome { kRun, kExit };

struct ParsedSettings {
  SettingsOutcome outcome = SettingsOutcome::kRun;
  // Exit status for kExit: 0, or 2 for an invalid setting.
  int exit_code = 0;
  DaemonSettings settings;
};

// Reads flags and environment variables, checks every value and then the relations between values.
// Prints an error, or help, the version, the effective settings or a generated page when a flag
// asks for it.
[[nodiscard]] ParsedSettings ParseSettings(int argc, const char* const* argv);

}  // namespace sapphirewheel
