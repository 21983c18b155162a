#include "sapphirewheel/coordination/token_escrow.h"

#include <memory>
#include <string>
#include <vector>

#include "coordination/tests/sim_table.h"
#include "sapphirewheel/state/json.h"
#include "sapphirewheel/state/schema.h"

#include "CppUTest/TestHarness.h"

// clang-format off
TEST_GROUP(TokenEscrow) {};
// clang-format on

namespace sapphirewheel::testing {
namespace {

std::int64_t Field(const Row& row, const char* name) {
  auto object = ParseObject(row.value);
  return object ? IntField(object.value(), name) : 0;
}

struct Node {
  NodeId id;
  std::shared_ptr<Process> process = std::make_shared<Process>();
  std::unique_ptr<TokenEscrow> escrow;
  // Slots of its running tasks by team; fencing ends the tasks.
  std::map<TeamId, std::int64_t> running;
  bool fenced = false;
  // Tokens that it held in the table when it was fenced; it must not acquire more.
  std::map<TeamId, std::int64_t> held_at_fence;
};

// Several nodes that run tasks of two teams with one table. The invariants are checked at every
// commit.
class Cluster {
 public:
  explicit Cluster(std::uint64_t seed) : sim(seed), table(sim), seed_(seed) {
    table.on_commit = [this](const Transaction& transaction) {
      const RowKey& key = transaction.writes.front().key;
      if (key.table == schema::kQuota) CheckTokens(TeamId(key.key.substr(0, key.key.find('/'))));
    };
    for (const char* name : {"a", "b"}) SetLimit(TeamId(name), 4 + sim.Below(20));
    // The number of nodes varies: with one or two nodes, rows stay unchanged for longer, so that
    // late transactions can take effect.
    table.fault_percent = sim.Chance(50) ? 5 : 20;
    const std::int64_t n = 1 + sim.Below(4);
    for (std::int64_t i = 0; i < n; ++i) AddNode();
  }

  void SetLimit(const TeamId& team, std::int64_t limit) {
    const ConfigVersion version(config.version.count() + 1);
    CHECK_TRUE(
        bool(ApplyEntry(config, {version, PlanId("p"), TeamChange{team, Share(1), Slots(limit)}})));
    for (auto& node : nodes) Apply(*node, sim.Below(400));
  }

  void Apply(Node& node, std::int64_t delay) {
    sim.After(delay, [&node, copy = config] {
      node.process->Deliver([&node, copy] { node.escrow->OnConfig(copy); });
    });
  }

  void AddNode() {
    nodes.push_back(std::make_unique<Node>());
    Node& node = *nodes.back();
    node.id = NodeId("n" + std::to_string(nodes.size()) + "#1");
    TokenEscrow::Settings settings;
    settings.self = node.id;
    TokenEscrow::Hooks hooks;
    hooks.table = table.HooksFor(node.process);
    hooks.random = [this] { return sim.Random(); };
    hooks.clock = [this] { return sim.Now(); };
    hooks.available = [](const TeamId&) {};
    node.escrow = std::make_unique<TokenEscrow>(settings, hooks);
    table.Apply({AttemptId("m"), {}, {{schema::MemberRow(node.id), R"({"fenced":false})"}}});
    Apply(node, 0);
    ScheduleTick(node);
  }

  void ScheduleTick(Node& node) {
    sim.After(20 + sim.Below(30), [this, &node] {
      if (!node.process->alive) return;
      if (!node.process->paused) {
        node.escrow->Tick(sim.Now());
        if (demand && sim.Chance(60)) Start(node, TeamId(sim.Chance(50) ? "a" : "b"));
      }
      ScheduleTick(node);
    });
  }

  void Start(Node& node, const TeamId& team) {
    const std::int64_t slots = 1 + sim.Below(3);
    if (!node.escrow->TryTake(team, Slots(slots))) return;
    // Workers only refuse fenced nodes.
    if (!node.fenced) {
      node.running[team] += slots;
      ++started;
      CheckTokens(team);
    }
    sim.After(10 + sim.Below(600), [&node, team, slots] {
      node.process->Deliver([&node, team, slots] {
        if (!node.fenced) node.running[team] -= slots;
        node.escrow->Release(team, Slots(slots));
      });
    });
  }

  // Fences a stopped node like the daemon: its tasks end, its member row is marked, and one or more
  // peers reclaim its tokens.
  void Fence(Node& node) {
    node.fenced = true;
    node.running.clear();
    for (const TeamId& team : {TeamId("a"), TeamId("b")}) {
      node.held_at_fence[team] = Field(table.Get(schema::QuotaHeld(team, node.id)), "tokens");
    }
    table.Apply({AttemptId("f"), {}, {{schema::MemberRow(node.id), R"({"fenced":true})"}}});
    for (auto& peer : nodes) {
      if (peer->fenced || peer->process->paused) continue;
      peer->escrow->Reclaim(node.id, [this](const Result<void>& result) {
        CHECK_TRUE(bool(result));
        ++reclaimed;
      });
      if (sim.Chance(50)) break;
    }
  }

  void CheckTokens(const TeamId& team) {
    const Row free = table.Get(schema::QuotaFree(team));
    std::int64_t sum = Field(free, "free");
    for (const auto& node : nodes) {
      const std::int64_t held = Field(table.Get(schema::QuotaHeld(team, node->id)), "tokens");
      sum += held;
      Require(held >= 0, "negative held tokens");
      Require(node->fenced || node->running[team] <= held,
              "running tasks use more than the held tokens");
      Require(!node->fenced || held <= node->held_at_fence[team], "a fenced node acquired tokens");
    }
    Require(sum == Field(free, "limit"), "free and held tokens do not add up to the limit");
  }

