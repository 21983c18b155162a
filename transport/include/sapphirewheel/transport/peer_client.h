#pragma once

#include <boost/outcome.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "sapphirewheel/protocol/peer_codec.h"
#include "sapphirewheel/transport/post_function.h"

namespace sapphirewheel {

// What is known about a failed call.
enum class Delivery {
  // No handler of the peer saw or will see the call: it was never sent, or refused at once.
  kNotDelivered,
  // The peer may have handled it, or may still do so.
  kUnknown,
};

struct PeerFailure {
  Delivery delivery = Delivery::kUnknown;
  // The peer or this client has too many calls in flight; another peer may be free.
  bool overloaded = false;
  std::string message;
};

template <typename T>
using PeerResult =
    boost::outcome_v2::basic_result<T, PeerFailure, boost::outcome_v2::policy::terminate>;

// Calls other daemons over gRPC, with one channel a peer. A call is never repeated. Callbacks run
// through the post function, exactly once each, also when the client is destroyed. All functions
// may be called on any thread.
class PeerClient {
 public:
  struct Settings {
    // "ip:port" of an HTTP proxy that all channels pass through by CONNECT; empty for none.
    std::string proxy;
    std::size_t max_request_bytes = 262'144;
    // Snapshots of a large fleet's configuration exceed the size of a request.
    std::size_t max_reply_bytes = 8'388'608;
    int max_calls_per_peer = 256;
    // Time for one attempt to connect, and the longest pause between two.
    Millis connect_timeout{1000};
    // A connection that does not answer a ping for this long is closed, so that a healed partition
    // needs no TCP retransmission to be noticed.
    Millis keepalive{2000};
  };
  template <typename T>
  using Callback = std::function<void(PeerResult<T>)>;

  PeerClient(const Settings& settings, PostFunction post);
  // Cancels the calls under way; their callbacks tell that their effect is unknown.
  ~PeerClient();
  PeerClient(const PeerClient&) = delete;
  PeerClient& operator=(const PeerClient&) = delete;

  // Each call goes to the peer at `address` ("ip:port") and ends within `timeout`, which includes
  // the time to connect.
  void Exchange(const std::string& address, const PeerReport& report, Millis timeout,
                Callback<PeerReport> done);
  void PushConfig(const std::string& address, const ConfigDelta& delta, Millis timeout,
                  Callback<ConfigVersion> done);
  void PullConfig(const std::string& address, ConfigVersion after, Millis timeout,
                  Callback<ConfigDelta> done);
  void Forward(const std::string& address, const ForwardCall& call, Millis timeout,
               Callback<ForwardReply> done);
  void Claim(const std::string& address, const ClaimCall& call, Millis timeout,
             Callback<ClaimReply> done);
  void RecordOutcome(const std::string& address, const OutcomeCall& call, Millis timeout,
                     Callback<void> done);

  // Closes the channel to a peer that has left; calls under way end normally.
  void RemovePeer(const std::string& address);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sapphirewheel
