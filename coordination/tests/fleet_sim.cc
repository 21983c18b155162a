#include "fleet_sim.h"

#include <cstdio>
#include <cstdlib>

namespace sapphirewheel::testing {
namespace {

// Time of day at the start of the simulation.
constexpr std::int64_t kEpoch = 1'700'000'000'000;
constexpr int kAttempts = 3;
constexpr std::int64_t kTickMs = 20;
constexpr std::int64_t kStopMs = 150;
constexpr std::int64_t kLongestLease = 10'000;

// Rows of operators and registry in this simulation: the reports are kept beside the store and the
// row only names them.
class SimReader final : public PlatformReader {
 public:
  explicit SimReader(FleetSim& sim) : sim_(sim) {}
  std::string OperatorTable() const override { return "operator"; }
  std::string RegistryTable() const override { return "registry"; }
  std::optional<DispatchConfig> Config(const StoredRow& row) const override {
    if (row.at.key != "config") return std::nullopt;
    return sim_.config;
  }
  std::optional<WaveOrder> Wave(const StoredRow&) const override { return std::nullopt; }
  std::optional<BackendReport> Backend(const StoredRow& row) const override {
    const auto it = sim_.backends.find(BackendId(row.at.key));
    if (row.removed || it == sim_.backends.end()) return std::nullopt;
    BackendReport report = it->second.report;
    report.draining = row.value == "draining";
    return report;
  }
  Result<WorkSpec> Submission(const std::string& body) const override {
    const auto job = DecodeStoredJob(JobId("0"), body);
    if (!job) return job.error();
    return job.value().spec;
  }
  std::pair<RowAddress, std::string> WaveStatus(std::int64_t, bool) const override { return {}; }

 private:
  FleetSim& sim_;
};

std::int64_t WorkOf(const StepSpec& step) { return step.estimate.count(); }

}  // namespace

class SimStore final : public RowStore {
 public:
  SimStore(FleetSim& sim, int node, int life) : sim_(sim), node_(node), life_(life) {}

  void Commit(const RowTransaction& tx, Millis timeout, RowsCallback done) override {
    const bool reachable = Reachable();
    if (!reachable) {
      // Silent: the answer never comes.
      Deliver(timeout.count(), RowsAnswer{}, done);
      return;
    }
    const std::int64_t way = 2 + sim_.Draw(6);
    if (sim_.Draw() < sim_.settings_.faults.late_store_writes) {
      sim_.At(sim_.now_ + 1000 + sim_.Draw(3000), [this, tx] {
        if (!sim_.store_down_) sim_.Apply(tx);
      });
      Deliver(timeout.count(), RowsAnswer{}, done);
      return;
    }
    const bool lost = sim_.Draw() < sim_.settings_.faults.lost_store_answers;
    sim_.At(sim_.now_ + way, [this, tx, timeout, done, lost, way] {
      const RowsAnswer answer = sim_.Apply(tx);
      if (lost) {
        Deliver(timeout.count() - way, RowsAnswer{}, done);
      } else {
        Deliver(way, answer, done);
      }
    });
  }

  void Read(const std::string& table, const std::string& part, const std::string& from,
            const std::string& to, Millis timeout, RowsCallback done) override {
    if (!Reachable()) {
      Deliver(timeout.count(), RowsAnswer{}, done);
      return;
    }
    RowsAnswer answer;
    answer.outcome = StoreOutcome::kDone;
    answer.newest = Revision(sim_.revision_);
    answer.now = StoreClock(sim_.now_);
    for (const auto& [key, row] : sim_.rows_) {
      if (key.table != table || key.part != part || key.key < from) continue;
      if (!to.empty() && key.key >= to) continue;
      // Small pages, so that paging is exercised.
      constexpr std::size_t kPage = 20;
      if (answer.rows.size() == kPage) {
        answer.more = true;
        break;
      }
      answer.rows.push_back(StoredRow{key, row.first, Revision(row.second), false});
    }
    Deliver(4 + sim_.Draw(6), answer, done);
  }

