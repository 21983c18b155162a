#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "fleet_duties.h"
#include "fleet_watch.h"
#include "job_executor.h"
#include "peer_link.h"
#include "request_executor.h"
#include "sapphirewheel/coordination/intent_planner.h"
#include "sapphirewheel/coordination/key_ring.h"
#include "sapphirewheel/coordination/node_fencer.h"
#include "settings.h"

namespace sapphirewheel {

// All I/O of a node. Callbacks come on the core thread.
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

// One incarnation of a daemon: joins the coordination parts. Driven by one thread; it has no
// threads, sockets or clocks of its own.
class Node {
 public:
  // `self.node` is unique to this incarnation; the addresses are those that others use.
  Node(const DaemonSettings& settings, MemberRecord self, NodeHooks hooks);

  // Runs everything that is due. Called about every 20 ms.
  void Tick();
  // Starts waiting work that fits. Called after each batch of completed calls.
  void Dispatch();

  // Work of callers. `token` is the bearer token, empty when none came; `request.team` is set here.
  void Submit(const std::string& token, ServiceRequest request, AnswerCallback answer);
  // Work that a peer forwarded; the peer checked the key.
  void SubmitForwarded(ServiceRequest request, AnswerCallback answer);
  void SubmitJob(const std::string& token, JobSpec spec, JobManager::JobCallback done);
  void GetJob(const std::string& token, const JobId& job, JobManager::JobCallback done);
  void CancelJob(const std::string& token, const JobId& job, JobManager::JobCallback done);

  // The operators' loop.
  void MakePlan(ConfigChange change, IntentPlanner::PlanCallback done);
  void ConfirmPlan(const PlanId& plan, IntentPlanner::ConfirmCallback done);
  void GetPlan(const PlanId& plan, IntentPlanner::PlanCallback done);

  // Calls of peers.
  [[nodiscard]] PeerLink& peer_link() noexcept { return link_; }
  void OnPeerClaim(const ClaimKey& key, const NodeId& claimant, ClaimLog::ClaimCallback done);
  void OnPeerOutcome(const ClaimKey& key, const NodeId& claimant, ClaimOutcome outcome,
                     std::optional<KeptAnswer> answer);

  // Begins a planned stop: not ready from now on, and peers forward nothing more here. Requests of
  // callers are still served.
  void BeginDrain();
  // Ends a planned stop once no request is left: returns jobs, claims, tokens and workers. New work
  // is refused from now on.
  void HandOver(std::function<void()> done);
  // Why this incarnation may not go on: it was fenced, or paused for too long.
  [[nodiscard]] const std::optional<std::string>& obsolete() const noexcept { return obsolete_; }
  // True when this node can serve requests.
  [[nodiscard]] bool Ready() const;
  [[nodiscard]] bool draining() const noexcept { return draining_; }

  // Views for operators.
  [[nodiscard]] const FleetConfig& config() const noexcept { return config_.config(); }
  [[nodiscard]] const Membership& membership() const noexcept { return membership_; }
  [[nodiscard]] const FleetWatch& fleet() const noexcept { return watch_; }
  [[nodiscard]] const TokenEscrow& escrow() const noexcept { return escrow_; }
  [[nodiscard]] const FairScheduler& scheduler() const noexcept { return scheduler_; }
  [[nodiscard]] const WorkerRegistry& registry() const noexcept { return registry_; }
  [[nodiscard]] const MemberRecord& self() const noexcept { return self_; }
  [[nodiscard]] std::size_t active_requests() const noexcept { return requests_.active(); }
  [[nodiscard]] const RequestExecutor& requests() const noexcept { return requests_; }
  [[nodiscard]] std::size_t running_tasks() const noexcept { return running_.size(); }
  [[nodiscard]] const FleetDuties& duties() const noexcept { return duties_; }
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
                        MonotonicTime asked);
  // True once the members were read and had time to answer. Before that this node would take over
  // claim ranges of members that it has not heard yet.
  [[nodiscard]] bool KnowsFleet(MonotonicTime now) const;
  // Jobs leave a worker that drains or leaves for longer than short tasks need to end.
  void MoveJobsOffDrainingWorkers(MonotonicTime now);
  void FenceDeadPeers(MonotonicTime now);
  // Whether this node is the one that fences a dead member and takes over from it.
  [[nodiscard]] bool IsResponsibleFor(const MemberRecord& member, MonotonicTime now) const;
  // Marks a member as fenced when its fencing is complete; then reclaims its tokens, adopts its
  // jobs and finally removes its row.
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
  FleetWatch watch_;
  FleetDuties duties_;

  // Fenced members that this node took over from, with the time.
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
