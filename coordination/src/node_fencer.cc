#include "sapphirewheel/coordination/node_fencer.h"

#include <algorithm>
#include <utility>

namespace sapphirewheel {

NodeFencer::NodeFencer(Settings settings, Hooks hooks)
    : settings_(settings), hooks_(std::move(hooks)) {}

void NodeFencer::Fence(const MemberRecord& member, MonotonicTime now) {
  now_ = now;
  if (nodes_.contains(member.node)) return;
  NodeState& node = nodes_[member.node];
  node.member = member;
  for (const auto& [id, vm] : vms_) AddWorker(node, vm, now);
  Tick(now);
}

void NodeFencer::AddWorker(NodeState& node, const VmInfo& vm, MonotonicTime now) {
  if (vm.role != VmRole::kWorker || vm.data_centre != node.member.data_centre) return;
  WorkerFence& worker = node.workers[vm.vm];
  worker.address = vm.address;
  worker.next_try = now;
}

void NodeFencer::OnVmList(const VmList& list, MonotonicTime now) {
  now_ = now;
  list_time_ = now;
  std::map<VmId, VmInfo> vms;
  for (const VmInfo& vm : list.vms) vms.emplace(vm.vm, vm);
  for (auto& [id, node] : nodes_) {
    for (const auto& [vm, info] : vms) {
      const auto it = node.workers.find(vm);
      if (it != node.workers.end()) {
        it->second.address = info.address;
      } else if (!node.complete || !vms_.contains(vm)) {
        AddWorker(node, info, now);
      }
    }
  }
  vms_ = std::move(vms);
  for (auto& [id, node] : nodes_) {
    for (auto& [vm, worker] : node.workers) worker.absent = !vms_.contains(vm);
  }
  Tick(now);
}

void NodeFencer::OnWorkerBoot(const VmId& vm, const std::string& boot, MonotonicTime now) {
  now_ = now;
  std::string& known = boots_[vm];
  if (known == boot) return;
  known = boot;
  const auto info = vms_.find(vm);
  for (auto& [id, node] : nodes_) {
    if (info != vms_.end()) AddWorker(node, info->second, now);
    const auto it = node.workers.find(vm);
    if (it == node.workers.end()) continue;
    ++it->second.generation;
    it->second.confirmed = it->second.pending = false;
    it->second.next_try = now;
  }
  Tick(now);
}

void NodeFencer::Tick(MonotonicTime now) {
  now_ = now;
  std::vector<NodeId> ids;
  for (auto& [id, node] : nodes_) {
    ids.push_back(id);
    for (auto& [vm, worker] : node.workers) {
      if (!worker.confirmed && !worker.pending && now >= worker.next_try) Send(id, vm, worker);
    }
  }
  for (const NodeId& id : ids) CheckComplete(id, now);
}

void NodeFencer::Send(const NodeId& id, const VmId& vm, WorkerFence& worker) {
  worker.pending = true;
  hooks_.fence(worker.address, id,
               [this, id, vm, generation = worker.generation](const FenceReply& reply) {
                 OnReply(id, vm, generation, reply);
               });
}

void NodeFencer::OnReply(const NodeId& id, const VmId& vm, int generation,
                         const FenceReply& reply) {
  NodeState& node = nodes_.at(id);
  const auto it = node.workers.find(vm);
  if (it == node.workers.end() || it->second.generation != generation) return;
  it->second.pending = false;
  it->second.confirmed = reply.confirmed && reply.running == 0;
  it->second.next_try = now_ + settings_.retry_interval;
  CheckComplete(id, now_);
}

// Fencing is complete when all workers have confirmed or are absent, and this is still true when a
// VM list arrives at least `list_lag` plus `renew_interval` later. A single list is not
// sufficient: it may be older than the previous one, and it may lack the newest workers, which the
// node may have used until its next renewal at a fenced worker told it to stop.
void NodeFencer::CheckComplete(const NodeId& id, MonotonicTime now) {
  NodeState& node = nodes_.at(id);
  const bool settled = std::all_of(node.workers.begin(), node.workers.end(), [](const auto& it) {
    return it.second.confirmed || it.second.absent;
  });
  if (!settled) node.settled_at.reset();
  if (settled && !node.settled_at) node.settled_at = now;
  if (settled && node.complete) node.workers.clear();
  if (!settled || node.complete || !list_time_) return;
  const Millis wait = settings_.list_lag + settings_.renew_interval;
  if (*list_time_ - *node.settled_at < wait) return;
  node.complete = true;
  // From now on only rebooted and new workers need an entry. Clearing the others bounds the memory,
  // as a fleet fences many nodes over time.
  node.workers.clear();
  hooks_.complete(id);
}

bool NodeFencer::IsFencing(const NodeId& node) const {
  const auto it = nodes_.find(node);
  return it != nodes_.end() && !it->second.complete;
}

bool NodeFencer::IsComplete(const NodeId& node) const {
  const auto it = nodes_.find(node);
  return it != nodes_.end() && it->second.complete;
}

}  // namespace sapphirewheel
