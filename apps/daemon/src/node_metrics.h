#pragma once

#include <cstdint>

#include "node.h"
#include "sapphirewheel/transport/metrics.h"

namespace sapphirewheel {

// Publishes the state of the current node as metrics. Used on the core thread.
class NodeMetrics {
 public:
  void Publish(const Node& node, MetricsRegistry& metrics);

 private:
  NodeId node_;
  // Moves of this incarnation that the counter already includes.
  std::uint64_t moves_ = 0;
};

}  // namespace sapphirewheel
