#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "fleet_controllers.h"
#include "fleet_poller.h"
#include "job_executor.h"
#include "peer_link.h"
#include "request_executor.h"
#include "sapphirewheel/coordination/authentication.h"
#include "sapphirewheel/coordination/intent_planner.h"
#include "sapphirewheel/coordination/node_fencer.h"
#include "settings.h"

namespace sapphirewheel {

// Everything that a node needs from outside: clock, randomness and I/O. Callbacks run on the core
// thread.
struct NodeHooks {
  Clock clock;
  // Cryptographically strong outside tests.
  RandomSource random;
  TableHooks table;
  WorkerHooks workers;
  PeerHooks peers;
  std::function<void(std::function<void(Result<VmList>)>)> list_vms;
  std::function<void(VmId, DoneCallback)> reboot;
};

// One incarnation of a daemon: connects the coordination components. Driven by one thread; it has
// no threads, sockets or clocks of its own.
class Node {
 public:
  // `self.node` must be unique to this incarnation; the addresses in `self` are those that peers
  // and callers use.
  Node(const DaemonSettings& settings, MemberRecord self, NodeHooks hooks);

  // Does all periodic work that is due. Called about every 20 ms.
  void Tick();
  // Starts queued work for which there is capacity. Called after each batch of completed calls.
  void Dispatch();

  // Calls of callers. `token` is the bearer token, empty when the call has none; `request.team` is
  // set here.
  void Submit(const std::string& token, ServiceRequest request, AnswerCallback answer);
  // A request that a peer forwarded; the peer has checked the key.
  void SubmitForwarded(ServiceRequest request, AnswerCallback answer);
  void SubmitJob(const std::string& token, JobSpec spec, JobManager::JobCallback done);
  void GetJob(const std::string& token, const JobId& job, JobManager::JobCallback done);
  void CancelJob(const std::string& token, const JobId& job, JobManager::JobCallback done);

  // Calls of operators: plan a change, confirm the plan, read it.
  void MakePlan(ConfigChange change, IntentPlanner::PlanCallback done);
  void ConfirmPlan(const PlanId& plan, IntentPlanner::ConfirmCallback done);
  void GetPlan(const PlanId& plan, IntentPlanner::PlanCallback done);

  // Calls of peers.
  [[nodiscard]] PeerLink& peer_link() noexcept { return link_; }
  void OnPeerClaim(const ClaimKey& key, const NodeId& claimant, ClaimLog::ClaimCallback done);
  void OnPeerOutcome(const ClaimKey& key, const NodeId& claimant, ClaimOutcome outcome,
                     std::optional<CachedResponse> response);

  // Begins a planned stop: the node is no longer ready, and peers stop forwarding to it. Requests
  // of callers are still served.
  void BeginDrain();
  // Completes a planned stop when no request is left: hands over jobs, claims, tokens and workers,
  // and calls `done`. New work is refused from now on.
  void HandOver(std::function<void()> done);
  // Why this incarnation must be replaced: it was fenced, or paused for too long. Unset while it
  // may continue.
  [[nodiscard]] const std::optional<std::string>& obsolete() const noexcept { return obsolete_; }
  // True while this node can serve requests.
  [[nodiscard]] bool Ready() const;
  [[nodiscard]] bool draining() const noexcept { return draining_; }

  // State for operators, metrics and log events.
  [[nodiscard]] const FleetConfig& config() const noexcept { return config_.config(); }
  [[nodiscard]] const Membership& membership() const noexcept { return membership_; }
  [[nodiscard]] const FleetPoller& fleet() const noexcept { return poller_; }
  [[nodiscard]] const TokenEscrow& escrow() const noexcept { return escrow_; }
  [[nodiscard]] const FairScheduler& scheduler() const noexcept { return scheduler_; }
  [[nodiscard]] const WorkerRegistry& registry() const noexcept { return registry_; }
  [[nodiscard]] const MemberRecord& self() const noexcept { return self_; }
  [[nodiscard]] std::size_t active_requests() const noexcept { return requests_.active(); }
  [[nodiscard]] const RequestExecutor& requests() const noexcept { return requests_; }
  [[nodiscard]] std::size_t running_tasks() const noexcept { return running_.size(); }
  [[nodiscard]] const FleetControllers& controllers() const noexcept { return controllers_; }
  [[nodiscard]] JobManager& jobs() noexcept { return jobs_; }
  [[nodiscard]] MonotonicTime Now() const { return hooks_.clock(); }
  [[nodiscard]] Freshness freshness() const;

 private:
  [[nodiscard]] std::vector<ServiceLoad> OwnLoads(MonotonicTime now) const;
  [[nodiscard]] PeerReport MakeReport(const NodeId& receiver) const;
  [[nodiscard]] Result<TeamId> TeamOf(const std::string& token, const ServiceId& service) const;
  void OnConfigChanged(const FleetConfig& config);
  void OnMembers(const std::vector<MemberRecord>& members);
  void Register();
  void RenewOwnership(MonotonicTime now);
  void OnOwnershipReply(const OwnershipCall& call, const OwnershipReply& reply,
                        MonotonicTime sent_at);
  // True once the members were read and had time to reply. Before that, this node would take over
  // claim ranges of live members that it has not heard from yet.
  [[nodiscard]] bool KnowsFleet(MonotonicTime now) const;
  // Moves jobs off a worker that has been draining or leaving for longer than short tasks take.
  void MoveJobsOffDrainingWorkers(MonotonicTime now);
  void FenceDeadPeers(MonotonicTime now);
  // Whether this node is the one that fences the dead member and takes over from it.
  [[nodiscard]] bool IsResponsibleFor(const MemberRecord& member, MonotonicTime now) const;
  // Marks a member as fenced when its fencing is complete. After that, reclaims its tokens and
  // adopts its jobs, and finally removes its row.
  void AdvanceTakeover(const MemberRecord& member, MonotonicTime now);
  void WriteMember(const MemberRecord& member, std::optional<std::string> value);
  void LeaveFleet();

  ConfigLog::Hooks ConfigHooks();
  JobManager::Hooks JobHooks();

  DaemonSettings settings_;
  MemberRecord self_;
  NodeHooks hooks_;
  Membership membership_;
  ConfigLog config_;
  IntentPlanner intents_;
  TokenEscrow escrow_;
  NodeFencer fencer_;
  ClaimLog claims_;
  WorkerRegistry registry_;
  FairScheduler scheduler_;
  TaskTracker running_;
  RequestExecutor requests_;
  JobExecutor job_executor_;
  JobManager jobs_;
  PeerLink link_;
  FleetPoller poller_;
  FleetControllers controllers_;

  // Fenced members that this node took over from, with the time of the takeover.
  std::map<NodeId, MonotonicTime> taken_over_;
  std::optional<MonotonicTime> members_known_since_;
  std::map<VmId, MonotonicTime> draining_since_;
  bool registered_ = false;
  bool registering_ = false;
  MonotonicTime next_registration_{};
  bool draining_ = false;
  bool handing_over_ = false;
  int drains_pending_ = 0;
  std::function<void()> drained_;
  MonotonicTime last_tick_{};
  std::optional<std::string> obsolete_;
};

}  // namespace sapphirewheel
