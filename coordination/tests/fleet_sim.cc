#include <cstdio>
#include <cstdlib>

#include "fleet_sim_ports.h"

namespace sapphirewheel::testing {

FleetSim::FleetSim(Settings settings)
    : settings_(settings), random_(settings.seed), codec_(std::make_unique<SimCodec>(*this)) {
  config.version = ConfigVersion(1);
  for (int n = 0; n < settings.pools; ++n) {
    const PoolId pool("pool" + std::to_string(n));
    config.pools.push_back({pool, false, false});
    QueuePolicy queue;
    queue.id = QueueId("queue" + std::to_string(n));
    queue.host = "host";
    queue.path_prefix = "/q" + std::to_string(n) + "/";
    queue.pool = pool;
    queue.open = settings.team_cpu_limit == 0;
    queue.attempts = kAttempts;
    queue.stretch = 2;
    queue.target_latency = Millis(500);
    config.queues.push_back(queue);
    for (int k = 0; k < settings.backends_per_pool; ++k) {
      Backend backend;
      backend.report.id = BackendId("b" + std::to_string(n) + "-" + std::to_string(k));
      backend.report.pool = pool;
      backend.report.address = "10.0.0.1:1";
      backend.report.capacity = settings.capacity;
      backend.report.data_centre = DataCentreId("dc" + std::to_string(k % settings.data_centres));
      backend.report.labels = {"a", "rack" + std::to_string(k / 2)};
      backend.report.started_at = UnixMillis(kEpoch);
      backends[backend.report.id] = backend;
    }
  }
  if (settings.team_cpu_limit > 0) {
    constexpr double kShare = 1000;
    config.teams = {
        TeamPolicy{TeamId("team"), {"key"}, kShare, Resources{settings.team_cpu_limit, 0, 0}}};
  }
  if (settings.spare_vms > 0) config.pools.push_back({PoolId("spare"), false, true});
  Put({"operator", "", "config"}, "config");
  for (auto& [id, backend] : backends) RegisterBackend(backend);
  nodes.resize(settings.nodes);
  for (int n = 0; n < settings.nodes; ++n) {
    nodes[n].name = "node" + std::to_string(n);
    StartNode(n);
  }
  At(kTickMs, [this] { TickNodes(); });
}

FleetSim::~FleetSim() = default;

void FleetSim::At(std::int64_t at, std::function<void()> task) {
  events_.push(Event{std::max(at, now_), order_++, std::move(task)});
}

void FleetSim::RunUntil(std::int64_t at) {
  while (!events_.empty() && events_.top().at <= at) {
    Event event = events_.top();
    events_.pop();
    now_ = event.at;
    event.task();
  }
  now_ = at;
}

void FleetSim::Trace(int node, const std::string& what) const {
  static const bool enabled = std::getenv("FLEET_TRACE") != nullptr;
  if (enabled) {
    std::printf("%lld node%d %s\n", static_cast<long long>(now_), node, what.c_str());
  }
}

void FleetSim::Violate(const std::string& what) {
  Trace(-1, "violation " + what);
  violations_.push_back(std::to_string(now_) + " ms: " + what);
}

void FleetSim::StartNode(int n) {
  Node& node = nodes[n];
  node.alive = true;
  node.frozen = false;
  node.busy_until_us = 0;
  node.open_calls = 0;
  ++node.incarnation;
  node.stores.push_back(std::make_unique<SimStore>(*this, n, node.incarnation));
  node.backends.push_back(std::make_unique<SimBackends>(*this, n, node.incarnation));
  node.vms.push_back(settings_.spare_vms > 0 ? std::make_unique<SimVms>(*this) : nullptr);
  FleetPorts ports{
      *node.stores.back(),
      *node.backends.back(),
      node.vms.back().get(),
      nullptr,
      *codec_,
      [this] { return UnixMillis(kEpoch + now_); },
      [this] { return MonotonicTime(Millis(now_)); },
      [this, n](const Decision& it) {
        suspects += it.kind == DecisionKind::kBackendSuspect ? 1 : 0;
        Trace(n, it.job.str() + " " + it.task + " run " + std::to_string(it.run.count()) + " at " +
                     it.backend.str() + ": " + std::to_string(static_cast<int>(it.kind)) + " " +
                     it.detail);
      },
      [this, n](NodeEvent event, const std::string& detail) {
        if (event == NodeEvent::kLoaded) loaded_at = now_;
        if (event == NodeEvent::kEvacuationBegun || event == NodeEvent::kEvacuationEnded) {
          evacuation_events.emplace_back(event, detail);
        }
        if (event == NodeEvent::kRowTooLarge || event == NodeEvent::kWriteRejected) {
          row_events.emplace_back(event, detail);
        }
        Trace(n, "event " + std::to_string(static_cast<int>(event)) + " " + detail);
      }};
  EntryNode::Settings settings;
  settings.self = NodeId(node.name + "#" + std::to_string(node.incarnation));
  settings.lease.self = settings.self;
  settings.lease.started = UnixMillis(kEpoch + now_);
  settings.lease.takeover_margin = Millis(300 + 100 * n);
  if (settings_.owner_lease > 0) {
    settings.lease.lease = Millis(settings_.owner_lease);
    settings.lease.renew_interval = Millis(settings_.renew_interval);
  }
  if (n < static_cast<int>(settings_.capabilities.size())) {
    settings.lease.capability = settings_.capabilities[n];
  }
  settings.evacuation_max_age = settings_.evacuation_max_age;
  settings.owner.max_row_bytes = settings_.told_max_row_bytes;
  settings.owner.dispatcher.max_row_bytes = settings_.told_max_row_bytes;
  node.entry = std::make_unique<EntryNode>(settings, ports);
}

void FleetSim::SilenceStoreConnections(int node, bool write_unanswered) {
  Trace(node, "its connections to the table service go silent");
  nodes[node].store_silent_since = now_;
  nodes[node].has_stale_connection = write_unanswered;
}

void FleetSim::KillNode(int n) { nodes[n].alive = false; }

int FleetSim::OwnerNode() const {
  for (std::size_t n = 0; n < nodes.size(); ++n) {
    if (nodes[n].alive && nodes[n].entry->owner()) return static_cast<int>(n);
  }
  return -1;
}

bool FleetSim::TickIsDue(const Node& node) const {
  const std::int64_t longest = settings_.costs.reply_us * settings_.costs.replies_per_tick / 1000;
  return node.busy_until_us <= now_ * 1000 || now_ - node.last_tick > longest;
}

void FleetSim::Spend(int node, std::int64_t cost_us, std::function<void()> task) {
  std::int64_t& busy = nodes[node].busy_until_us;
  busy = std::max(busy, now_ * 1000) + cost_us;
  if (busy <= now_ * 1000) {
    task();
  } else {
    At(busy / 1000, std::move(task));
  }
}

void FleetSim::TickNodes() {
  for (Node& node : nodes) {
    if (!node.alive || node.frozen || !TickIsDue(node)) continue;
    node.last_tick = now_;
    node.entry->Tick(MonotonicTime(Millis(now_)));
  }
  for (auto& [id, backend] : backends) {
    if (backend.alive && !backend.lease_expired && ClockOf(backend) > backend.lease_until) {
      backend.lease_expired = true;
      ForgetUnacknowledged(backend);
      // After a disconnection, a backend server is polled again within the probe interval and its
      // timeout.
      constexpr std::int64_t kReconnectTime = 2500;
      std::int64_t since = backend.reconnected_at;
      // An owner that is killed before it has polled the server leaves that to its successor.
      constexpr std::int64_t kTakeover = 6000;
      const std::int64_t killed_after = owner_killed - backend.reconnected_at;
      if (killed_after >= 0 && killed_after < kReconnectTime) since = owner_killed + kTakeover;
      const bool reached = !backend.disconnected && now_ - since > kReconnectTime;
      // Each claim without a reply costs its timeout, so two in a row outlast a lease.
      const bool claimable = unanswered_claims < 2 || now_ - owner_killed > kTakeover;
      if (lease_expiry_forbidden && claimable && reached && !backend.running.empty()) {
        Violate("the lease of " + id.str() + " expired although it was reachable");
      }
      while (!backend.running.empty()) {
        EndRun(backend, backend.running.begin()->first, RunEnd::kLeaseExpired);
      }
    }
  }
  At(now_ + kTickMs, [this] { TickNodes(); });
}

// Ends that were not acknowledged before a crash or the expiry of the lease are not final.
void FleetSim::ForgetUnacknowledged(Backend& backend) {
  for (const ListedEnd& it : backend.ended) {
    ClientJob& job = jobs.at(it.task.job);
    job.final_done.erase(it.task.str());
    if (it.how == RunEnd::kFailed) --job.final_failed[it.task.str()];
  }
}

RowsReply FleetSim::Apply(const RowTransaction& tx) {
  RowsReply reply;
  reply.now = StoreClock(now_);
  std::size_t bytes = 0;
  std::size_t largest = 0;
  for (const auto& [key, value] : tx.writes) {
    bytes += value.size();
    largest = std::max(largest, value.size());
  }
  const std::size_t entries = tx.expected.size() + tx.writes.size() + tx.removes.size();
  constexpr std::size_t kMaxEntries = 100;
  // 1 MB, in base64.
  constexpr std::size_t kMaxBytes = 750'000;
  if (entries > kMaxEntries || bytes > kMaxBytes || largest > settings_.max_row_bytes) {
    if (settings_.told_max_row_bytes <= settings_.max_row_bytes) {
      Violate("a transaction has " + std::to_string(entries) + " entries and " +
              std::to_string(bytes) + " bytes, " + std::to_string(largest) + " in one row");
    }
    reply.outcome = StoreOutcome::kRejected;
    return reply;
  }
  bool holds = true;
  for (const auto& [key, revision] : tx.expected) {
    const auto it = rows_.find(key);
    const std::uint64_t present = it == rows_.end() ? 0 : it->second.second;
    holds = holds && present == revision.count();
    if (it != rows_.end()) {
      reply.rows.push_back(StoredRow{key, it->second.first, Revision(present), false});
    }
  }
  if (!holds) {
    reply.outcome = StoreOutcome::kConflict;
    reply.newest = Revision(revision_);
    return reply;
  }
  reply.rows.clear();
  ++revision_;
  for (const auto& [key, value] : tx.writes) {
    rows_[key] = {value, revision_};
    if (key == rows::Owner()) renewed_[OwnerRow::Decode(value).value().token.count()] = now_;
    log_.emplace_back(revision_, key);
  }
  for (const RowAddress& key : tx.removes) {
    if (rows_.erase(key) > 0) log_.emplace_back(revision_, key);
  }
  reply.outcome = StoreOutcome::kDone;
  reply.newest = Revision(revision_);
  WakeFollowers();
  return reply;
}

// The rows of operators and of the registry are not bounded as transactions of nodes are.
void FleetSim::Put(const RowAddress& key, const std::string& value) {
  rows_[key] = {value, ++revision_};
  log_.emplace_back(revision_, key);
  WakeFollowers();
}

void FleetSim::MoveQueue(int queue, int pool) {
  config.version = ConfigVersion(config.version.count() + 1);
  config.queues[queue].pool = config.pools[pool].id;
  Trace(-1, config.queues[queue].id.str() + " moves to " + config.pools[pool].id.str());
  Put({"operator", "", "config"}, "config");
}

void FleetSim::GrowConfig(std::size_t bytes) {
  config.version = ConfigVersion(config.version.count() + 1);
  Put({"operator", "", "config"}, std::string(bytes, 'x'));
}

void FleetSim::Evacuate(const DataCentreId& data_centre) {
  Trace(-1, "evacuate " + data_centre.str());
  evacuated.emplace(data_centre, now_);
  Put({"operator", "", std::string(kEvacuationPrefix) + data_centre.str()}, "");
}

void FleetSim::Withdraw(const DataCentreId& data_centre) {
  Trace(-1, "withdraw " + data_centre.str());
  evacuated.erase(data_centre);
  RowTransaction tx;
  tx.removes.push_back({"operator", "", std::string(kEvacuationPrefix) + data_centre.str()});
  Apply(tx);
}

void FleetSim::CheckNotEvacuated(const StartOrder& order) {
  constexpr std::int64_t kBound = 5000;
  const auto backend = backends.find(order.backend);
  if (backend == backends.end()) return;
  const auto it = evacuated.find(backend->second.report.data_centre);
  if (it == evacuated.end() || now_ <= it->second + kBound) return;
  Violate("EVACUATED: " + order.task.str() + " was ordered to start on " + order.backend.str() +
          " " + std::to_string(now_ - it->second) + " ms after the request");
}

RowsReply FleetSim::Changes(const std::string& table, std::uint64_t after) {
  RowsReply reply;
  reply.now = StoreClock(now_);
  reply.newest = Revision(revision_);
  if (after < log_start_) {
    reply.outcome = StoreOutcome::kHistoryGone;
    return reply;
  }
  reply.outcome = StoreOutcome::kDone;
  // Each row is shown once, as of its last change.
  std::map<RowAddress, std::uint64_t> changed;
  for (const auto& [revision, key] : log_) {
    if (revision > after && key.table == table) changed[key] = revision;
  }
  for (const auto& [revision, key] : log_) {
    const auto last = changed.find(key);
    if (last == changed.end() || last->second != revision) continue;
    const auto it = rows_.find(key);
    StoredRow row{key, "", Revision(revision), it == rows_.end()};
    if (it != rows_.end()) row.value = it->second.first;
    reply.rows.push_back(std::move(row));
  }
  return reply;
}

void FleetSim::WakeFollowers() {
  std::vector<std::pair<Follower, RowsReply>> due;
  std::erase_if(followers_, [&](const Follower& it) {
    RowsReply reply = Changes(it.table, it.after);
    const bool ready =
        reply.outcome != StoreOutcome::kDone || !reply.rows.empty() || now_ >= it.until;
    if (ready) due.emplace_back(it, std::move(reply));
    return ready;
  });
  for (const auto& [follower, reply] : due) follower.done(reply);
}

void FleetSim::CheckLease(Epoch token) {
  const std::int64_t over = renewed_[token.count()] + FleetLease::Settings{}.lease.count();
  if (now_ > over) {
    Violate("an order of token " + std::to_string(token.count()) + " came " +
            std::to_string(now_ - over) + " ms after its lease expired");
  }
}

void FleetSim::CheckPermit(const OrderPermit& permit, Epoch token) {
  if (permit.token() == token && MonotonicTime(Millis(now_)) < permit.ends()) return;
  Violate("an order of token " + std::to_string(token.count()) + " has a permit of token " +
          std::to_string(permit.token().count()) + " that ends at " +
          std::to_string(permit.ends().time_since_epoch().count()));
}

void FleetSim::DropHistory() {
  log_start_ = revision_;
  log_.clear();
}

}  // namespace sapphirewheel::testing