  void Require(bool ok, const char* what) const {
    if (!ok) FAIL((std::string(what) + ", seed " + std::to_string(seed_)).c_str());
  }

  void InjectFault() {
    Node& node = *nodes[static_cast<std::size_t>(sim.Below(std::ssize(nodes)))];
    const std::int64_t kind = sim.Below(5);
    if (kind == 0) SetLimit(TeamId(sim.Chance(50) ? "a" : "b"), sim.Below(25));
    if (kind == 1) table.out = !table.out;
    if (kind == 2 && !node.fenced && !node.process->paused) {
      node.process->paused = true;
      if (sim.Chance(50)) sim.After(sim.Below(3000), [&node] { node.process->Resume(); });
    }
    if (kind >= 3 && node.process->paused && !node.fenced && nodes.size() < 8) {
      Fence(node);
      if (sim.Chance(40)) node.process->alive = false;
      sim.After(sim.Below(3000), [&node] { node.process->Resume(); });
      AddNode();
    }
  }

  // Repeats all reclaims, because some stayed incomplete when the reclaiming node was fenced too.
  void ReclaimAgain() {
    AddNode();
    for (auto& node : nodes) {
      if (node->fenced) nodes.back()->escrow->Reclaim(node->id, [](const Result<void>&) {});
    }
  }

  // Ends all faults and the demand. Then every token must return to the free row.
  void EndFaultsAndCheck() {
    table.out = false;
    table.fault_percent = 0;
    for (auto& node : nodes) {
      if (node->process->paused) node->process->Resume();
    }
    SetLimit(TeamId("a"), 10);
    SetLimit(TeamId("b"), 12);
    ReclaimAgain();
    sim.RunFor(3000);
    demand = false;
    sim.RunFor(8000);
    Require(Field(table.Get(schema::QuotaFree(TeamId("a"))), "free") == 10,
            "tokens of team a are missing");
    Require(Field(table.Get(schema::QuotaFree(TeamId("b"))), "free") == 12,
            "tokens of team b are missing");
  }

  Simulation sim;
  SimTable table;
  FleetConfig config;
  std::vector<std::unique_ptr<Node>> nodes;
  bool demand = true;
  int started = 0;
  int reclaimed = 0;

 private:
  std::uint64_t seed_;
};

}  // namespace

// Guards against tokens that are created, lost or used twice. Causes are lost, late, repeated and
// reordered table replies, outages, changed limits, fenced nodes that resume, and concurrent
// reclaims.
TEST(TokenEscrow, SumOfTokensIsTheLimitInEverySchedule) {
  int started = 0;
  int reclaimed = 0;
  for (std::uint64_t seed = 1; seed <= 2000; ++seed) {
    Cluster cluster(seed);
    for (int i = 0; i < 12; ++i) {
      cluster.sim.RunFor(100 + cluster.sim.Below(700));
      cluster.InjectFault();
    }
    cluster.EndFaultsAndCheck();
    started += cluster.started;
    reclaimed += cluster.reclaimed;
  }
  CHECK_TRUE(started > 100000);
  CHECK_TRUE(reclaimed > 100);
}

// Guards against a draining node that keeps idle tokens or leaves rows behind.
TEST(TokenEscrow, DrainReturnsAllIdleTokensAndRemovesTheRows) {
  for (std::uint64_t seed = 1; seed <= 200; ++seed) {
    Cluster cluster(seed);
    cluster.sim.RunFor(1500);
    int drained = 0;
    for (auto& node : cluster.nodes) node->escrow->Drain([&drained] { ++drained; });
    cluster.sim.RunFor(12000);
    cluster.Require(drained == std::ssize(cluster.nodes),
                    "a node did not report the end of its drain");
    for (const auto& [key, row] : cluster.table.rows) {
      cluster.Require(key.table != schema::kQuota || key.key.find('/') == std::string::npos,
                      "a row of held tokens is left behind");
    }
  }
}

// Guards against a task that never gets its tokens because it is larger than the node's chunk, and
// against two nodes that block each other by each holding part of the tokens that their tasks need.
TEST(TokenEscrow, LargeTasksOfTwoNodesGetTheirTokens) {
  Cluster cluster(1);
  cluster.demand = false;
  cluster.table.fault_percent = 0;
  while (cluster.nodes.size() < 2) cluster.AddNode();
  cluster.SetLimit(TeamId("a"), 6);
  cluster.sim.RunFor(1000);
  Node& first = *cluster.nodes[0];
  Node& second = *cluster.nodes[1];
  for (Node* node : {&first, &second}) {
    for (int i = 0; i < 100 && !node->escrow->TryTake(TeamId("a"), Slots(3)); ++i) {
      cluster.sim.RunFor(50);
    }
    LONGS_EQUAL(3, node->escrow->Held(TeamId("a")).count());
  }
  for (Node* node : {&first, &second}) node->escrow->Release(TeamId("a"), Slots(3));
  bool started = false;
  for (int i = 0; i < 200 && !started; ++i) {
    for (Node* node : {&first, &second}) {
      started = started || node->escrow->TryTake(TeamId("a"), Slots(4));
    }
    cluster.sim.RunFor(50);
  }
  CHECK_TRUE(started);
}

}  // namespace sapphirewheel::testing