  void ListParts(const std::string& table, const std::string& after, Millis timeout,
                 PartsCallback done) override {
    PartsAnswer answer;
    if (!Reachable()) {
      Deliver(timeout.count(), answer, done);
      return;
    }
    answer.outcome = StoreOutcome::kDone;
    std::set<std::string> parts;
    for (const auto& [key, row] : sim_.rows_) {
      if (key.table == table && key.part > after) parts.insert(key.part);
    }
    answer.parts.assign(parts.begin(), parts.end());
    Deliver(4 + sim_.Draw(6), answer, done);
  }

  void Follow(const std::string& table, Revision after, Millis wait, Millis timeout,
              RowsCallback done) override {
    if (!Reachable()) {
      Deliver(timeout.count(), RowsAnswer{}, done);
      return;
    }
    auto answered = std::make_shared<bool>(false);
    const auto once = [this, answered, done](const RowsAnswer& answer) {
      if (*answered) return;
      *answered = true;
      // What is cut while a feed waits gets no answer.
      if (Reachable())
        Deliver(2 + sim_.Draw(4), answer, done);
      else
        Deliver(1000, RowsAnswer{}, done);
    };
    sim_.followers_.push_back({table, after.count(), sim_.now_ + wait.count(), once});
    sim_.WakeFollowers();
    sim_.At(sim_.now_ + wait.count(), [this] { sim_.WakeFollowers(); });
  }

 private:
  bool Reachable() const { return !sim_.store_down_ && !sim_.nodes[node_].cut_from_store; }

  template <typename Answer, typename Callback>
  void Deliver(std::int64_t delay, Answer answer, Callback done) {
    sim_.At(sim_.now_ + std::max<std::int64_t>(1, delay),
            [this, answer, done] { DeliverNow(answer, done); });
  }
  // A frozen process gets its answers when it wakes.
  template <typename Answer, typename Callback>
  void DeliverNow(const Answer& answer, const Callback& done) {
    FleetSim::Node& node = sim_.nodes[node_];
    if (!node.alive || node.life != life_) return;
    if (node.frozen) {
      sim_.At(sim_.now_ + kTickMs, [this, answer, done] { DeliverNow(answer, done); });
      return;
    }
    done(answer);
  }

  FleetSim& sim_;
  int node_;
  int life_;
};

class SimBackends final : public BackendServers {
 public:
  SimBackends(FleetSim& sim, int node, int life) : sim_(sim), node_(node), life_(life) {}

  void Start(const StartOrder& order, std::function<void(const OrderAnswer&)> done) override {
    Send(order.backend, done,
         [this, order](FleetSim::Backend& it) { return sim_.Start(it, order); });
  }
  void Stop(const StopOrder& order, std::function<void(const OrderAnswer&)> done) override {
    Send(order.backend, done,
         [this, order](FleetSim::Backend& it) { return sim_.Stop(it, order); });
  }
  void Pace(const PaceOrder&, std::function<void(const OrderAnswer&)>) override {}
  void Look(const LookOrder& order, std::function<void(const LookAnswer&)> done) override {
    constexpr std::int64_t kTimeout = 900;
    auto answered = std::make_shared<bool>(false);
    const std::int64_t timeout = order.wait.count() + kTimeout;
    const auto once = [answered, done](const LookAnswer& answer) {
      if (*answered) return;
      *answered = true;
      done(answer);
    };
    sim_.At(sim_.now_ + timeout, [this, once] { Deliver(LookAnswer{}, once); });
    const std::int64_t way = 1 + sim_.Draw(5);
    sim_.At(sim_.now_ + way, [this, order, once, way] {
      const auto it = sim_.backends.find(order.backend);
      if (it == sim_.backends.end() || !it->second.alive || it->second.cut) return;
      sim_.Look(it->second, order, [this, once, way](const LookAnswer& answer) {
        if (sim_.Draw() < sim_.settings_.faults.lost_order_answers) return;
        sim_.At(sim_.now_ + way, [this, once, answer] { Deliver(answer, once); });
      });
    });
  }

