#pragma once

#include <functional>
#include <vector>

#include "peer_hooks.h"
#include "sapphirewheel/coordination/membership.h"

namespace sapphirewheel {

// Exchanges heartbeats and configuration changes with the other daemons.
class PeerLink {
 public:
  struct Parts {
    Membership& membership;
    ConfigLog& config;
    PeerHooks peers;
    Clock clock;
    // This node's report for a receiver, with its current load.
    std::function<PeerReport(const NodeId& receiver)> report;
  };

  explicit PeerLink(Parts parts);

  void Tick(MonotonicTime now);
  // Sends the configuration entries since the last push to every member that is not fenced.
  void PushConfig();

  // Handlers of the peers' calls.
  [[nodiscard]] PeerReport OnExchange(const PeerReport& report);
  [[nodiscard]] ConfigVersion OnPush(const ConfigDelta& delta);
  [[nodiscard]] ConfigDelta OnPull(ConfigVersion after);

 private:
  void Exchange(const MemberRecord& member);
  void PullFrom(const std::string& address);

  Parts parts_;
  bool pulling_ = false;
  // Version of the last push.
  ConfigVersion pushed_;
};

}  // namespace sapphirewheel
