#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "sapphirewheel/protocol/peer_codec.h"
#include "sapphirewheel/transport/endpoint.h"
#include "sapphirewheel/transport/post_function.h"

namespace sapphirewheel {

// What a daemon does with the calls of other daemons. Each handler gets a function that sends the
// reply; it is called at most once, now or later, on any thread. When all copies of it are
// destroyed without a call, the caller sees a failure with an unknown effect. An empty handler
// refuses.
struct PeerHandlers {
  std::function<void(PeerReport, std::function<void(PeerReport)>)> exchange;
  std::function<void(ConfigDelta, std::function<void(ConfigVersion)>)> push_config;
  std::function<void(ConfigVersion after, std::function<void(ConfigDelta)>)> pull_config;
  std::function<void(ForwardCall, std::function<void(ForwardReply)>)> forward;
  std::function<void(ClaimCall, std::function<void(ClaimReply)>)> claim;
  std::function<void(OutcomeCall, std::function<void()>)> record_outcome;
};

// Serves the gRPC interface between daemons. Calls beyond the bounds are refused with
// RESOURCE_EXHAUSTED before a handler sees them, and the caller knows that they had no effect.
class PeerServer {
 public:
  struct Settings {
    // Address to listen on; port 0 takes a free one.
    Endpoint listen;
    std::size_t max_message_bytes = 262'144;
    // Calls in flight. Forwarded requests last long, so that they have a bound of their own and
    // cannot keep heartbeats out.
    int max_forwards = 512;
    int max_control_calls = 256;
  };

  // Starts to listen. Errors: kInvalidArgument when the address cannot be bound.
  [[nodiscard]] static Result<std::unique_ptr<PeerServer>> Start(const Settings& settings,
                                                                 PeerHandlers handlers,
                                                                 PostFunction post);
  // Stops without grace.
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  // The address with the port in use.
  [[nodiscard]] const Endpoint& endpoint() const noexcept;

  // Refuses new calls, waits up to `grace` for those in flight, and fails the rest with an unknown
  // effect. Blocks; call it on a thread that no reply depends on. Stopping twice has no effect.
  void Stop(Millis grace);

 private:
  class Impl;
  explicit PeerServer(std::unique_ptr<Impl> impl);
  std::unique_ptr<Impl> impl_;
};

}  // namespace sapphirewheel
