#pragma once

#include <boost/outcome.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

#include "sapphirewheel/protocol/peer_codec.h"
#include "sapphirewheel/transport/post_function.h"

namespace sapphirewheel {

// What is known about the delivery of a failed call.
enum class Delivery {
  // No handler of the peer saw or will see the call: it was never sent, or was refused at once.
  kNotDelivered,
  // The peer may have handled the call, or may still do so.
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

// Calls other daemons over gRPC, with one channel per peer. A call is never retried. Each callback
// is posted exactly once through the post function, also when the client is destroyed. Thread-safe.
class PeerClient {
 public:
  struct Settings {
    // "ip:port" of an HTTP proxy through which all channels are tunnelled by CONNECT; empty for
    // none.
    std::string proxy;
    std::size_t max_request_bytes = 262'144;
    // Larger than a request: a reply may carry a snapshot of a large fleet's configuration.
    std::size_t max_reply_bytes = 8'388'608;
    int max_calls_per_peer = 256;
    // Time limit of one connection attempt, and the maximum backoff between two attempts.
    Millis connect_timeout{1000};
    // Interval of keepalive pings, and the time after which a connection without a response to one
    // is closed. New calls then need no TCP retransmission to notice that a partition has healed.
    Millis keepalive{2000};
  };
  template <typename T>
  using Callback = std::function<void(PeerResult<T>)>;

  PeerClient(const Settings& settings, PostFunction post);
  // Cancels the calls in progress. Callbacks of calls that were sent get Delivery::kUnknown.
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

  // Closes the channel to a peer that has left the fleet; calls in progress end normally.
  void RemovePeer(const std::string& address);

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sapphirewheel
