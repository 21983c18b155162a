#include "sapphirewheel/coordination/job_manager.h"

#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "coordination/tests/sim_table.h"
#include "sapphirewheel/state/schema.h"

#include "CppUTest/TestHarness.h"

// clang-format off
TEST_GROUP(JobManager) {};
// clang-format on

namespace sapphirewheel::testing {
namespace {

bool HasEnded(JobState state) { return state != JobState::kQueued && state != JobState::kRunning; }

struct Node {
  NodeId id;
  std::shared_ptr<Process> process = std::make_shared<Process>();
  std::unique_ptr<JobManager> jobs;
  bool fenced = false;
  bool has_worker = true;
};

// An attempt on a simulated worker. The worker repeats the report of its end until acknowledged.
struct Task {
  JobId job;
  Epoch epoch;
  bool stopped = false;
  bool acknowledged = false;
};

// Several nodes that submit, run, cancel and adopt jobs, with one table and simulated workers.
class Cluster {
 public:
  explicit Cluster(std::uint64_t seed, int nodes_at_start = 3)
      : sim(seed), table(sim), seed_(seed) {
    table.fault_percent = sim.Chance(50) ? 4 : 15;
    table.on_commit = [this](const Transaction& transaction) { CheckCommit(transaction); };
    settings.retry_max = Millis(2000);
    settings.checkpoint_interval = Millis(1000);
    settings.index_check_interval = Millis(1000);
    settings.released_check_interval = Millis(1000);
    for (int i = 0; i < nodes_at_start; ++i) AddNode();
  }

  Node& AddNode() {
    nodes.push_back(std::make_unique<Node>());
    Node& node = *nodes.back();
    node.id = NodeId("n" + std::to_string(nodes.size()) + "#1");
    settings.self = node.id;
    JobManager::Hooks hooks;
    hooks.table = table.HooksFor(node.process);
    hooks.random = [this] { return sim.Random(); };
    hooks.clock = [this] { return sim.Now(); };
    hooks.enqueue = [this, &node](const JobRecord& job, const TaskId& task) {
      return Enqueue(node, job, task);
    };
    hooks.stop = [this](const TaskId& task) { tasks[task].stopped = true; };
    hooks.acknowledge = [this](const TaskId& task) { OnAcknowledged(task); };
    hooks.could_ever_fit = [](const ServiceId&, Slots slots) { return slots <= Slots(8); };
    hooks.has_worker = [&node](const ServiceId&, Slots) { return node.has_worker; };
    node.jobs = std::make_unique<JobManager>(settings, hooks);
    table.Apply({AttemptId("m"), {}, {{schema::MemberRow(node.id), R"({"fenced":false})"}}});
    ScheduleTick(node);
    return node;
  }

  void ScheduleTick(Node& node) {
    sim.After(20 + sim.Below(40), [this, &node] {
      if (!node.process->alive) return;
      if (!node.process->paused) node.jobs->Tick(sim.Now());
      ScheduleTick(node);
    });
  }

  bool Enqueue(Node& node, const JobRecord& job, const TaskId& id) {
    if (sim.Chance(10)) return false;
    Require(!tasks.contains(id), "task id used twice");
    tasks[id] = Task{job.id, job.epoch};
    Epoch& highest = seen_epochs[job.id];
    // Workers refuse an epoch below the highest one they have seen.
    const bool stale = job.epoch < highest;
    highest = std::max(highest, job.epoch);
    ++attempts;
    if (hang) return true;
    const std::int64_t outcome = stale ? 6 : sim.Below(always_done ? 1 : 7);
    sim.After(sim.Below(200), [this, &node, id, outcome] { StartTask(node, id, outcome); });
    return true;
  }

  void StartTask(Node& node, const TaskId& id, std::int64_t outcome) {
    if (tasks[id].stopped) return;
    if (outcome == 6) {
      return DeliverEvent(node, [&node, id] {
        node.jobs->OnEnded(id, JobManager::AttemptEnd::kNotRun, "", "stale-job-epoch", false);
      });
    }
    DeliverEvent(node, [&node, id] { node.jobs->OnStarted(id, VmId("vm")); });
    sim.After(sim.Below(300), [this, &node, id] {
      TaskReport report;
      report.task = id;
      report.checkpoint = "checkpoint-" + id.str();
      DeliverEvent(node, [&node, report] { node.jobs->OnReport(report); });
    });
    sim.After(sim.Below(1500), [this, &node, id, outcome] { ReportEnd(node, id, outcome, 0); });
  }