 private:
  template <typename Carry>
  void Send(const BackendId& id, const std::function<void(const OrderAnswer&)>& done, Carry carry) {
    constexpr std::int64_t kTimeout = 900;
    const auto it = sim_.backends.find(id);
    const bool reachable = it != sim_.backends.end() && it->second.alive && !it->second.cut;
    if (!reachable) {
      sim_.At(sim_.now_ + kTimeout, [this, done] { Deliver(OrderAnswer{}, done); });
      return;
    }
    const std::int64_t born = it->second.born;
    if (sim_.Draw() < sim_.settings_.faults.late_orders) {
      sim_.At(sim_.now_ + 2000 + sim_.Draw(8000), [this, id, carry, born] {
        const auto late = sim_.backends.find(id);
        if (late == sim_.backends.end() || !late->second.alive) return;
        if (late->second.born == born) carry(late->second);
      });
      sim_.At(sim_.now_ + kTimeout, [this, done] { Deliver(OrderAnswer{}, done); });
      return;
    }
    const std::int64_t way = 1 + sim_.Draw(8);
    sim_.At(sim_.now_ + way, [this, id, carry, done, way] {
      const auto found = sim_.backends.find(id);
      const bool there = found != sim_.backends.end() && found->second.alive && !found->second.cut;
      const OrderAnswer answer = there ? carry(found->second) : OrderAnswer{};
      const bool lost = !there || sim_.Draw() < sim_.settings_.faults.lost_order_answers;
      sim_.At(sim_.now_ + (lost ? kTimeout : way),
              [this, done, answer, lost] { Deliver(lost ? OrderAnswer{} : answer, done); });
    });
  }

  template <typename Answer, typename Callback>
  void Deliver(const Answer& answer, const Callback& done) {
    FleetSim::Node& node = sim_.nodes[node_];
    if (!node.alive || node.life != life_) return;
    if (node.frozen) {
      sim_.At(sim_.now_ + kTickMs, [this, answer, done] { Deliver(answer, done); });
      return;
    }
    done(answer);
  }

