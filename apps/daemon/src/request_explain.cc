#include <algorithm>

#include "request_executor.h"

namespace sapphirewheel {

std::vector<RequestExplanation> RequestExecutor::Explain(const std::string& id) const {
  std::vector<RequestExplanation> found;
  for (const auto& [task, pending] : pending_) {
    if (task.str() == id || pending.request.request.str() == id) {
      found.push_back(ExplainOne(task, pending));
    }
  }
  return found;
}

RequestExplanation RequestExecutor::ExplainOne(const TaskId& task, const Pending& pending) const {
  const MonotonicTime now = parts_.clock();
  RequestExplanation result;
  result.task = task;
  result.request = pending.request.request;
  result.team = pending.request.team;
  result.service = pending.request.service;
  result.urgent = pending.request.urgent;
  result.attempts = pending.attempts;
  result.waited = now - pending.item.arrived;
  result.left = std::max(Millis(0), pending.item.deadline - now);
  switch (pending.phase) {
    case Phase::kQueued:
      result.phase = "queued";
      result.reason = QueuedReason(pending);
      break;
    case Phase::kClaiming:
      result.phase = "claiming";
      result.reason = "its Idempotency-Key is being recorded by node " +
                      parts_.claims.OwnerOf({pending.request.team, pending.request.request}).str();
      break;
    case Phase::kRunning:
      result.phase = "running";
      result.worker = pending.worker->info.vm;
      result.reason = "it runs on worker " + result.worker.str();
      break;
    case Phase::kForwarded:
      result.phase = "forwarded";
      result.reason = "node " + pending.peer.str() + " has capacity and took it over; ask there";
      break;
    case Phase::kBackoff:
      result.phase = "backing-off";
      result.reason = "a worker refused it; it is queued again in " +
                      std::to_string(std::max(Millis(0), pending.next_try - now).count()) + " ms";
      break;
  }
  return result;
}

std::string RequestExecutor::QueuedReason(const Pending& pending) const {
  const ServiceRequest& request = pending.request;
  const FleetConfig& config = parts_.config.config();
  const Slots one(1);
  if (parts_.escrow.Free(request.team) < one) {
    const auto team = config.teams.find(request.team);
    const std::string limit =
        team == config.teams.end() ? "0" : std::to_string(team->second.upper_limit.count());
    return "team " + request.team.str() + " has no free token here: its upper limit is " + limit +
           " slots across the fleet, and this node holds " +
           std::to_string(parts_.escrow.Held(request.team).count()) + ", all in use";
  }
  const MonotonicTime now = parts_.clock();
  if (parts_.registry.Choose(request.service, request.team, one, config, now)) {
    return "a slot is free; other work comes first in the fair-share order";
  }
  const auto loads = parts_.registry.Loads(config, now);
  const auto load = std::find_if(loads.begin(), loads.end(), [&](const ServiceLoad& it) {
    return it.service == request.service;
  });
  if (load == loads.end() || load->running + load->free_slots < one) {
    return "this node owns no worker of service " + request.service.str();
  }
  return "no worker of service " + request.service.str() +
         " that this node owns has a free slot (" + std::to_string(load->running.count()) +
         " running)";
}

}  // namespace sapphirewheel
