#include "sapphirewheel/coordination/node_fencer.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "coordination/tests/sim_table.h"

#include "CppUTest/TestHarness.h"

// clang-format off
TEST_GROUP(NodeFencer) {};
// clang-format on

namespace sapphirewheel::testing {
namespace {

// A simulated worker. A reboot ends its tasks and clears its fences.
struct Worker {
  VmInfo info;
  int boot = 1;
  MonotonicTime up_since{};
  bool fenced = false;
  int running = 0;
};

// A fencer, workers that reboot, appear and disappear, and a node that keeps dispatching until a
// worker tells it that it is fenced.
class Cluster {
 public:
  explicit Cluster(std::uint64_t seed) : sim(seed), seed_(seed) {
    NodeFencer::Hooks hooks;
    hooks.fence = [this](const std::string& address, const NodeId&,
                         const std::function<void(FenceReply)>& done) { Fence(address, done); };
    hooks.complete = [this](const NodeId&) { OnComplete(); };
    fencer = std::make_unique<NodeFencer>(NodeFencer::Settings(), hooks);
    node.node = NodeId("n#1");
    node.data_centre = DataCentreId("dc1");
    for (int i = 0; i < 6; ++i) AddWorker();
    ScheduleTick();
    ScheduleVmList();
    ScheduleNode();
  }

  void AddWorker() {
    Worker worker;
    worker.info.vm = VmId("w" + std::to_string(++next_worker_));
    worker.info.address = worker.info.vm.str();
    worker.info.data_centre = node.data_centre;
    worker.up_since = sim.Now();
    workers[worker.info.address] = worker;
  }

  void ScheduleTick() {
    fencer->Tick(sim.Now());
    VmList list;
    for (const auto& [address, worker] : workers) list.vms.push_back(worker.info);
    history_.emplace_back(sim.Now(), list);
    if (!history_.empty() && sim.Now() - history_.front().first > Millis(10000)) {
      history_.pop_front();
    }
    sim.After(100, [this] { ScheduleTick(); });
  }

  // Delivers a random list of the last 10 s, so that a list may be older than the previous one.
  void ScheduleVmList() {
    if (!list_out) {
      const auto n = static_cast<std::size_t>(sim.Below(std::ssize(history_)));
      fencer->OnVmList(history_[n].second, sim.Now());
    }
    sim.After(500 + sim.Below(1000), [this] { ScheduleVmList(); });
  }

  // The node renews its ownership of all workers every second and starts tasks unless refused.
  void ScheduleNode() {
    for (auto& [address, worker] : workers) {
      if (worker.running > 0 && sim.Chance(40)) --worker.running;
      // The node owns a rebooted worker again only after the boot was reported.
      if (stopped || sim.Now() - worker.up_since < Millis(600)) continue;
      if (worker.fenced) {
        stopped = true;
      } else {
        worker.running += sim.Chance(30) ? 1 : 0;
      }
    }
    sim.After(1000, [this] { ScheduleNode(); });
  }

  void Fence(const std::string& address, const std::function<void(FenceReply)>& done) {
    const bool request_lost = cut_fencer || sim.Chance(20);
    const bool answer_lost = sim.Chance(20);
    const std::int64_t arrival = sim.Below(300);
    sim.After(arrival, [this, address, done, request_lost, answer_lost] {
      const auto it = workers.find(address);
      FenceReply reply;
      if (it != workers.end() && !request_lost) {
        it->second.fenced = true;
        reply = FenceReply{true, it->second.running};
      }
      if (answer_lost) reply = FenceReply();
      sim.After(sim.Below(sim.Chance(10) ? 3000 : 300), [done, reply] { done(reply); });
    });
  }

  void OnComplete() {
    ++completed;
    for (const auto& [address, worker] : workers) {
      Require(worker.running == 0, "fencing completed while a task of the node was running");
    }
  }

  void InjectFault() {
    const std::int64_t kind = sim.Below(12);
    auto it = std::next(workers.begin(), sim.Below(std::ssize(workers)));
    Worker& worker = it->second;
    if (kind == 0) Reboot(worker);
    if (kind == 1 && workers.size() > 3) workers.erase(it);
    if (kind == 2 && workers.size() < 12) AddWorker();
    if (kind == 3) worker.running = 0;
    if (kind == 4) cut_fencer = !cut_fencer;
    if (kind == 5) list_out = !list_out;
  }