  FleetSim& sim_;
  int node_;
  int life_;
};

FleetSim::FleetSim(Settings settings)
    : settings_(settings), random_(settings.seed), reader_(std::make_unique<SimReader>(*this)) {
  config.version = ConfigVersion(1);
  for (int n = 0; n < settings.pools; ++n) {
    const PoolId pool("pool" + std::to_string(n));
    config.pools.push_back({pool, false, false});
    QueuePolicy queue;
    queue.id = QueueId("queue" + std::to_string(n));
    queue.host = "host";
    queue.path_prefix = "/q" + std::to_string(n) + "/";
    queue.pool = pool;
    queue.open = true;
    queue.attempts = kAttempts;
    queue.stretch = 2;
    queue.target_latency = Millis(500);
    config.queues.push_back(queue);
    for (int k = 0; k < settings.backends_per_pool; ++k) {
      Backend backend;
      backend.report.id = BackendId("b" + std::to_string(n) + "-" + std::to_string(k));
      backend.report.pool = pool;
      backend.report.address = "10.0.0.1:1";
      backend.report.capacity = {8000, 16000, 0};
      backend.report.labels = {"a", "rack" + std::to_string(k / 2)};
      backend.report.born = UnixMillis(kEpoch);
      backends[backend.report.id] = backend;
    }
  }
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
  ++node.life;
  node.stores.push_back(std::make_unique<SimStore>(*this, n, node.life));
  node.backends.push_back(std::make_unique<SimBackends>(*this, n, node.life));
  FleetPorts ports{*node.stores.back(),
                   *node.backends.back(),
                   nullptr,
                   nullptr,
                   *reader_,
                   [this] { return UnixMillis(kEpoch + now_); },
                   [this] { return MonotonicTime(Millis(now_)); },
                   [this, n](const Decision& it) {
                     Trace(n, it.job.str() + " " + it.task + " run " +
                                  std::to_string(it.run.count()) + " at " + it.backend.str() +
                                  ": " + std::to_string(static_cast<int>(it.kind)) + " " +
                                  it.detail);
                   },
                   [this, n](NodeEvent event, const std::string& detail) {
                     Trace(n, "event " + std::to_string(static_cast<int>(event)) + " " + detail);
                   }};
  EntryNode::Settings settings;
  settings.self = NodeId(node.name + "#" + std::to_string(node.life));
  settings.lease.self = settings.self;
  settings.lease.started = UnixMillis(kEpoch + now_);
  settings.lease.takeover_margin = Millis(300 + 100 * n);
  node.entry = std::make_unique<EntryNode>(settings, ports);
}

void FleetSim::KillNode(int n) { nodes[n].alive = false; }

int FleetSim::OwnerNode() const {
  for (std::size_t n = 0; n < nodes.size(); ++n) {
    if (nodes[n].alive && nodes[n].entry->owner()) return static_cast<int>(n);
  }
  return -1;
}

void FleetSim::TickNodes() {
  for (Node& node : nodes) {
    if (node.alive && !node.frozen) node.entry->Tick(MonotonicTime(Millis(now_)));
  }
  for (auto& [id, backend] : backends) {
    if (backend.alive && !backend.lapsed && ClockOf(backend) > backend.lease_until) {
      backend.lapsed = true;
      ForgetUnacknowledged(backend);
      while (!backend.running.empty()) {
        EndRun(backend, backend.running.begin()->first, RunEnd::kLapsed);
      }
    }
  }
  At(now_ + kTickMs, [this] { TickNodes(); });
}

// Ends that nobody took note of before a crash or the end of the lease do not count for good.
void FleetSim::ForgetUnacknowledged(Backend& backend) {
  for (const ListedEnd& it : backend.ended) {
    ClientJob& job = jobs.at(it.task.job);
    job.done_for_good.erase(it.task.str());
    if (it.how == RunEnd::kFailed) --job.failed_for_good[it.task.str()];
  }
}

RowsAnswer FleetSim::Apply(const RowTransaction& tx) {
  RowsAnswer answer;
  answer.now = StoreClock(now_);
  bool holds = true;
  for (const auto& [key, revision] : tx.expected) {
    const auto it = rows_.find(key);
    const std::uint64_t present = it == rows_.end() ? 0 : it->second.second;
    holds = holds && present == revision.count();
    if (it != rows_.end()) {
      answer.rows.push_back(StoredRow{key, it->second.first, Revision(present), false});
    }
  }
  if (!holds) {
    answer.outcome = StoreOutcome::kConflict;
    answer.newest = Revision(revision_);
    return answer;
  }
  answer.rows.clear();
  ++revision_;
  for (const auto& [key, value] : tx.writes) {
    rows_[key] = {value, revision_};
    log_.emplace_back(revision_, key);
  }
  for (const RowAddress& key : tx.removes) {
    if (rows_.erase(key) > 0) log_.emplace_back(revision_, key);
  }
  answer.outcome = StoreOutcome::kDone;
  answer.newest = Revision(revision_);
  WakeFollowers();
  return answer;
}

void FleetSim::Put(const RowAddress& key, const std::string& value) {
  RowTransaction tx;
  tx.writes.emplace_back(key, value);
  Apply(tx);
}

RowsAnswer FleetSim::Changes(const std::string& table, std::uint64_t after) {
  RowsAnswer answer;
  answer.now = StoreClock(now_);
  answer.newest = Revision(revision_);
  if (after < log_start_) {
    answer.outcome = StoreOutcome::kHistoryGone;
    return answer;
  }
  answer.outcome = StoreOutcome::kDone;
  for (const auto& [revision, key] : log_) {
    if (revision <= after || key.table != table) continue;
    const auto it = rows_.find(key);
    StoredRow row{key, "", Revision(revision), it == rows_.end()};
    if (it != rows_.end()) row.value = it->second.first;
    answer.rows.push_back(std::move(row));
  }
  return answer;
}

void FleetSim::WakeFollowers() {
  std::vector<std::pair<Follower, RowsAnswer>> due;
  std::erase_if(followers_, [&](const Follower& it) {
    RowsAnswer answer = Changes(it.table, it.after);
    const bool ready =
        answer.outcome != StoreOutcome::kDone || !answer.rows.empty() || now_ >= it.until;
    if (ready) due.emplace_back(it, std::move(answer));
    return ready;
  });
  for (const auto& [follower, answer] : due) follower.answer(answer);
}

void FleetSim::DropHistory() {
  log_start_ = revision_;
  log_.clear();
}

void FleetSim::RegisterBackend(Backend& backend) {
  Put({"registry", "", backend.report.id.str()}, "ready");
}

void FleetSim::SetDraining(const BackendId& id) { Put({"registry", "", id.str()}, "draining"); }

void FleetSim::CrashBackend(const BackendId& id, std::int64_t down_for, bool same_id) {
  Backend& backend = backends.at(id);
  backend.alive = false;
  ForgetUnacknowledged(backend);
  backend.running.clear();
  backend.ended.clear();
  backend.looks.clear();
  backend.last_run.clear();
  backend.token = 0;
  constexpr std::int64_t kSilence = 4500;
  At(now_ + kSilence, [this, id] {
    if (!backends.at(id).alive) {
      RowTransaction tx;
      tx.removes.push_back({"registry", "", id.str()});
      Apply(tx);
    }
  });
  At(now_ + down_for, [this, id, same_id] {
    BackendId next = id;
    if (!same_id) {
      next = BackendId(id.str() + "'");
      backends[next].report = backends.at(id).report;
      backends[next].report.id = next;
    }
    Backend& again = backends[next];
    again.alive = true;
    again.cut = false;
    again.born = now_;
    again.report.born = UnixMillis(kEpoch + now_);
    again.next_end = 1;
    again.seen = 0;
    again.lease_until = 0;
    RegisterBackend(again);
  });
}

void FleetSim::CheckStart(const Backend& backend, const StartOrder& order) {
  const std::string task = order.task.str();
  const auto job = jobs.find(order.task.job);
  if (job == jobs.end()) {
    Violate("UNASKED: " + task);
    return;
  }
  ClientJob& it = job->second;
  const StepSpec& step = it.spec.steps[order.task.step];
  if (order.payload != it.spec.payload) Violate("UNASKED: other payload of " + task);
  Resources use = step.Charge();
  for (const auto& [name, run] : backend.running) use += run.charge;
  if (!use.FitsIn(backend.report.capacity)) {
    Violate("LIMIT: " + task + " on " + backend.report.id.str());
  }
  for (const auto& [id, other] : backends) {
    if (other.alive && other.running.count(task) > 0)
      Violate("TWICE: " + task + " also on " + id.str());
  }
  if (it.done_for_good.count(task) > 0) Violate("TWICE: " + task + " was done");
  for (const int before : step.after) {
    for (int n = 0; n < it.spec.steps[before].count; ++n) {
      const TaskKey key{order.task.job, order.task.occurrence, before, n};
      if (it.done.count(key.str()) == 0) Violate("ORDER: " + task + " before " + key.str());
    }
  }
  if (!step.lasting && it.failed_for_good[task] >= kAttempts) Violate("BUDGET: " + task);
}

OrderAnswer FleetSim::Start(Backend& backend, const StartOrder& order) {
  OrderAnswer answer;
  answer.clock = BackendClock(ClockOf(backend));
  const std::string task = order.task.str();
  if (order.token.count() < backend.token) {
    answer.outcome = OrderOutcome::kFenced;
    return answer;
  }
  backend.token = order.token.count();
  if (order.lease_until.count() <= ClockOf(backend)) {
    answer.outcome = OrderOutcome::kLate;
    return answer;
  }
  backend.lease_until = std::max(
      backend.lease_until, std::min(order.lease_until.count(), ClockOf(backend) + kLongestLease));
  backend.lapsed = false;
  answer.outcome = OrderOutcome::kDone;
  if (const auto it = backend.running.find(task); it != backend.running.end()) {
    if (it->second.number == order.run) return answer;
    answer.outcome = OrderOutcome::kOldRun;
    return answer;
  }
  if (order.run.count() <= backend.last_run[task]) {
    answer.outcome = OrderOutcome::kOldRun;
    return answer;
  }
  CheckStart(backend, order);
  ++starts;
  const auto job = jobs.find(order.task.job);
  if (job == jobs.end()) return answer;
  const StepSpec& step = job->second.spec.steps[order.task.step];
  Run run;
  run.number = order.run;
  run.charge = step.Charge();
  run.id = next_run_++;
  run.will_fail = job->second.hopeless || Draw() < 0.02;
  backend.running[task] = run;
  const BackendId id = backend.report.id;
  if (!step.lasting || run.will_fail) {
    At(now_ + WorkOf(step) / 2 + Draw(static_cast<int>(WorkOf(step))), [this, id, task, run] {
      Backend& there = backends.at(id);
      const auto it = there.running.find(task);
      if (!there.alive || it == there.running.end() || it->second.id != run.id) return;
      EndRun(there, task, run.will_fail ? RunEnd::kFailed : RunEnd::kDone);
    });
  }
  return answer;
}

OrderAnswer FleetSim::Stop(Backend& backend, const StopOrder& order) {
  OrderAnswer answer;
  answer.clock = BackendClock(ClockOf(backend));
  if (order.token.count() < backend.token) {
    answer.outcome = OrderOutcome::kFenced;
    return answer;
  }
  backend.token = order.token.count();
  answer.outcome = OrderOutcome::kDone;
  const std::string task = order.task.str();
  const auto it = backend.running.find(task);
  if (it == backend.running.end() || it->second.number != order.run) {
    backend.last_run[task] = std::max(backend.last_run[task], order.run.count());
    return answer;
  }
  it->second.stopping = true;
  const std::uint64_t run = it->second.id;
  At(now_ + Draw(static_cast<int>(kStopMs)), [this, id = backend.report.id, task, run] {
    Backend& there = backends.at(id);
    const auto found = there.running.find(task);
    if (there.alive && found != there.running.end() && found->second.id == run) {
      EndRun(there, task, RunEnd::kStopped);
    }
  });
  return answer;
}

void FleetSim::EndRun(Backend& backend, std::string task, RunEnd how) {
  const auto it = backend.running.find(task);
  const auto key = ParseTaskKey(task);
  backend.last_run[task] = it->second.number.count();
  backend.ended.push_back(ListedEnd{backend.next_end++, *key, it->second.number, how, ""});
  backend.last_end_at = now_;
  backend.running.erase(it);
  ClientJob& job = jobs.at(key->job);
  if (how == RunEnd::kDone) {
    job.done.insert(task);
    job.done_for_good.insert(task);
  }
  if (how == RunEnd::kFailed) {
    ++job.failed[task];
    ++job.failed_for_good[task];
  }
  const auto looks = std::move(backend.looks);
  backend.looks.clear();
  for (const auto& look : looks) look.answer(List(backend));
}

LookAnswer FleetSim::List(const Backend& backend) {
  LookAnswer answer;
  answer.outcome = OrderOutcome::kDone;
  answer.clock = BackendClock(ClockOf(backend));
  answer.born = backend.report.born;
  for (const auto& [task, run] : backend.running) {
    answer.running.push_back(ListedRun{*ParseTaskKey(task), run.number, "", 100, 0});
  }
  answer.ended = backend.ended;
  return answer;
}

void FleetSim::Look(Backend& backend, const LookOrder& order,
                    std::function<void(const LookAnswer&)> answer) {
  if (order.token.count() < backend.token) {
    LookAnswer refused;
    refused.outcome = OrderOutcome::kFenced;
    answer(refused);
    return;
  }
  backend.token = order.token.count();
  if (order.lease_until) {
    backend.lease_until = std::max(backend.lease_until, std::min(order.lease_until->count(),
                                                                 ClockOf(backend) + kLongestLease));
    backend.lapsed = ClockOf(backend) > backend.lease_until;
  }
  std::erase_if(backend.ended,
                [&](const ListedEnd& it) { return it.number <= order.acknowledged_end; });
  if (order.wait.count() == 0 || !backend.ended.empty()) {
    answer(List(backend));
    return;
  }
  auto answered = std::make_shared<bool>(false);
  const auto once = [answered, answer](const LookAnswer& list) {
    if (*answered) return;
    *answered = true;
    answer(list);
  };
  backend.looks.push_back({now_ + order.wait.count(), once});
  At(now_ + order.wait.count(), [this, id = backend.report.id, once, born = backend.born] {
    const Backend& there = backends.at(id);
    if (there.alive && there.born == born) once(List(there));
  });
}

void FleetSim::CallNode(const std::string& path, CallKind kind, const std::string& body,
                        std::function<void(const CallerReply&)> answer) {
  const int n = Draw(static_cast<int>(nodes.size()));
  Node& node = nodes[n];
  const int life = node.life;
  auto answered = std::make_shared<bool>(false);
  const auto once = [answered, answer](const CallerReply& reply) {
    if (*answered) return;
    *answered = true;
    answer(reply);
  };
  constexpr std::int64_t kTimeout = 3000;
  At(now_ + kTimeout, [once] {
    CallerReply silent;
    silent.error.kind = ErrorKind::kOutcomeUnknown;
    once(silent);
  });
  if (!node.alive || node.frozen) return;
  CallerCall call;
  call.kind = kind;
  call.host = "host";
  call.path = path;
  call.body = body;
  node.entry->Handle(call, [this, n, life, once](const CallerReply& reply) {
    // The answer of a process that has died does not leave it.
    if (nodes[n].alive && nodes[n].life == life) once(reply);
  });
}

void FleetSim::SubmitRandomJob() {
  const int pool = Draw(settings_.pools);
  char id[17];
  std::snprintf(id, sizeof id, "%016llx",
                static_cast<unsigned long long>(next_job_++ * 0x9e3779b97f4a7c15ULL));
  ClientJob& job = jobs[JobId(id)];
  job.id = JobId(id);
  job.queue = config.queues[pool].id;
  job.sent_at = now_;
  job.spec.payload = "payload-" + std::to_string(Draw(1000));
  job.hopeless = Draw() < 0.03;
  const int steps = 1 + Draw(3);
  for (int n = 0; n < steps; ++n) {
    StepSpec step;
    step.count = 1 + Draw(6);
    step.each = {500 + Draw(2500), 500 + Draw(2000), 0};
    step.estimate = Millis(200 + Draw(1500));
    if (n > 0) step.after = {n - 1};
    job.spec.steps.push_back(step);
  }
  if (Draw() < 0.1) {
    job.hopeless = false;
    job.spec.steps.resize(1);
    job.spec.steps[0].lasting = true;
    job.spec.steps[0].each.cpu_millis = 300;
    job.spec.steps[0].count = 2;
  }
  StoredJob stored;
  stored.queue = job.queue;
  stored.spec = job.spec;
  const std::string body = EncodeStoredJob(stored);
  const std::string path = config.queues[pool].path_prefix + job.id.str();
  constexpr int kRetries = 6;
  Submit(job.id, path, body, kRetries);
}

void FleetSim::Submit(const JobId& id, const std::string& path, const std::string& body,
                      int retries) {
  CallNode(
      path, CallKind::kSubmit, body, [this, id, path, body, retries](const CallerReply& reply) {
        ClientJob& it = jobs.at(id);
        if (reply.kind == CallerReply::Kind::kAccepted) {
          if (!it.accepted) it.accepted_at = now_;
          it.accepted = true;
        } else if (retries > 0) {
          At(now_ + 200, [this, id, path, body, retries] { Submit(id, path, body, retries - 1); });
        }
      });
}

void FleetSim::Cancel(ClientJob& job) {
  const std::string path = config.FindQueue(job.queue)->path_prefix + job.id.str();
  const bool accepted = job.accepted;
  CallNode(path, CallKind::kCancel, "", [this, key = job.id, accepted](const CallerReply& reply) {
    ClientJob& it = jobs.at(key);
    if (reply.kind == CallerReply::Kind::kCancelled) it.cancelled = true;
    if (reply.kind == CallerReply::Kind::kGone && accepted) Violate("LOST: 410 for " + key.str());
  });
}

void FleetSim::Poll(ClientJob& job) {
  if (!job.accepted) return;
  const std::string path = config.FindQueue(job.queue)->path_prefix + job.id.str();
  CallNode(path, CallKind::kRead, "", [this, key = job.id](const CallerReply& reply) {
    ClientJob& it = jobs.at(key);
    if (reply.kind == CallerReply::Kind::kGone) Violate("LOST: 410 for " + key.str());
    if (reply.kind != CallerReply::Kind::kState) return;
    it.state = reply.state;
    if (reply.state == "completed") {
      std::size_t tasks = 0;
      for (const StepSpec& step : it.spec.steps) tasks += step.count;
      if (it.done.size() < tasks) Violate("MIXED: completed too early " + key.str());
    }
    if (reply.state == "failed") {
      const bool cause = std::any_of(it.failed.begin(), it.failed.end(),
                                     [](const auto& row) { return row.second >= kAttempts; });
      if (!cause) Violate("LOST: shown failed without cause " + key.str());
    }
  });
}

std::vector<std::string> FleetSim::Unfinished() {
  std::vector<std::string> rest;
  for (const auto& [id, job] : jobs) {
    if (!job.accepted) continue;
    if (job.spec.steps[0].lasting) {
      if (job.cancelled) continue;
      for (int n = 0; n < job.spec.steps[0].count; ++n) {
        const std::string task = TaskKey{id, 0, 0, n}.str();
        const bool runs = std::any_of(backends.begin(), backends.end(), [&](const auto& it) {
          return it.second.alive && it.second.running.count(task) > 0;
        });
        if (!runs && !job.hopeless) rest.push_back(task + " does not run");
      }
    } else if (job.state == "queued" || job.state == "running" || job.state.empty()) {
      rest.push_back(id.str() + " is shown " + job.state);
    }
  }
  for (const auto& [id, backend] : backends) {
    if (!backend.alive) continue;
    for (const auto& [task, run] : backend.running) {
      const auto key = ParseTaskKey(task);
      if (jobs.at(key->job).cancelled) rest.push_back(task + " runs on though cancelled");
    }
    constexpr std::int64_t kAcknowledgeTime = 3000;
    if (!backend.ended.empty() && now_ - backend.last_end_at > kAcknowledgeTime) {
      rest.push_back(std::to_string(backend.ended.size()) + " ends of " + id.str() +
                     " not acknowledged, last " + backend.ended.back().task.str());
    }
  }
  return rest;
}

}  // namespace sapphirewheel::testing
