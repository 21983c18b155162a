#pragma once

#include <functional>
#include <memory>
#include <optional>

#include "core_loop.h"
#include "node.h"
#include "peer_hooks.h"
#include "sapphirewheel/transport/peer_client.h"
#include "sapphirewheel/transport/peer_server.h"

namespace sapphirewheel {

// Implements the node's peer hooks with the gRPC client.
class PeerAdapter {
 public:
  PeerAdapter(const std::optional<Endpoint>& proxy, PostFunction post);

  [[nodiscard]] PeerHooks hooks();

 private:
  PeerClient client_;
};

// Handlers of the gRPC server that pass the calls of peers to the current node. `node` returns null
// while an incarnation is replaced. The handlers run on the core thread.
[[nodiscard]] PeerHandlers NodePeerHandlers(const std::function<Node*()>& node);

}  // namespace sapphirewheel