  void Reboot(Worker& worker) {
    ++worker.boot;
    worker.up_since = sim.Now();
    worker.fenced = false;
    worker.running = 0;
    const std::string boot = std::to_string(worker.boot);
    sim.After(sim.Below(400),
              [this, vm = worker.info.vm, boot] { fencer->OnWorkerBoot(vm, boot, sim.Now()); });
  }

  void Require(bool ok, const char* what) const {
    if (!ok) FAIL((std::string(what) + ", seed " + std::to_string(seed_)).c_str());
  }

  Simulation sim;
  std::unique_ptr<NodeFencer> fencer;
  MemberRecord node;
  std::map<std::string, Worker> workers;
  bool cut_fencer = false;
  bool list_out = false;
  bool stopped = false;
  int completed = 0;

 private:
  std::uint64_t seed_;
  int next_worker_ = 0;
  std::deque<std::pair<MonotonicTime, VmList>> history_;
};

// A fencer whose calls are answered explicitly by the test.
class ScriptedFencer {
 public:
  ScriptedFencer() {
    NodeFencer::Hooks hooks;
    hooks.fence = [this](const std::string& address, const NodeId&,
                         const std::function<void(FenceReply)>& done) {
      calls[address].push_back(done);
    };
    hooks.complete = [this](const NodeId&) { complete = true; };
    fencer = std::make_unique<NodeFencer>(NodeFencer::Settings(), hooks);
    member.node = NodeId("n#1");
    member.data_centre = DataCentreId("dc1");
  }

  // Delivers a list of these workers once per second, for the given number of seconds.
  void List(const std::vector<std::string>& names, int seconds) {
    VmList list;
    for (const std::string& name : names) {
      VmInfo vm;
      vm.vm = VmId(name);
      vm.address = name;
      vm.data_centre = member.data_centre;
      list.vms.push_back(vm);
    }
    for (int i = 0; i < seconds; ++i) {
      now += Millis(1000);
      fencer->OnVmList(list, now);
    }
  }

  void Confirm(const std::string& name, std::size_t call) {
    calls[name].at(call)(FenceReply{true, 0});
  }

