#include "sapphirewheel/coordination/fleet_owner.h"

#include <algorithm>
#include <boost/json.hpp>
#include <utility>

#include "fleet_owner_state.h"
#include "sapphirewheel/state/json.h"

namespace sapphirewheel {
namespace {

// Pause between two reads of the feed of the registry, so that one read returns several changes.
constexpr Millis kRegistryFeedPause{50};
// Interval of reading the list of VMs, which shows when a VM is back; a move takes twice as long.
constexpr Millis kVmListInterval{700};
// Interval of evaluating the demand of pools; a move takes many times as long.
constexpr Millis kAutoscaleInterval{100};
// With more than 1,000 servers the interval is longer, because planning goes through all of them.
constexpr std::size_t kServersPlannedPerMs = 10;
constexpr Millis kLoadReportInterval{1000};
// One core-second in milli-cores times milliseconds.
constexpr std::int64_t kCoreSecond = 1'000'000;
// Time in which the first owner has to load the stored state; others may have faster links. Their
// successors may go on for as long as pages arrive, because no node may be faster.
constexpr Millis kLoadTime{4000};
// Time in which an owner has to load it however many pages arrive; longer once kLoadTime for each
// owner in a row that did not is, so that every load succeeds in the end.
constexpr Millis kMaxLoadTime{40'000};
// Time for which a node that gave the ownership back unloaded claims nothing.
constexpr Millis kLoadBackOff{8000};

}  // namespace

namespace rows {

std::string JobPart(const JobId& id) { return "j" + id.str().substr(0, 1); }

RowAddress Job(const JobId& id) { return {kJobs, JobPart(id), id.str()}; }
RowAddress Progress(const JobId& id) { return {kProgress, kOwnerPart, id.str()}; }
RowAddress Owner() { return {kFleet, kOwnerPart, kOwner}; }
RowAddress Owned(const std::string& key) { return {kOwned, kOwnerPart, key}; }

}  // namespace rows

std::string StartHorizon::Encode() const {
  boost::json::object row;
  row["token"] = static_cast<std::int64_t>(token.count());
  row["revision"] = static_cast<std::int64_t>(revision.count());
  return boost::json::serialize(row);
}

std::optional<StartHorizon> StartHorizon::Decode(std::string_view text) {
  const auto row = ParseObject(text);
  if (!row) return std::nullopt;
  constexpr std::int64_t kMax = std::int64_t{1} << 53;
  const auto token = RequireInt(row.value(), "token", 1, kMax);
  const auto revision = RequireInt(row.value(), "revision", 0, kMax);
  if (!token || !revision) return std::nullopt;
  return StartHorizon{Epoch(static_cast<std::uint64_t>(token.value())),
                      Revision(static_cast<std::uint64_t>(revision.value()))};
}

std::string WaitingCounts::Encode() const {
  boost::json::object row;
  row["at"] = at.count();
  boost::json::object counts;
  for (const auto& [queue, n] : queues) counts[queue.str()] = n;
  row["queues"] = std::move(counts);
  return boost::json::serialize(row);
}

std::optional<WaitingCounts> WaitingCounts::Decode(std::string_view text) {
  const auto row = ParseObject(text);
  if (!row) return std::nullopt;
  WaitingCounts counts;
  counts.at = StoreClock(IntField(row.value(), "at"));
  const auto* queues = row.value().if_contains("queues");
  if (queues == nullptr || !queues->is_object()) return std::nullopt;
  for (const auto& [name, n] : queues->get_object()) {
    if (n.is_int64()) counts.queues[QueueId(std::string(name))] = static_cast<int>(n.get_int64());
  }
  return counts;
}

void FleetOwner::Impl::ListVms() {
  if (ports.vms == nullptr || vm_list_in_flight || ports.now() < next_vm_list) return;
  vm_list_in_flight = true;
  const MonotonicTime requested = ports.now();
  const bool newer_than_roster = requested >= taken_at + kMaxVmListAge;
  ports.vms->List(
      Guard<const VmListReply&>([this, requested, newer_than_roster](const VmListReply& reply) {
        vm_list_in_flight = false;
        next_vm_list = ports.now() + kVmListInterval;
        if (!newer_than_roster) next_vm_list = std::min(next_vm_list, taken_at + kMaxVmListAge);
        if (!reply.complete) return;
        if (newer_than_roster) {
          dispatcher->OnVmList(reply.vms, requested - kMaxVmListAge, ports.now());
        }
        if (!std::exchange(fences_queued, true) && lease.token() > Epoch(1)) {
          fences.Queue(reply.vms, dispatcher->Backends());
        }
        maintenance->SetVms(reply.vms, requested, ports.now());
        autoscaler->SetVms(reply.vms, ports.now());
      }));
}

// An order of an earlier owner may be carried out late.
void FleetOwner::Impl::SendFence() {
  if (fences.empty()) return;
  const auto fence = fences.Take(dispatcher->Backends());
  if (!fence) return;
  // The fence itself may be carried out late, and must not move the VM back from a later pool.
  const VmId vm = fence->first;
  autoscaler->Hold(vm, ports.now() + kMaxVmOrderDelay);
  ports.vms->Move(vm, fence->second, lease.permit(), OnVmOrder([this, vm](VmOrderOutcome it) {
                    if (it != VmOrderOutcome::kUnknown) return;
                    autoscaler->Hold(vm, ports.now() + kMaxVmOrderDelay);
                  }));
}

std::function<void(VmOrderOutcome)> FleetOwner::Impl::OnVmOrder(
    std::function<void(VmOrderOutcome)> handle_outcome) {
  ++open_vm_orders;
  return Guard<VmOrderOutcome>(
      [this, handle_outcome = std::move(handle_outcome)](VmOrderOutcome outcome) {
        --open_vm_orders;
        if (outcome == VmOrderOutcome::kFenced) lease.StepDown();
        if (handle_outcome) handle_outcome(outcome);
      });
}

Dispatcher::Hooks FleetOwner::Impl::DispatcherHooks() {
  Dispatcher::Hooks hooks;
  hooks.wall_clock = ports.wall_clock;
  hooks.report = ports.on_decision;
  hooks.start = [this](const StartOrder& order) {
    ports.backends.Start(order, lease.permit(),
                         Guard<const OrderReply&>([this, order](const OrderReply& it) {
                           dispatcher->OnStart(order, it, ports.now());
                         }));
  };
  hooks.stop = [this](const StopOrder& order) {
    ports.backends.Stop(order, lease.permit(),
                        Guard<const OrderReply&>([this, order](const OrderReply& it) {
                          dispatcher->OnStop(order, it, ports.now());
                        }));
  };
  hooks.poll = [this](const PollOrder& order) {
    const MonotonicTime sent = ports.now();
    ports.backends.Poll(order, lease.permit(),
                        Guard<const PollReply&>([this, order, sent](const PollReply& it) {
                          dispatcher->OnPoll(order, it, sent, ports.now());
                        }));
  };
  hooks.pace = [this](const PaceOrder& order) {
    ports.backends.Pace(order, lease.permit(),
                        Guard<const OrderReply&>([this, order](const OrderReply& it) {
                          dispatcher->OnPace(order, it, ports.now());
                        }));
  };
  if (ports.advice != nullptr) {
    hooks.advise = [this](const AdviceOrder& order) {
      ports.advice->Advise(order, Guard<const AdviceReply&>([this, order](const AdviceReply& it) {
                             dispatcher->OnAdvice(order, it, ports.now());
                           }));
    };
  }
  return hooks;
}

MaintenanceRunner::Hooks FleetOwner::Impl::MaintenanceHooks() {
  MaintenanceRunner::Hooks hooks;
  hooks.maintain = [this](const VmId& vm, std::int64_t wave) {
    ports.vms->Maintain(vm, wave, lease.permit(), OnVmOrder([this, vm, wave](VmOrderOutcome it) {
                          maintenance->OnMaintain(vm, wave, it, ports.now());
                        }));
  };
  hooks.evacuate = [this](const BackendId& id, bool on) { dispatcher->SetEvacuating(id, on); };
  hooks.avoid = [this](const BackendId& id, bool on) { dispatcher->SetAvoided(id, on); };
  hooks.is_idle = [this](const BackendId& id) { return dispatcher->IsIdle(id); };
  hooks.ended = [this](const BackendId& id) { dispatcher->BackendEnded(id, ports.now()); };
  hooks.report = [this](std::int64_t wave, const VmId& vm, const std::string& what) {
    ReportEvent(NodeEvent::kWave, std::to_string(wave) + " " + vm.str() + " " + what);
  };
  return hooks;
}

PoolAutoscaler::Hooks FleetOwner::Impl::AutoscalerHooks() {
  PoolAutoscaler::Hooks hooks;
  hooks.move = [this](const VmId& vm, const PoolId& pool) {
    ports.vms->Move(vm, pool, lease.permit(), OnVmOrder([this, vm](VmOrderOutcome it) {
                      autoscaler->OnMove(vm, it, ports.now());
                    }));
  };
  hooks.evacuate = [this](const BackendId& id, bool on) { dispatcher->SetEvacuating(id, on); };
  hooks.ended = [this](const BackendId& id) { dispatcher->BackendEnded(id, ports.now()); };
  hooks.report = [this](const std::string& what) { ReportEvent(NodeEvent::kVmMoved, what); };
  return hooks;
}

void FleetOwner::Impl::ReportLoad(const std::map<PoolId, Dispatcher::PoolLoad>& loads,
                                  MonotonicTime now) {
  if (now < next_load_report) return;
  next_load_report = now + kLoadReportInterval;
  const auto core_seconds = [](std::int64_t work) { return std::to_string(work / kCoreSecond); };
  for (const auto& it : autoscaler->Status()) {
    const auto found = loads.find(it.pool);
    const Dispatcher::PoolLoad load = found == loads.end() ? Dispatcher::PoolLoad{} : found->second;
    ReportEvent(NodeEvent::kFleetLoad,
                "pool=" + it.pool.str() + " wanted=" + std::to_string(it.wanted) + " present=" +
                    std::to_string(it.present) + " incoming=" + std::to_string(it.incoming) +
                    " running=" + std::to_string(load.running_cpu) +
                    " mcpu overdue=" + std::to_string(load.overdue_running_cpu) +
                    " mcpu waiting=" + core_seconds(load.waiting_work) +
                    " core-s overdue=" + core_seconds(load.overdue_work) + " core-s");
  }
  const Dispatcher::PlacementWork& work = dispatcher->placement_work();
  ReportEvent(NodeEvent::kFleetLoad,
              "placement rounds=" + std::to_string(work.rounds - reported_work.rounds) +
                  " candidates=" + std::to_string(work.candidates - reported_work.candidates) +
                  " servers-compared=" +
                  std::to_string(work.servers_compared - reported_work.servers_compared));
  reported_work = work;
}

void FleetOwner::Impl::ReportContact(MonotonicTime now) {
  if (now < next_contact_report) return;
  next_contact_report = now + kContactReportInterval;
  const auto status = dispatcher->contact_status();
  if (status.unasked > 0) {
    if (!contact_reported_at) contact_reported_at = now;
    ReportEvent(NodeEvent::kContacting, "not polled yet=" + std::to_string(status.unasked) +
                                            " round=" + std::to_string(status.round_size));
  } else if (contact_reported_at) {
    ReportEvent(NodeEvent::kContacted,
                "round=" + std::to_string(status.round_size) + " " +
                    std::to_string((now - *contact_reported_at).count()) +
                    " ms after the first report of servers that were not polled yet");
    contact_reported_at.reset();
  }
}

// Releases the ownership to the node that asked for it, once no order to a VM is open: until then
// work is placed.
void FleetOwner::Impl::FollowRequest() {
  if (releasing || !lease.asked_to_release() || open_vm_orders > 0) return;
  ReportEvent(NodeEvent::kOwnershipRequested,
              "released to " + lease.row()->successor.str() + " which asked for it");
  releasing = true;
}

bool FleetOwner::Impl::LoadsTooLong(MonotonicTime now) const {
  const int loads_failed = lease.row()->loads_failed;
  const Millis passed = now - taken_at;
  if (passed > std::max(kMaxLoadTime, kLoadTime * loads_failed)) return true;
  const bool progress = loads_failed > 1 && now - page_read_at < kLoadTime;
  return passed > kLoadTime * loads_failed && !progress;
}

void FleetOwner::Impl::Tick(MonotonicTime now) {
  RunScheduled(now);
  FollowRequest();
  if (!running) {
    if (!loading && now >= retry_load) Load();
    if (!releasing && LoadsTooLong(now)) {
      ReportEvent(NodeEvent::kOwnershipLost,
                  "not loaded in " + std::to_string((now - taken_at).count()) + " ms; given back");
      releasing = true;
      lease.BackOff(now + kLoadBackOff);
    }
    Commit();
    return;
  }
  // Before the orders of this tick, which may be many.
  if (lease.RenewalDue(now)) Commit();
  const bool may_order = lease.MayAct(now) && !releasing;
  dispatcher->Tick(now, may_order);
  ReportEvacuations();
  if (dispatcher->fenced()) {
    ReportEvent(NodeEvent::kOwnershipLost, "a backend server has seen a higher fencing token");
    lease.StepDown();
    return;
  }
  ReportContact(now);
  PollFeed(
      jobs_feed, [this](const StoredRow& row) { ApplyJobRow(row); }, [this] { ResyncJobs(); });
  PollFeed(
      registry_feed, [this](const StoredRow& row) { ApplyBackendRow(row); },
      [this] { ResyncRegistry(); });
  if (may_order && ports.vms != nullptr && !lease.asked_to_release()) {
    ListVms();
    SendFence();
    if (now >= next_autoscale) {
      const auto backends = dispatcher->Backends();
      next_autoscale =
          now + std::max(kAutoscaleInterval, Millis(backends.size() / kServersPlannedPerMs));
      const auto loads = dispatcher->Loads();
      // Without the store, demand is not known, and the next owner would wait for the leases of
      // backend servers that it does not know to have ended.
      if (lease.RenewedRecently(now)) {
        if (maintenance->Active()) maintenance->Tick(backends, now);
        autoscaler->Tick(
            backends, loads, [this](const VmId& vm) { return maintenance->IsPending(vm); }, now);
      }
      ReportLoad(loads, now);
    }
    for (const auto& it : maintenance->TakeChanges()) {
      wave_rows[it.wave] = it.progress;
      const bool first = known_waves.insert(it.wave).second;
      if (it.completed || first) status_writes[it.wave] = it.completed;
    }
    WriteWaveStatus();
  }
  if (may_order) {
    RemoveEndedJobs();
    RemoveExpiredJobs();
    RemoveExpiredMarks();
  }
  Commit();
}

FleetOwner::FleetOwner(Settings settings, FleetPorts ports, FleetLease& lease, Millis store_delay)
    : impl_(std::make_shared<Impl>(settings, std::move(ports), lease, store_delay)) {
  impl_->registry_feed.table = impl_->ports.codec.RegistryTable();
  impl_->registry_feed.pause = kRegistryFeedPause;
}

FleetOwner::~FleetOwner() = default;

void FleetOwner::SetConfig(std::shared_ptr<const DispatchConfig> config) {
  impl_->config = config;
  if (impl_->autoscaler) impl_->autoscaler->SetConfig(config);
  if (impl_->dispatcher) impl_->dispatcher->SetConfig(std::move(config));
}

void FleetOwner::OnStoreSilent() { impl_->DoubtFeeds(); }

void FleetOwner::AddWave(const WaveOrder& order) {
  impl_->waves[order.number] = order;
  if (impl_->maintenance) {
    impl_->maintenance->AddWave(order, impl_->wave_progress[order.number], impl_->ports.now());
  }
}

void FleetOwner::Tick(MonotonicTime now) { impl_->Tick(now); }

void FleetOwner::BeginRelease() { impl_->releasing = true; }

bool FleetOwner::running() const noexcept { return impl_->running; }

std::map<QueueId, int> FleetOwner::Waiting() const {
  return impl_->dispatcher ? impl_->dispatcher->Waiting() : std::map<QueueId, int>{};
}

std::map<PoolId, int> FleetOwner::Deferred() const {
  return impl_->dispatcher ? impl_->dispatcher->Deferred() : std::map<PoolId, int>{};
}

}  // namespace sapphirewheel
