#pragma once

#include <set>

#include "node.h"

namespace sapphirewheel {

// Logs the state changes of a node by comparing its state at each call with the previous one. Used
// on the core thread.
class NodeEvents {
 public:
  // Called at each tick; after a change of incarnation with the new node.
  void Observe(const Node& node);

 private:
  void ObserveState(const Node& node);
  void ObservePeers(const Node& node);
  void ObserveWorkers(const Node& node);

  NodeId node_;
  bool ready_ = false;
  bool draining_ = false;
  bool fresh_ = false;
  ConfigVersion version_;
  std::set<NodeId> live_;
  std::set<NodeId> fenced_;
  std::set<VmId> quarantined_;
  MonotonicTime next_{};
};

}  // namespace sapphirewheel
