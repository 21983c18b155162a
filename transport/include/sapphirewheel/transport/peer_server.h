#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "sapphirewheel/protocol/peer_codec.h"
#include "sapphirewheel/transport/endpoint.h"
#include "sapphirewheel/transport/post_function.h"

namespace sapphirewheel {

// Handlers for the calls of other daemons. Each handler gets a function that sends the reply, to be
// called at most once, at any time and on any thread. When all copies of that function are
// destroyed without a call, the caller sees a failure with an unknown effect. Calls without a
// handler are refused.
struct PeerHandlers {
  std::function<void(PeerReport, std::function<void(PeerReport)>)> exchange;
  std::function<void(ConfigDelta, std::function<void(ConfigVersion)>)> push_config;
  std::function<void(ConfigVersion after, std::function<void(ConfigDelta)>)> pull_config;
  std::function<void(ForwardCall, std::function<void(ForwardReply)>)> forward;
  std::function<void(ClaimCall, std::function<void(ClaimReply)>)> claim;
  std::function<void(OutcomeCall, std::function<void()>)> record_outcome;
};

// Serves the gRPC interface between daemons. Calls beyond the limits are refused with
// RESOURCE_EXHAUSTED before a handler sees them, and the caller is told that they had no effect.
class PeerServer {
 public:
  struct Settings {
    // Address to listen on; port 0 lets the kernel choose a free port.
    Endpoint listen;
    std::size_t max_message_bytes = 262'144;
    // Maximum numbers of calls in flight. Forwarded requests take long and have a limit of their
    // own, so that they cannot displace heartbeats.
    int max_forwards = 512;
    int max_control_calls = 256;
  };

  // Starts listening. Errors: kInvalidArgument when the address cannot be bound.
  [[nodiscard]] static Result<std::unique_ptr<PeerServer>> Start(const Settings& settings,
                                                                 PeerHandlers handlers,
                                                                 PostFunction post);
  // As Stop() without a grace period.
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  // The address that the server listens on, with the actual port.
  [[nodiscard]] const Endpoint& endpoint() const noexcept;

  // Refuses new calls, waits up to `grace` for those in flight, and fails the rest with an unknown
  // effect. Blocks, so it must be called on a thread that no reply depends on. Idempotent.
  void Stop(Millis grace);

 private:
  class Impl;
  explicit PeerServer(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace sapphirewheel
