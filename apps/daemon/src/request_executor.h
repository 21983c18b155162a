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

// State of a request that this node has not answered yet, and why it waits.
struct RequestExplanation {
  TaskId task;
  RequestId request;
  TeamId team;
  ServiceId service;
  bool urgent = false;
  // Starts so far, including the one in progress.
  int attempts = 0;
  // "queued", "claiming", "running", "forwarded" or "backing-off".
  std::string phase;
  std::string reason;
  Millis waited{0};
  // Time until the deadline.
  Millis left{0};
  // The worker that runs it; empty while it does not run.
  VmId worker;
};

// Executes service requests from admission to reply: forwards them to a peer with capacity, queues
// them, records claims, runs them on workers, retries where that is safe, and answers each exactly
// once.
class RequestExecutor {
 public:
  struct Settings {
    NodeId self;
    DataCentreId data_centre;
    // Starts of one request. After the last one a failure is returned to the caller.
    int max_attempts = 3;
    // Queued requests are forwarded at this interval, at most `max_forwards` at once. The peers'
    // reports may be as old as a heartbeat, so a larger batch would overload a peer with capacity.
    Millis forward_interval{250};
    std::size_t max_forwards = 32;
    // The node that a request is forwarded to gives up this long before the request's deadline, so
    // that its reply, which tells whether the request ran, arrives in time. Longer than a round
    // trip between data centres.
    Millis forward_reserve{150};
    // Wait after a worker refused a task. Without it, a stale view of the workers causes a busy
    // loop.
    Millis refusal_backoff{50};
    // Retry-after time sent to callers when this node has no capacity.
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

  // `answer` is called exactly once, at the deadline at the latest.
  void Submit(ServiceRequest request, AnswerCallback answer);
  // Tries to start a queued request on a worker of this node; false when it has to wait.
  [[nodiscard]] bool TryPlace(const WorkItem& item);
  // Answers a request whose deadline passed before it was started.
  void OnExpired(const WorkItem& item);
  // Answers requests whose deadline passed while they ran.
  void Tick(MonotonicTime now);
  [[nodiscard]] bool Owns(const TaskId& task) const { return pending_.contains(task); }
  // The requests with this task id or Idempotency-Key. Several can match, since teams choose their
  // keys independently.
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
    // An earlier attempt failed or has an unknown outcome, so the caller must not be told "not
    // run".
    bool may_have_run = false;
    // End of the backoff after a worker refused the task.
    MonotonicTime next_try{};
    bool claimed = false;
    std::optional<WorkerView> worker;
    // The node that it was forwarded to.
    NodeId peer;
  };

  [[nodiscard]] RequestExplanation ExplainOne(const TaskId& task, const Pending& pending) const;
  [[nodiscard]] std::string QueuedReason(const Pending& pending) const;
  [[nodiscard]] std::optional<MemberRecord> PeerWithCapacity(const ServiceRequest& request) const;
  // The node that can run the request better than this one: a peer of this data centre with
  // capacity, or any node of another data centre when no worker of this one runs the service.
  [[nodiscard]] std::optional<MemberRecord> ForwardTarget(const ServiceRequest& request);
  // Whether this node has a worker that takes work of the service.
  [[nodiscard]] bool OwnsWorkerOf(const ServiceId& service) const;
  // Whether some node of this data centre has a worker that takes work of the service. The VM list
  // does not tell this: a worker may be unreachable, or may have announced itself that it leaves.
  [[nodiscard]] bool IsServedHere(const ServiceId& service) const;
  [[nodiscard]] std::optional<MemberRecord> RemoteNode(const ServiceId& service);
  // Forwards queued requests. One that came from a peer and cannot run here any more is returned to
  // that peer.
  void ForwardWaiting(MonotonicTime now);
  void ReturnToForwarder(const TaskId& task);
  void Forward(const TaskId& task, const MemberRecord& peer);
  // Queues the request, or refuses it when the estimated wait exceeds its deadline.
  void Enqueue(const TaskId& task);
  void RequestClaim(const TaskId& task);
  void OnClaim(const TaskId& task, ClaimReply reply);
  void StartTask(const TaskId& task);
  void OnTaskReply(const TaskId& task, TaskStartReply reply);
  void Retry(const TaskId& task, const Error& last);
  void Finish(const TaskId& task, Result<ServiceAnswer> result);
  // Reports to the owner of the claim how the request ended; at most once for each granted claim.
  void RecordOutcome(const ClaimKey& key, ClaimOutcome outcome,
                     std::optional<CachedResponse> response);
  // Describes, for the error message, what the request was waiting for when its deadline passed.
  [[nodiscard]] std::string LateReason(const Pending& pending) const;
  [[nodiscard]] TaskId NewTaskId();

  Settings settings_;
  Parts parts_;
  std::map<TaskId, Pending> pending_;
  AdmissionEstimate estimate_;
  MonotonicTime next_forward_{};
};

}  // namespace sapphirewheel