  void ReportEnd(Node& node, const TaskId& id, std::int64_t outcome, int repeats) {
    if (tasks[id].acknowledged || repeats > 20) return;
    DeliverEvent(node, [this, &node, id, outcome] {
      using AttemptEnd = JobManager::AttemptEnd;
      if (outcome <= 2) return node.jobs->OnEnded(id, AttemptEnd::kDone, "result", "", false);
      if (outcome == 3) {
        if (failed.insert(id).second) ++failures[tasks[id].job];
        return node.jobs->OnEnded(id, AttemptEnd::kFailed, "", "bad input", false);
      }
      if (outcome == 4) return node.jobs->OnEnded(id, AttemptEnd::kFailed, "", "bad worker", true);
      node.jobs->OnEnded(id, AttemptEnd::kLost, "", "worker lost", false);
    });
    sim.After(500,
              [this, &node, id, outcome, repeats] { ReportEnd(node, id, outcome, repeats + 1); });
  }

  void DeliverEvent(Node& node, const std::function<void()>& event) {
    node.process->Deliver(event);
    if (sim.Chance(5)) node.process->Deliver(event);
  }

  // A worker may discard a result only when the row shows the job's end or a later attempt.
  void OnAcknowledged(const TaskId& id) {
    Task& task = tasks[id];
    task.acknowledged = true;
    const Row row = table.Get(schema::JobRow(task.job));
    auto record = DecodeJob(task.job, row.value, row.revision);
    Require(record && (HasEnded(record.value().state) || record.value().epoch > task.epoch ||
                       record.value().state == JobState::kQueued),
            "acknowledged before it was recorded");
  }

  void CheckCommit(const Transaction& transaction) {
    for (const RowWrite& write : transaction.writes) {
      if (write.key.table != schema::kJobs) continue;
      const JobId id(write.key.key);
      Require(write.value.has_value(), "job row deleted");
      auto record = DecodeJob(id, *write.value, Revision(1));
      Require(bool(record), "job row cannot be parsed");
      Require(!ended.contains(id), "a job was written again after its end");
      Require(record.value().epoch >= recorded_epochs[id], "epoch went back");
      recorded_epochs[id] = record.value().epoch;
      Require(record.value().failures <= failures[id],
              "a failure was counted that the job did not cause");
      NodeId& holder = holders[id];
      for (const auto& node : nodes) {
        const bool gained = record.value().holder == node->id && holder != node->id;
        Require(!gained || !node->fenced, "a fenced node became the holder");
      }
      holder = record.value().holder;
      if (HasEnded(record.value().state)) ended[id] = record.value().state;
      CheckIndex(id, record.value());
    }
  }

  // A job that has not ended is in the holder's index only; an ended job is in no index.
  void CheckIndex(const JobId& id, const JobRecord& record) const {
    int n = 0;
    for (const auto& [key, row] : table.rows) {
      if (key.table == schema::kJobIndex && key.key.ends_with("/" + id.str())) ++n;
    }
    const bool indexed = table.rows.contains(schema::JobIndexRow(record.holder, id));
    Require(HasEnded(record.state) ? n == 0 : (n == 1 && indexed), "index differs from the row");
  }

  void Submit(Node& node, int request, Slots slots = Slots(1)) {
    JobSpec spec;
    spec.team = TeamId("t");
    spec.service = ServiceId("s");
    spec.slots = slots;
    spec.request = RequestId("r" + std::to_string(request));
    node.jobs->Submit(spec, [this, request](const Result<JobRecord>& result) {
      if (!result) return;
      const JobId id = result.value().id;
      Require(ids.emplace(request, id).first->second == id, "a request has two jobs");
      Require(table.rows.contains(schema::JobRow(id)), "acknowledged before it was recorded");
    });
  }

