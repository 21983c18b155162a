#include "node_events.h"

#include <algorithm>

#include "sapphirewheel/transport/events.h"

namespace sapphirewheel {
namespace {

// Peers and workers are compared less often than the rest, which is compared at each tick, to save
// processor time on small VMs.
constexpr Millis kInterval{200};

bool IsLeaving(const Node& node, const NodeId& peer) {
  const auto peers = node.membership().LocalPeers(node.Now());
  return std::any_of(peers.begin(), peers.end(),
                     [&](const PeerReport& it) { return it.node == peer && it.leaving; });
}

}  // namespace

void NodeEvents::Observe(const Node& node) {
  if (node_ != node.self().node) {
    *this = NodeEvents();
    node_ = node.self().node;
  }
  ObserveState(node);
  if (node.Now() < next_) return;
  next_ = node.Now() + kInterval;
  ObservePeers(node);
  ObserveWorkers(node);
}

void NodeEvents::ObserveState(const Node& node) {
  if (const ConfigVersion version = node.config().version; version != version_) {
    Log(Event::kConfigApplied,
        {{"node", node_.str()}, {"version", std::to_string(version.count())}});
    version_ = version;
  }
  const Freshness freshness = node.freshness();
  const bool fresh = freshness.as_of && node.Now() - *freshness.as_of <= freshness.max_age;
  const bool ready = node.Ready();
  if (ready && !ready_) Log(Event::kReady, {{"node", node_.str()}});
  // Before the first readiness the node is not expected to be fresh.
  if (ready_ && fresh != fresh_) {
    Log(fresh ? Event::kFreshAgain : Event::kNotFresh, {{"node", node_.str()}});
  }
  fresh_ = fresh;
  ready_ = ready_ || ready;
  if (node.draining() && !draining_) Log(Event::kStopping, {{"node", node_.str()}});
  draining_ = node.draining();
}

void NodeEvents::ObservePeers(const Node& node) {
  std::set<NodeId> live;
  for (const NodeId& peer : node.membership().LiveNodes(node.Now())) {
    if (peer != node_) live.insert(peer);
  }
  std::set<NodeId> fenced;
  std::set<NodeId> members;
  for (const MemberRecord& member : node.membership().Members()) {
    members.insert(member.node);
    if (member.fenced) fenced.insert(member.node);
  }
  for (const NodeId& peer : live) {
    if (!live_.contains(peer)) Log(Event::kPeerSeen, {{"node", node_.str()}, {"peer", peer.str()}});
  }
  for (const NodeId& peer : live_) {
    // A peer that makes a planned stop is no longer a member, or reports that it is leaving.
    const bool silent = !live.contains(peer) && members.contains(peer) && !IsLeaving(node, peer);
    if (silent) Log(Event::kPeerLost, {{"node", node_.str()}, {"peer", peer.str()}});
  }
  for (const NodeId& peer : fenced) {
    if (!fenced_.contains(peer)) {
      Log(Event::kNodeFenced, {{"node", node_.str()}, {"peer", peer.str()}});
    }
  }
  live_ = std::move(live);
  fenced_ = std::move(fenced);
}

void NodeEvents::ObserveWorkers(const Node& node) {
  std::set<VmId> quarantined;
  for (const WorkerView& worker : node.registry().Owned(node.Now())) {
    if (!worker.quarantined) continue;
    quarantined.insert(worker.info.vm);
    if (!quarantined_.contains(worker.info.vm)) {
      Log(Event::kWorkerQuarantined, {{"node", node_.str()}, {"worker", worker.info.vm.str()}});
    }
  }
  quarantined_ = std::move(quarantined);
}

}  // namespace sapphirewheel
