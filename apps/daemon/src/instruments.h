#pragma once

#include <string>

#include "node.h"
#include "sapphirewheel/transport/metrics.h"
#include "sapphirewheel/transport/peer_server.h"

namespace sapphirewheel {

// Adds metrics and trace spans to the calls of a daemon by wrapping its hooks. Used on the core
// thread. Must outlive the incarnations whose hooks it wraps.
class Instruments {
 public:
  // `vm` names the daemon in its spans.
  explicit Instruments(std::string vm) : vm_(std::move(vm)) {}

  // Adds counters and outage events to the platform calls, and spans to the calls to peers and
  // backend servers.
  [[nodiscard]] NodeHooks Wrap(NodeHooks hooks);
  // Adds a span to each request that a peer forwarded.
  [[nodiscard]] PeerHandlers Wrap(PeerHandlers handlers);
  // Starts the span of a caller's request, which becomes the parent of the spans of its further
  // hops. Returns the callback that ends the span and counts the outcome.
  [[nodiscard]] AnswerCallback ObserveRequest(const Node& node, ServiceRequest& request,
                                              AnswerCallback answer);

  [[nodiscard]] MetricsRegistry& metrics() noexcept { return metrics_; }

 private:
  using ClaimDone = std::function<void(ClaimReply)>;

  void WrapTable(TableHooks& table);
  void WrapPeers(PeerHooks& peers);
  void WrapWorkers(WorkerHooks& workers);
  [[nodiscard]] ClaimDone ObserveClaim(const std::string& traceparent, bool at_peer,
                                       ClaimDone done) const;
  // Counts a platform call and logs the start and the end of an outage.
  void OnPlatformCall(const char* call, const char* outcome, bool reached);
  template <typename T>
  std::function<void(Result<T>)> Observe(const char* call, std::function<void(Result<T>)> done);

  std::string vm_;
  MetricsRegistry metrics_;
  int platform_failures_ = 0;
  bool platform_down_ = false;
};

}  // namespace sapphirewheel