  void Cancel(Node& node) {
    if (ids.empty()) return;
    const auto it = std::next(ids.begin(), sim.Below(std::ssize(ids)));
    node.jobs->Cancel(TeamId("t"), it->second, [this](const Result<JobRecord>& result) {
      if (!result) return;
      ++cancelled;
      Require(HasEnded(result.value().state), "a cancelled job continues");
      Require(ended.contains(result.value().id), "cancellation reported before it was recorded");
    });
  }

  Node& RandomNode() { return *nodes[static_cast<std::size_t>(sim.Below(std::ssize(nodes)))]; }

  void SubmitAndCancel(std::int64_t ms) {
    for (std::int64_t t = 0; t < ms; t += 50) {
      sim.RunFor(50);
      Node& node = RandomNode();
      if (!node.process->alive || node.process->paused) continue;
      if (sim.Chance(50)) Submit(node, static_cast<int>(sim.Below(25)));
      if (sim.Chance(4)) Cancel(node);
    }
  }

  // Fences a stopped node like the daemon: marks its member row and lets peers adopt its jobs.
  void Fence(Node& node) {
    node.fenced = true;
    table.Apply({AttemptId("f"), {}, {{schema::MemberRow(node.id), R"({"fenced":true})"}}});
    for (auto& peer : nodes) {
      if (peer->process->alive && !peer->process->paused) peer->jobs->AdoptFrom(node.id);
    }
  }

  void InjectFault() {
    Node& node = RandomNode();
    const std::int64_t kind = sim.Below(5);
    if (kind == 0) table.out = !table.out;
    if (kind <= 2 && nodes.size() < 8 && node.process->alive && !node.fenced) {
      node.process->paused = true;
      AddNode();
      sim.After(sim.Below(1500), [this, &node] { Fence(node); });
      if (sim.Chance(50)) sim.After(sim.Below(4000), [&node] { node.process->Resume(); });
    }
    if (kind == 3 && nodes.size() < 8 && node.process->alive && !node.process->paused) {
      node.jobs->Drain([&node] { node.process->alive = false; });
      AddNode();
    }
  }

  // Ends all faults. Then every job in the table must end.
  void EndFaultsAndCheck() {
    table.out = false;
    table.fault_percent = 0;
    always_done = true;
    sim.RunFor(3000);
    AddNode();
    for (auto& node : nodes) {
      if (node->fenced) nodes.back()->jobs->AdoptFrom(node->id);
    }
    sim.RunFor(15000);
    for (const auto& [request, id] : ids) Require(ended.contains(id), "an accepted job was lost");
    for (const auto& [key, row] : table.rows) {
      Require(key.table != schema::kJobs || ended.contains(JobId(key.key)), "a job never ends");
    }
    for (const auto& [id, state] : ended) {
      Require(state != JobState::kFailed || failures[id] >= 5, "a job failed before max_failures");
    }
  }

  void Require(bool ok, const char* what) const {
    if (!ok) FAIL((std::string(what) + ", seed " + std::to_string(seed_)).c_str());
  }

  Simulation sim;
  SimTable table;
  JobManager::Settings settings;
  std::vector<std::unique_ptr<Node>> nodes;
  std::map<TaskId, Task> tasks;
  std::map<JobId, Epoch> seen_epochs;
  std::map<JobId, Epoch> recorded_epochs;
  std::map<JobId, NodeId> holders;
  std::map<JobId, JobState> ended;
  std::map<JobId, int> failures;
  std::set<TaskId> failed;
  std::map<int, JobId> ids;
  bool always_done = false;
  // Attempts are accepted but never end.
  bool hang = false;
  int attempts = 0;
  int cancelled = 0;

