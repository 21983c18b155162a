#pragma once

#include <functional>
#include <optional>
#include <string>

#include "sapphirewheel/coordination/claim_log.h"
#include "sapphirewheel/coordination/config_log.h"
#include "sapphirewheel/coordination/peer_report.h"
#include "sapphirewheel/protocol/forward.h"

namespace sapphirewheel {

// Calls to other daemons. Each callback is called exactly once, on the core thread. An address is
// "ip:port" of the peer's gRPC listener.
struct PeerHooks {
  std::function<void(std::string address, PeerReport,
                     std::function<void(std::optional<PeerReport>)>)>
      exchange;
  std::function<void(std::string address, ConfigDelta,
                     std::function<void(std::optional<ConfigVersion>)>)>
      push_config;
  std::function<void(std::string address, ConfigVersion after,
                     std::function<void(std::optional<ConfigDelta>)>)>
      pull_config;
  std::function<void(std::string address, ForwardCall, std::function<void(ForwardReply)>)> forward;
  std::function<void(std::string address, ClaimKey, NodeId claimant,
                     std::function<void(ClaimReply)>)>
      claim;
  std::function<void(std::string address, ClaimKey, NodeId claimant, ClaimOutcome,
                     std::optional<CachedResponse>)>
      record_outcome;
  // Set when requests are traced: wraps the callback of a claim in a span for the request with this
  // trace context. `at_peer` is true when another daemon owns the claim.
  std::function<std::function<void(ClaimReply)>(const std::string& traceparent, bool at_peer,
                                                std::function<void(ClaimReply)>)>
      observe_claim;
};

}  // namespace sapphirewheel
