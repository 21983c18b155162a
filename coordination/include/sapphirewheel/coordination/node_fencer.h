#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "sapphirewheel/coordination/peer_report.h"
#include "sapphirewheel/coordination/worker_report.h"
#include "sapphirewheel/state/fleet_view.h"

namespace sapphirewheel {

// Fences nodes that stopped responding. Every worker in the node's data centre must confirm that it
// refuses the node and runs none of its tasks, or be absent from the VM list for longer than the
// lag of the list. Only then may the node's tokens and jobs be taken over.
class NodeFencer {
 public:
  struct Settings {
    // Maximum lag of the VM list.
    Millis list_lag{10000};
    Millis retry_interval{500};
    // Interval at which a node renews its ownership of workers. A fenced node learns of it at its
    // next renewal at the latest.
    Millis renew_interval{1000};
  };
  struct Hooks {
    // Asks the worker at the address to refuse the node.
    std::function<void(std::string address, NodeId node, std::function<void(FenceReply)>)> fence;
    // Called once per node, when every worker has confirmed.
    std::function<void(const NodeId&)> complete;
  };

  NodeFencer(Settings settings, Hooks hooks);

  // Starts to fence a node; no effect if that was already started. Completion takes at least the
  // lag of the VM list, because only then all workers to which the node can have dispatched work
  // are known. After a restart, call this again for every member that is marked as fenced.
  void Fence(const MemberRecord& member, MonotonicTime now);
  void OnVmList(const VmList& list, MonotonicTime now);
  // Reports a worker's boot id. A rebooted worker has lost its fences, so they are sent to it
  // again.
  void OnWorkerBoot(const VmId& vm, const std::string& boot, MonotonicTime now);
  void Tick(MonotonicTime now);

  [[nodiscard]] bool IsFencing(const NodeId& node) const;
  [[nodiscard]] bool IsComplete(const NodeId& node) const;

 private:
  struct WorkerFence {
    std::string address;
    bool confirmed = false;
    bool pending = false;
    // Incremented when the worker reboots; replies to calls of earlier generations are ignored.
    int generation = 0;
    MonotonicTime next_try{};
    // The worker is not in the latest VM list.
    bool absent = false;
  };
  struct NodeState {
    MemberRecord member;
    // When all known workers had confirmed or were absent; empty while some are outstanding.
    std::optional<MonotonicTime> settled_at;
    std::map<VmId, WorkerFence> workers;
    bool complete = false;
  };

  void AddWorker(NodeState& node, const VmInfo& vm, MonotonicTime now);
  void Send(const NodeId& id, const VmId& vm, WorkerFence& worker);
  void OnReply(const NodeId& id, const VmId& vm, int generation, const FenceReply& reply);
  void CheckComplete(const NodeId& id, MonotonicTime now);

  Settings settings_;
  Hooks hooks_;
  std::map<NodeId, NodeState> nodes_;
  // VMs in the latest list.
  std::map<VmId, VmInfo> vms_;
  std::map<VmId, std::string> boots_;
  std::optional<MonotonicTime> list_time_;
  MonotonicTime now_{};
};

}  // namespace sapphirewheel