 private:
  std::uint64_t seed_;
};

}  // namespace

// Guards against jobs that are lost, end twice or run with an old epoch, and against results that
// are acknowledged before they are recorded. Causes are lost and late table replies, outages,
// failing workers, paused holders that resume, kills, drains, cancellations and concurrent
// adoptions.
TEST(JobManager, EveryAcceptedJobEndsOnceInEverySchedule) {
  int jobs = 0;
  int attempts = 0;
  int cancelled = 0;
  for (std::uint64_t seed = 1; seed <= 1000; ++seed) {
    Cluster cluster(seed);
    for (int i = 0; i < 10; ++i) {
      cluster.SubmitAndCancel(100 + cluster.sim.Below(700));
      cluster.InjectFault();
    }
    cluster.EndFaultsAndCheck();
    jobs += static_cast<int>(cluster.ended.size());
    attempts += cluster.attempts;
    cancelled += cluster.cancelled;
  }
  CHECK_TRUE(jobs > 10000);
  CHECK_TRUE(attempts > jobs * 3 / 2);
  CHECK_TRUE(cancelled > 1000);
}

// Guards against a job that fits no worker and waits forever.
TEST(JobManager, JobThatFitsNoWorkerIsReportedAtOnce) {
  Cluster cluster(1, 1);
  cluster.table.fault_percent = 0;
  cluster.Submit(*cluster.nodes[0], 1, Slots(9));
  cluster.sim.RunFor(500);
  LONGS_EQUAL(1, cluster.ended.size());
  CHECK_TRUE(cluster.ended.begin()->second == JobState::kCannotRun);
  LONGS_EQUAL(0, cluster.attempts);
}

// Guards against a job that waits forever at a node without a worker of its service although
// another node has one.
TEST(JobManager, JobMovesToANodeThatHasAWorker) {
  Cluster cluster(1, 3);
  cluster.table.fault_percent = 0;
  cluster.hang = true;
  cluster.nodes[0]->has_worker = cluster.nodes[1]->has_worker = false;
  cluster.Submit(*cluster.nodes[0], 1);
  cluster.sim.RunFor(20000);
  LONGS_EQUAL(0, cluster.nodes[0]->jobs->Held().size());
  LONGS_EQUAL(0, cluster.nodes[1]->jobs->Held().size());
  LONGS_EQUAL(1, cluster.nodes[2]->jobs->Held().size());
}

// Guards against a team that can read or cancel the jobs of other teams.
TEST(JobManager, JobsOfOtherTeamsAreNotFound) {
  Cluster cluster(1, 2);
  cluster.table.fault_percent = 0;
  cluster.Submit(*cluster.nodes[0], 1);
  cluster.sim.RunFor(200);
  int not_found = 0;
  const auto count = [&not_found](const Result<JobRecord>& result) {
    if (!result && result.error().kind == ErrorKind::kNotFound) ++not_found;
  };
  for (auto& node : cluster.nodes) {
    node->jobs->Get(TeamId("other"), cluster.ids[1], count);
    node->jobs->Cancel(TeamId("other"), cluster.ids[1], count);
  }
  cluster.sim.RunFor(200);
  LONGS_EQUAL(4, not_found);
}

// Guards against a job that keeps running after it was cancelled through another node. Its holder
// has nothing to write and therefore does not notice the changed row.
TEST(JobManager, CancellationAtAnotherNodeStopsTheTask) {
  Cluster cluster(1, 2);
  cluster.table.fault_percent = 0;
  cluster.hang = true;
  cluster.Submit(*cluster.nodes[0], 1);
  cluster.sim.RunFor(1000);
  cluster.Cancel(*cluster.nodes[1]);
  cluster.sim.RunFor(3000);
  LONGS_EQUAL(1, cluster.cancelled);
  LONGS_EQUAL(0, cluster.nodes[0]->jobs->Held().size());
  for (const auto& [id, task] : cluster.tasks) CHECK_TRUE(task.stopped);
}

// Guards against a submission that is reported as not run although it took effect.
TEST(JobManager, RefusedSubmissionHasNoEffect) {
  Cluster cluster(1, 1);
  cluster.sim.RunFor(100);
  cluster.table.out = true;
  int not_run = 0;
  JobSpec spec;
  spec.team = TeamId("t");
  spec.request = RequestId("r");
  cluster.nodes[0]->jobs->Submit(spec, [&not_run](const Result<JobRecord>& result) {
    if (!result && result.error().run == RunState::kNotRun) ++not_run;
  });
  cluster.sim.RunFor(3000);
  LONGS_EQUAL(1, not_run);
  cluster.table.out = false;
  cluster.sim.RunFor(3000);
  LONGS_EQUAL(0, cluster.ended.size());
  LONGS_EQUAL(0, cluster.nodes[0]->jobs->Held().size());
}

}  // namespace sapphirewheel::testing
