#pragma once

#include <map>
#include <string>
#include <vector>

#include "admission_estimate.h"
#include "peer_hooks.h"
#include "sapphirewheel/coordination/membership.h"
#include "service_request.h"
#include "task_tracker.h"

namespace sapphirewheel {

// Why a request of this node is not answered yet.
struct RequestExplanation {
  TaskId task;
  RequestId request;
  TeamId team;
  ServiceId service;
  bool urgent = false;
  // Starts so far, the one under way included.
  int attempts = 0;
  // "queued", "claiming", "running", "forwarded" or "backing-off".
  std::string phase;
  std::string reason;
  Millis waited{0};
  // Until the deadline.
  Millis left{0};
  // Where it runs; empty while it does not.
  VmId worker;
};

// Takes service requests from their admission to their answer: forwards them to a peer with
// capacity, queues them, records claims, runs them on workers, retries where that is safe, and
// answers each exactly once.
class RequestExecutor {
 public:
  struct Settings {
    NodeId self;
    DataCentreId data_centre;
    // Starts of one request; further failures are answered.
    int max_attempts = 3;
    // Requests that wait here are offered to peers at this interval, so many at once: the peers'
    // reports are as old as a heartbeat, and more would overrun one that has room.
    Millis forward_interval{250};
    std::size_t max_forwards = 32;
    // The node that a request is forwarded to gives up this long before its deadline, so that its
    // word on whether the request ran is back in time; above a round trip between data centres.
    Millis forward_reserve{150};
    // Wait after a worker refused a task, so that a stale view does not make a busy loop.
    Millis refusal_backoff{50};
    // Retry time told to callers when this node has no room.
    Millis retry_after{1000};
  };
  struct Parts {
    FairScheduler& scheduler;
    TaskTracker& running;
    WorkerRegistry& registry;
    TokenEscrow& escrow;
    ClaimLog& claims;
    Membership& membership;
    ConfigLog& config;
    WorkerHooks workers;
    PeerHooks peers;
    Clock clock;
    RandomSource random;
  };

  RequestExecutor(Settings settings, Parts parts);

  // Answers exactly once, at the deadline at the latest.
  void Submit(ServiceRequest request, AnswerCallback answer);
  // Tries to start a queued request on a worker of this node; false when it has to wait.
  [[nodiscard]] bool TryPlace(const WorkItem& item);
  // A queued request whose deadline has passed before it was started.
  void OnExpired(const WorkItem& item);
  // Answers requests whose deadline passed while they ran.
  void Tick(MonotonicTime now);
  [[nodiscard]] bool Owns(const TaskId& task) const { return pending_.contains(task); }
  // The requests with this task id or Idempotency-Key; teams may use the same one.
  [[nodiscard]] std::vector<RequestExplanation> Explain(const std::string& id) const;
  [[nodiscard]] std::size_t active() const noexcept { return pending_.size(); }

 private:
  enum class Phase { kQueued, kClaiming, kRunning, kForwarded, kBackoff };
  struct Pending {
    ServiceRequest request;
    AnswerCallback answer;
    WorkItem item;
    Phase phase = Phase::kQueued;
    int attempts = 0;
    MonotonicTime started{};
    // An earlier attempt failed or its outcome is unknown, so "not run" would be untrue.
    bool may_have_run = false;
    // End of the back-off after a worker refused the task.
    MonotonicTime next_try{};
    bool claimed = false;
    std::optional<WorkerView> worker;
    // The node that it was forwarded to.
    NodeId peer;
  };

  [[nodiscard]] RequestExplanation ExplainOne(const TaskId& task, const Pending& pending) const;
  [[nodiscard]] std::string QueuedReason(const Pending& pending) const;
  [[nodiscard]] std::optional<MemberRecord> PeerWithCapacity(const ServiceRequest& request) const;
  // Where the request should rather run: a peer of this data centre with capacity, or any node of
  // another data centre when no worker of this one runs the service.
  [[nodiscard]] std::optional<MemberRecord> ForwardTarget(const ServiceRequest& request);
  // Whether this node has a worker that takes work of the service.
  [[nodiscard]] bool OwnsWorkerOf(const ServiceId& service) const;
  // Whether some node of this data centre has a worker that takes work of the service. The VM list
  // does not tell: workers may be unreachable, or leave by their own notice.
  [[nodiscard]] bool IsServedHere(const ServiceId& service) const;
  [[nodiscard]] std::optional<MemberRecord> RemoteNode(const ServiceId& service);
  // Forwards what waits, or gives it back to the node that forwarded it when it cannot run here.
  void ForwardWaiting(MonotonicTime now);
  void ReturnToForwarder(const TaskId& task);
  void Forward(const TaskId& task, const MemberRecord& peer);
  // Queues the request, or refuses it when it would wait for longer than its deadline.
  void Enqueue(const TaskId& task);
  void RequestClaim(const TaskId& task);
  void OnClaim(const TaskId& task, ClaimReply reply);
  void StartTask(const TaskId& task);
  void OnTaskReply(const TaskId& task, TaskStartReply reply);
  void Retry(const TaskId& task, const Error& last);
  void Finish(const TaskId& task, Result<ServiceAnswer> result);
  // Tells the owner of the claim how the request ended; at most once a granted claim.
  void RecordOutcome(const ClaimKey& key, ClaimOutcome outcome, std::optional<KeptAnswer> answer);
  // Where the request was when its deadline passed, for the answer.
  [[nodiscard]] std::string LateReason(const Pending& pending) const;
  [[nodiscard]] TaskId NewTaskId();

  Settings settings_;
  Parts parts_;
  std::map<TaskId, Pending> pending_;
  AdmissionEstimate estimate_;
  MonotonicTime next_forward_{};
};

}  // namespace sapphirewheel
