#include "node.h"

#include <algorithm>
#include <utility>

#include "node_settings.h"
#include "sapphirewheel/coordination/rendezvous.h"
#include "sapphirewheel/state/schema.h"

namespace sapphirewheel {
namespace {

constexpr Millis kRegistrationRetry{500};
// Shorter than the time that a maintenance wave waits for a draining VM.
constexpr Millis kMoveJobsAfter{3000};
constexpr Millis kRetryAfterDrain{1000};
// How long the row of a fenced node is kept, so that rebooted workers are told of the fence again.
constexpr Millis kFencedRowRetention{3600 * 1000};

Error DrainingError() {
  return Error{ErrorKind::kDraining, "this node is stopping", "send the request to another node",
               RunState::kNotRun, kRetryAfterDrain};
}

}  // namespace

Node::Node(const DaemonSettings& settings, MemberRecord self, NodeHooks hooks)
    : settings_(settings),
      self_(std::move(self)),
      hooks_(std::move(hooks)),
      membership_(MembershipSettings(settings_, self_)),
      config_(ConfigSettings(settings_), ConfigHooks()),
      intents_({hooks_.table, hooks_.random,
                [this] {
                  return FleetInventory{poller_.vms(), poller_.assignments()};
                }},
               config_),
      escrow_(EscrowSettings(self_.node),
              {hooks_.table, hooks_.random, hooks_.clock,
               // Queued work is retried after each batch of calls anyway.
               [](const TeamId&) {}}),
      fencer_(FencerSettings(settings_), {hooks_.workers.fence, [](const NodeId&) {}}),
      claims_(ClaimSettings(settings_, self_.node), {hooks_.table, hooks_.random, hooks_.clock}),
      registry_(RegistrySettings(settings_, self_)),
      scheduler_(SchedulerSettings(settings_)),
      running_({Millis(500), settings_.list_lag},
               {registry_, escrow_, scheduler_, hooks_.workers, hooks_.clock}),
      requests_({self_.node, self_.data_centre},
                {scheduler_, running_, registry_, escrow_, claims_, membership_, config_,
                 hooks_.workers, hooks_.peers, hooks_.clock, hooks_.random}),
      job_executor_({self_.node},
                    {scheduler_, running_, registry_, config_, hooks_.workers, hooks_.clock}),
      jobs_(JobSettings(self_.node), JobHooks()),
      link_({membership_, config_, hooks_.peers, hooks_.clock,
             [this](const NodeId& receiver) { return MakeReport(receiver); }}),
      poller_({settings_.fleet_poll_interval, settings_.assignment_poll_interval},
              {hooks_.table, hooks_.list_vms,
               [this](const VmList& list) {
                 const MonotonicTime now = hooks_.clock();
                 membership_.OnVmList(list, now);
                 registry_.OnVmList(list, now);
                 fencer_.OnVmList(list, now);
               },
               [this](const auto& assignments) { registry_.OnAssignments(assignments); },
               [this](const auto& members) { OnMembers(members); }}),
      controllers_(ControllerSettings(settings_, self_.node),
                   {membership_, config_, poller_, hooks_.table, hooks_.workers, hooks_.clock,
                    hooks_.random, hooks_.reboot, [this] { return OwnLoads(hooks_.clock()); }}),
      last_tick_(hooks_.clock()) {
  job_executor_.Connect(jobs_);
  scheduler_.SetLimitAdmits(
      [this](const TeamId& team, Slots slots) { return escrow_.Free(team) >= slots; });
}

ConfigLog::Hooks Node::ConfigHooks() {
  return {hooks_.table, hooks_.random, hooks_.clock,
          [this](const FleetConfig& config) { OnConfigChanged(config); }};
}

JobManager::Hooks Node::JobHooks() {
  JobManager::Hooks hooks;
  hooks.table = hooks_.table;
  hooks.random = hooks_.random;
  hooks.clock = hooks_.clock;
  hooks.enqueue = [this](const JobRecord& job, const TaskId& task) {
    return job_executor_.Enqueue(job, task);
  };
  hooks.stop = [this](const TaskId& task) { job_executor_.Stop(task); };
  hooks.acknowledge = [this](const TaskId& task) { job_executor_.Acknowledge(task); };
  hooks.could_ever_fit = [this](const ServiceId& service, Slots slots) {
    return registry_.CouldEverFit(service, slots, config_.config());
  };
  hooks.has_worker = [this](const ServiceId& service, Slots slots) {
    const auto owned = registry_.Owned(hooks_.clock());
    const auto& pools = config_.config().pools;
    return std::any_of(owned.begin(), owned.end(), [&](const WorkerView& worker) {
      const auto pool = pools.find(worker.pool);
      if (pool == pools.end() || worker.quarantined || worker.slots < slots) return false;
      const auto& services = pool->second.services;
      return std::find(services.begin(), services.end(), service) != services.end();
    });
  };
  return hooks;
}

void Node::OnConfigChanged(const FleetConfig& config) {
  escrow_.OnConfig(config);
  scheduler_.OnConfig(config);
}

void Node::OnMembers(const std::vector<MemberRecord>& members) {
  membership_.OnMemberTable(members, hooks_.clock());
  bool listed = false;
  for (const MemberRecord& member : members) {
    if (member.node != self_.node) {
      AdvanceTakeover(member, hooks_.clock());
      continue;
    }
    listed = true;
    if (member.fenced) obsolete_ = "another node fenced this one because it did not answer";
  }
  if (listed && !members_known_since_) members_known_since_ = hooks_.clock();
  if (!listed && registered_ && !draining_) registered_ = false;
}

void Node::Register() {
  const MonotonicTime now = hooks_.clock();
  if (registered_ || registering_ || draining_ || now < next_registration_) return;
  registering_ = true;
  next_registration_ = now + kRegistrationRetry;
  Transaction tx;
  tx.attempt = AttemptId(self_.node.str() + "/register/" + std::to_string(hooks_.random()));
  tx.writes.push_back({schema::MemberRow(self_.node), EncodeMember(self_)});
  hooks_.table.transact(std::move(tx), [this](const TransactResult& result) {
    registering_ = false;
    registered_ = result.outcome == TransactOutcome::kCommitted;
  });
}

Freshness Node::freshness() const {
  Freshness freshness;
  freshness.max_age = settings_.key_freshness;
  freshness.as_of = config_.platform_as_of();
  const auto by_peers = membership_.FreshAsOf(config_.version(), hooks_.clock());
  if (by_peers && (!freshness.as_of || *by_peers > *freshness.as_of)) freshness.as_of = by_peers;
  return freshness;
}

bool Node::Ready() const { return registered_ && !draining_ && freshness().as_of.has_value(); }

std::vector<ServiceLoad> Node::OwnLoads(MonotonicTime now) const {
  std::vector<ServiceLoad> loads = registry_.Loads(config_.config(), now);
  for (ServiceLoad& load : loads) {
    load.queued_urgent = scheduler_.Queued(load.service, true);
    load.queued = scheduler_.Queued(load.service, false) + load.queued_urgent;
  }
  return loads;
}

PeerReport Node::MakeReport(const NodeId& receiver) const {
  const MonotonicTime now = hooks_.clock();
  PeerReport report;
  report.node = self_.node;
  report.vm = self_.vm;
  report.data_centre = self_.data_centre;
  report.peer_address = self_.peer_address;
  report.http_address = self_.http_address;
  report.leaving = draining_;
  report.config_version = config_.version();
  report.loads = OwnLoads(now);
  for (const auto& [team, change] : config_.config().teams) {
    const Slots free = escrow_.Free(team);
    if (free.count() > 0) report.tokens.push_back({team, free});
  }
  report.digests = membership_.Digests(config_.version(), now, receiver);
  report.digests_hash = membership_.DigestsHash();
  return report;
}

Result<TeamId> Node::TeamOf(const std::string& token, const ServiceId& service) const {
  return Authenticate(token, service, config_.config(), freshness(), hooks_.clock());
}

void Node::Submit(const std::string& token, ServiceRequest request, AnswerCallback answer) {
  if (handing_over_) return answer(DrainingError());
  auto team = TeamOf(token, request.service);
  if (!team) return answer(team.error());
  request.team = team.value();
  requests_.Submit(std::move(request), std::move(answer));
}

void Node::SubmitForwarded(ServiceRequest request, AnswerCallback answer) {
  if (draining_) return answer(DrainingError());
  requests_.Submit(std::move(request), std::move(answer));
}

void Node::SubmitJob(const std::string& token, JobSpec spec, JobManager::JobCallback done) {
  auto team = TeamOf(token, spec.service);
  if (!team) return done(team.error());
  if (draining_) return done(DrainingError());
  spec.team = team.value();
  jobs_.Submit(std::move(spec), std::move(done));
}

void Node::GetJob(const std::string& token, const JobId& job, JobManager::JobCallback done) {
  auto team = TeamOf(token, ServiceId());
  if (!team) return done(team.error());
  jobs_.Get(team.value(), job, std::move(done));
}

void Node::CancelJob(const std::string& token, const JobId& job, JobManager::JobCallback done) {
  auto team = TeamOf(token, ServiceId());
  if (!team) return done(team.error());
  jobs_.Cancel(team.value(), job, std::move(done));
}

void Node::MakePlan(ConfigChange change, IntentPlanner::PlanCallback done) {
  intents_.MakePlan(std::move(change), std::move(done));
}

void Node::ConfirmPlan(const PlanId& plan, IntentPlanner::ConfirmCallback done) {
  intents_.Confirm(plan,
                   [this, done = std::move(done)](Result<Plan> result, std::optional<Plan> fresh) {
                     if (result) {
                       link_.PushConfig();
                       poller_.RefreshAssignments();
                     }
                     done(std::move(result), std::move(fresh));
                   });
}

void Node::GetPlan(const PlanId& plan, IntentPlanner::PlanCallback done) {
  intents_.GetPlan(plan, std::move(done));
}

void Node::OnPeerClaim(const ClaimKey& key, const NodeId& claimant, ClaimLog::ClaimCallback done) {
  claims_.Claim(key, claimant, std::move(done));
}

void Node::OnPeerOutcome(const ClaimKey& key, const NodeId& claimant, ClaimOutcome outcome,
                         std::optional<CachedResponse> response) {
  claims_.RecordOutcome(key, claimant, outcome, std::move(response));
}

void Node::RenewOwnership(MonotonicTime now) {
  for (const OwnershipCall& call : registry_.CallsDue(now)) {
    hooks_.workers.ownership(call, [this, call, now](const OwnershipReply& reply) {
      OnOwnershipReply(call, reply, now);
    });
  }
}

void Node::OnOwnershipReply(const OwnershipCall& call, const OwnershipReply& reply,
                            MonotonicTime sent_at) {
  registry_.OnReply(call.vm, reply, sent_at);
  job_executor_.OnWorkerAnswer(call.vm, reply.outcome);
  if (reply.outcome == OwnershipOutcome::kFenced) {
    obsolete_ = "worker " + call.vm.str() + " has fenced this node";
  }
  if (reply.outcome != OwnershipOutcome::kGranted) return;
  fencer_.OnWorkerBoot(call.vm, reply.report.boot, hooks_.clock());
  job_executor_.OnWorkerReport(call.vm, reply.report, sent_at);
}

bool Node::KnowsFleet(MonotonicTime now) const {
  return members_known_since_ && now - *members_known_since_ >= settings_.suspect_after;
}

void Node::MoveJobsOffDrainingWorkers(MonotonicTime now) {
  for (const WorkerView& worker : registry_.Owned(now)) {
    const VmId& vm = worker.info.vm;
    const auto it = poller_.assignments().find(vm);
    const bool draining =
        worker.info.phase == VmPhase::kLeaving ||
        (it != poller_.assignments().end() && it->second.phase == AssignmentPhase::kDraining);
    if (!draining) {
      draining_since_.erase(vm);
    } else if (now - draining_since_.try_emplace(vm, now).first->second > kMoveJobsAfter) {
      job_executor_.MoveFrom(vm);
    }
  }
}

void Node::FenceDeadPeers(MonotonicTime now) {
  for (const MemberRecord& member : membership_.Dead(now)) {
    if (!fencer_.IsFencing(member.node) && IsResponsibleFor(member, now)) {
      fencer_.Fence(member, now);
    }
  }
}

bool Node::IsResponsibleFor(const MemberRecord& member, MonotonicTime now) const {
  if (member.data_centre != self_.data_centre) return false;
  const auto live = membership_.LiveNodesInDataCentre(now);
  return RendezvousOwner(member.node.str(), live) == self_.node;
}

void Node::WriteMember(const MemberRecord& member, std::optional<std::string> value) {
  Transaction tx;
  tx.attempt = AttemptId(self_.node.str() + "/member/" + std::to_string(hooks_.random()));
  tx.checks.push_back({schema::MemberRow(member.node), member.revision});
  tx.writes.push_back({schema::MemberRow(member.node), std::move(value)});
  // The next read of the members shows whether the write took effect; until then it is repeated.
  hooks_.table.transact(std::move(tx), [](const TransactResult&) {});
}

void Node::AdvanceTakeover(const MemberRecord& member, MonotonicTime now) {
  if (!IsResponsibleFor(member, now)) return;
  if (!member.fenced) {
    if (!fencer_.IsComplete(member.node)) return;
    MemberRecord fenced = member;
    fenced.fenced = true;
    return WriteMember(member, EncodeMember(fenced));
  }
  // Also after the responsible node was restarted, workers that reboot must be told of the fence.
  if (!fencer_.IsFencing(member.node) && !fencer_.IsComplete(member.node)) {
    fencer_.Fence(member, now);
  }
  const auto [it, inserted] = taken_over_.try_emplace(member.node, now);
  if (inserted) {
    escrow_.Reclaim(member.node, [](const Result<void>&) {});
    jobs_.AdoptFrom(member.node);
  } else if (now - it->second > kFencedRowRetention) {
    WriteMember(member, std::nullopt);
  }
}

void Node::Dispatch() {
  if (obsolete_) return;
  const MonotonicTime now = hooks_.clock();
  scheduler_.Dispatch(
      [this](const WorkItem& item) {
        return item.is_job ? job_executor_.TryPlace(item) : requests_.TryPlace(item);
      },
      [this, now](const ServiceId& service) {
        for (const ServiceLoad& load : registry_.Loads(config_.config(), now)) {
          if (load.service == service) return load.free_slots;
        }
        return Slots(0);
      },
      now);
  for (const WorkItem& item : scheduler_.TakeExpired(now)) requests_.OnExpired(item);
}

void Node::Tick() {
  const MonotonicTime now = hooks_.clock();
  if (now - last_tick_ > settings_.pause_limit && !draining_) {
    obsolete_ = "the process was paused for " + std::to_string((now - last_tick_).count()) + " ms";
  }
  last_tick_ = now;
  if (obsolete_) return;
  Register();
  poller_.Tick(now);
  config_.Tick(now);
  link_.Tick(now);
  const auto local = membership_.LiveNodesInDataCentre(now);
  registry_.OnLiveNodes(local);
  if (KnowsFleet(now)) claims_.OnLiveNodes(membership_.LiveNodes(now));
  RenewOwnership(now);
  FenceDeadPeers(now);
  fencer_.Tick(now);
  escrow_.Tick(now);
  claims_.Tick(now);
  jobs_.Tick(now);
  MoveJobsOffDrainingWorkers(now);
  job_executor_.Tick(now);
  running_.Tick(now);
  requests_.Tick(now);
  membership_.SetOwnLoads(OwnLoads(now));
  if (!handing_over_) controllers_.Tick(now);
  Dispatch();
}

void Node::BeginDrain() {
  draining_ = true;
  membership_.SetLeaving();
  job_executor_.CheckpointAll();
}

void Node::HandOver(std::function<void()> done) {
  if (handing_over_) return;
  handing_over_ = true;
  drained_ = std::move(done);
  drains_pending_ = 3;
  auto one_done = [this] {
    if (--drains_pending_ == 0) LeaveFleet();
  };
  jobs_.Drain(one_done);
  claims_.Drain(one_done);
  escrow_.Drain(one_done);
  registry_.ReleaseAll();
  controllers_.Resign();
}

void Node::LeaveFleet() {
  if (running_.size() > 0) {
    // Tokens of tasks that may still run stay assigned to this node. Its row is kept, so that a
    // peer fences the node before it reclaims them.
    if (auto done = std::exchange(drained_, {})) done();
    return;
  }
  Transaction tx;
  tx.attempt = AttemptId(self_.node.str() + "/leave/" + std::to_string(hooks_.random()));
  tx.writes.push_back({schema::MemberRow(self_.node), std::nullopt});
  hooks_.table.transact(std::move(tx), [this](const TransactResult&) {
    if (auto done = std::exchange(drained_, {})) done();
  });
}

}  // namespace sapphirewheel