  std::unique_ptr<NodeFencer> fencer;
  MemberRecord member;
  MonotonicTime now{};
  std::map<std::string, std::vector<std::function<void(FenceReply)>>> calls;
  bool complete = false;
};

}  // namespace

// Guards against counting a confirmation that a worker gave before its reboot and that arrives
// after it.
TEST(NodeFencer, ConfirmationFromBeforeARebootDoesNotCount) {
  ScriptedFencer scripted;
  scripted.List({"w1"}, 1);
  scripted.fencer->Fence(scripted.member, scripted.now);
  scripted.fencer->OnWorkerBoot(VmId("w1"), "boot-2", scripted.now);
  scripted.Confirm("w1", 0);
  scripted.List({"w1"}, 30);
  CHECK_FALSE(scripted.complete);
  scripted.Confirm("w1", 1);
  scripted.List({"w1"}, 12);
  CHECK_TRUE(scripted.complete);
}

// Guards against missing a worker that the node already uses but that the delayed list does not
// show yet.
TEST(NodeFencer, WorkerThatAppearsWithinTheListLagMustConfirm) {
  ScriptedFencer scripted;
  scripted.List({"w1"}, 1);
  scripted.fencer->Fence(scripted.member, scripted.now);
  scripted.Confirm("w1", 0);
  scripted.List({"w1"}, 9);
  CHECK_FALSE(scripted.complete);
  scripted.List({"w1", "w2"}, 30);
  CHECK_FALSE(scripted.complete);
  scripted.Confirm("w2", 0);
  scripted.List({"w1", "w2"}, 12);
  CHECK_TRUE(scripted.complete);
}

// Guards against a worker that is considered gone because a list was older than the previous one.
TEST(NodeFencer, WorkerIsGoneOnlyAfterTheListLag) {
  ScriptedFencer scripted;
  scripted.List({"w1", "w2"}, 1);
  scripted.fencer->Fence(scripted.member, scripted.now);
  scripted.Confirm("w1", 0);
  for (int i = 0; i < 5; ++i) {
    scripted.List({"w1"}, 9);
    scripted.List({"w1", "w2"}, 3);
  }
  CHECK_FALSE(scripted.complete);
  scripted.List({"w1"}, 30);
  CHECK_TRUE(scripted.complete);
}

// Guards against fencing that completes while a task of the node is still running. Causes are lost
// and late replies, reboots that clear the fence, workers that appear or disappear, and delayed
// lists.
TEST(NodeFencer, NoTaskRunsWhenFencingIsCompleteInAnySchedule) {
  int early = 0;
  for (std::uint64_t seed = 1; seed <= 1500; ++seed) {
    Cluster cluster(seed);
    cluster.sim.RunFor(2000 + cluster.sim.Below(12000));
    cluster.fencer->Fence(cluster.node, cluster.sim.Now());
    for (int i = 0; i < 15; ++i) {
      cluster.sim.RunFor(cluster.sim.Below(5000));
      cluster.InjectFault();
    }
    early += cluster.completed;
    cluster.cut_fencer = cluster.list_out = false;
    cluster.sim.RunFor(5000);
    for (auto& [address, worker] : cluster.workers) worker.running = 0;
    cluster.sim.RunFor(60000);
    cluster.Require(cluster.completed == 1, "fencing did not complete exactly once");
    for (const auto& [address, worker] : cluster.workers) {
      cluster.Require(worker.fenced, "a worker does not refuse the node at the end");
    }
  }
  CHECK_TRUE(early > 200);
}

// Guards against a repeated call of Fence for a node that restarts the fencing or reports it twice.
TEST(NodeFencer, RepeatedFenceIsReportedOnce) {
  Cluster cluster(1);
  cluster.sim.RunFor(2000);
  for (int i = 0; i < 40; ++i) {
    cluster.fencer->Fence(cluster.node, cluster.sim.Now());
    for (auto& [address, worker] : cluster.workers) worker.running = 0;
    cluster.sim.RunFor(1000);
  }
  LONGS_EQUAL(1, cluster.completed);
  CHECK_TRUE(cluster.fencer->IsComplete(cluster.node.node));
  CHECK_FALSE(cluster.fencer->IsFencing(cluster.node.node));
}

// Guards against fencing that completes because no VM list, and so no worker, was received yet.
TEST(NodeFencer, NothingIsCompleteWithoutAVmList) {
  Cluster cluster(1);
  cluster.list_out = true;
  NodeFencer::Hooks hooks;
  hooks.fence = [](const std::string&, const NodeId&, const std::function<void(FenceReply)>&) {};
  int completed = 0;
  hooks.complete = [&completed](const NodeId&) { ++completed; };
  NodeFencer fencer(NodeFencer::Settings(), hooks);
  fencer.Fence(cluster.node, cluster.sim.Now());
  for (int i = 0; i < 60; ++i) {
    cluster.sim.RunFor(1000);
    fencer.Tick(cluster.sim.Now());
  }
  LONGS_EQUAL(0, completed);
  CHECK_TRUE(fencer.IsFencing(cluster.node.node));
}

// Guards against a worker that reboots after the fencing is complete and is not fenced again.
TEST(NodeFencer, RebootAfterCompletionRepeatsTheFence) {
  Cluster cluster(1);
  cluster.sim.RunFor(2000);
  cluster.fencer->Fence(cluster.node, cluster.sim.Now());
  for (int i = 0; i < 40; ++i) {
    for (auto& [address, worker] : cluster.workers) worker.running = 0;
    cluster.sim.RunFor(1000);
  }
  LONGS_EQUAL(1, cluster.completed);
  Worker& worker = cluster.workers.begin()->second;
  cluster.Reboot(worker);
  CHECK_FALSE(worker.fenced);
  cluster.sim.RunFor(10000);
  CHECK_TRUE(worker.fenced);
  LONGS_EQUAL(1, cluster.completed);
}

}  // namespace sapphirewheel::testing
