#include "sapphirewheel/coordination/claim_log.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "coordination/tests/sim_table.h"
#include "sapphirewheel/state/json.h"
#include "sapphirewheel/state/schema.h"

#include "CppUTest/TestHarness.h"

// clang-format off
TEST_GROUP(ClaimLog) {};
// clang-format on

namespace sapphirewheel::testing {
namespace {

struct Node {
  NodeId id;
  std::shared_ptr<Process> process = std::make_shared<Process>();
  std::unique_ptr<ClaimLog> log;
};

// Several nodes that claim requests from a small set of keys, so that most claims are duplicates.
// The test compares the replies with `unreleased`, the keys that were granted and not released
// since.
class Cluster {
 public:
  explicit Cluster(std::uint64_t seed, int nodes_at_start = 4)
      : sim(seed), table(sim), seed_(seed) {
    table.fault_percent = sim.Chance(50) ? 4 : 15;
    settings.ranges = 3;
    // Small batches, so that a release and a claim of one key are recorded in different batches.
    if (sim.Chance(50)) settings.max_batch = 2;
    table.on_commit = [this](const Transaction& transaction) { CountRecorded(transaction); };
    for (int i = 0; i < nodes_at_start; ++i) AddNode();
    AnnounceRunningNodes();
  }

  void CountRecorded(const Transaction& transaction) {
    for (const RowWrite& write : transaction.writes) {
      if (write.key.table != schema::kClaims || !write.value) continue;
      auto object = ParseObject(*write.value);
      Require(bool(object), "claim row cannot be parsed");
      for (const auto& claim : object.value().at("claims").as_array()) {
        ++recorded[std::string(claim.as_array().at(1).as_string())];
      }
    }
  }

  void AddNode() {
    nodes.push_back(std::make_unique<Node>());
    Node& node = *nodes.back();
    node.id = NodeId("n" + std::to_string(nodes.size()) + "#1");
    settings.self = node.id;
    ClaimLog::Hooks hooks;
    hooks.table = table.HooksFor(node.process);
    hooks.random = [this] { return sim.Random(); };
    hooks.clock = [this] { return sim.Now(); };
    node.log = std::make_unique<ClaimLog>(settings, hooks);
    ScheduleTick(node);
  }

  void ScheduleTick(Node& node) {
    sim.After(5 + sim.Below(10), [this, &node] {
      if (!node.process->alive) return;
      if (!node.process->paused) node.log->Tick(sim.Now());
      ScheduleTick(node);
    });
  }

  // Tells all nodes which nodes are running.
  void AnnounceRunningNodes() {
    std::vector<NodeId> live;
    for (const auto& node : nodes) {
      if (node->process->alive && !node->process->paused) live.push_back(node->id);
    }
    for (auto& node : nodes) AnnounceNodes(*node, live);
  }

  // Tells a node about a random subset of the nodes, as with partitions and delayed heartbeats.
  void AnnounceRandomNodes(Node& node) {
    std::vector<NodeId> live;
    for (const auto& peer : nodes) {
      if (peer.get() == &node || sim.Chance(60)) live.push_back(peer->id);
    }
    AnnounceNodes(node, live);
  }

  void AnnounceNodes(Node& node, const std::vector<NodeId>& live) {
    sim.After(sim.Below(200), [&node, live] {
      node.process->Deliver([&node, live] { node.log->OnLiveNodes(live); });
    });
  }

  // Sends a node's claim to the owner of the key according to that node.
  void Claim(Node& claimant, const ClaimKey& key) {
    const NodeId owner_id = claimant.log->OwnerOf(key);
    for (auto& owner : nodes) {
      if (owner->id != owner_id) continue;
      sim.After(sim.Below(30), [this, &claimant, &owner = *owner, key] {
        owner.process->Deliver([this, &claimant, &owner, key] {
          owner.log->Claim(key, claimant.id, [this, &claimant, &owner, key](ClaimReply reply) {
            OnReply(claimant, owner, key, reply);
          });
        });
      });
    }
  }

  void OnReply(Node& claimant, Node& owner, const ClaimKey& key, const ClaimReply& reply) {
    if (reply.verdict == ClaimVerdict::kUncertain) ++uncertain;
    if (reply.verdict == ClaimVerdict::kDuplicate) {
      ++duplicates;
      if (reply.answer) Require(reply.answer->body == key.request.str(), "response of another key");
      Require(!reply.done || done.contains(key), "reported as done before it was done");
    }
    if (reply.verdict != ClaimVerdict::kGranted) return;
    ++granted;
    Require(unreleased.insert(key).second, "granted twice without a release in between");
    // After a claim was recorded without a grant (uncertain, or its owner stopped), the key must
    // not be granted any more.
    Require(recorded[key.request.str()] == ++granted_by_key[key.request.str()],
            "granted although an uncertain claim is recorded");
    const std::int64_t action = sim.Below(3);
    sim.After(sim.Below(300), [this, &claimant, &owner, key, action] {
      ClaimOutcome outcome = ClaimOutcome::kUnknown;
      std::optional<CachedResponse> answer;
      if (action == 0) {
        outcome = ClaimOutcome::kReleased;
        unreleased.erase(key);
      }
      if (action == 1) {
        outcome = ClaimOutcome::kDone;
        done.insert(key);
        answer = CachedResponse{200, "text/plain", key.request.str()};
      }
      // If the owner has changed since, the outcome goes to either the old or the new owner.
      Node* target = &owner;
      const NodeId current = claimant.log->OwnerOf(key);
      for (auto& node : nodes) {
        if (node->id == current && sim.Chance(50)) target = node.get();
      }
      target->process->Deliver([&claimant, target, key, outcome, answer] {
        target->log->RecordOutcome(key, claimant.id, outcome, answer);
      });
      if (action == 0 && sim.Chance(70)) Claim(RandomNode(), key);
    });
  }

  Node& RandomNode() { return *nodes[static_cast<std::size_t>(sim.Below(std::ssize(nodes)))]; }

  void SendClaims(std::int64_t ms) {
    for (std::int64_t t = 0; t < ms; t += 10) {
      sim.RunFor(10);
      const ClaimKey key{TeamId("t"), RequestId("r" + std::to_string(sim.Below(40)))};
      Node& node = RandomNode();
      if (node.process->alive && !node.process->paused) Claim(node, key);
    }
  }

  void InjectFault() {
    Node& node = RandomNode();
    const std::int64_t kind = sim.Below(6);
    if (kind == 0) table.out = !table.out;
    if (kind == 1) AnnounceRandomNodes(node);
    if (kind == 2) AnnounceRunningNodes();
    if (kind == 3 && node.process->alive && !node.process->paused) {
      node.process->paused = true;
      sim.After(sim.Below(2000), [&node] { node.process->Resume(); });
    }
    if (kind == 4 && nodes.size() < 7) {
      node.process->alive = false;
      AddNode();
      AnnounceRunningNodes();
    }
    if (kind == 5 && nodes.size() < 7) {
      node.log->Drain([&node] { node.process->alive = false; });
      AddNode();
    }
  }

  void Require(bool ok, const char* what) const {
    if (!ok) FAIL((std::string(what) + ", seed " + std::to_string(seed_)).c_str());
  }

  // Ends all faults. Then claims are no longer refused, and no grant was forgotten.
  void EndFaultsAndCheck() {
    table.out = false;
    table.fault_percent = 0;
    sim.RunFor(2500);
    for (auto& node : nodes) {
      if (node->process->alive) node->log->Drain([] {});
    }
    sim.RunFor(2500);
    for (auto& node : nodes) node->process->alive = false;
    AddNode();
    AnnounceRunningNodes();
    sim.RunFor(2500);
    Node& node = *nodes.back();
    int answered = 0;
    for (int i = 0; i < 40; ++i) {
      const ClaimKey key{TeamId("t"), RequestId("r" + std::to_string(i))};
      node.log->Claim(key, node.id, [this, &answered, key](const ClaimReply& reply) {
        Require(reply.verdict != ClaimVerdict::kRefused, "refused without a fault");
        const bool was_granted = unreleased.contains(key);
        Require(!was_granted || reply.verdict == ClaimVerdict::kDuplicate, "a grant was forgotten");
        ++answered;
      });
    }
    sim.RunFor(1000);
    Require(answered == 40, "a claim got no reply");
  }

  Simulation sim;
  SimTable table;
  ClaimLog::Settings settings;
  std::vector<std::unique_ptr<Node>> nodes;
  // Keys that were granted and not released since.
  std::set<ClaimKey> unreleased;
  std::set<ClaimKey> done;
  // Number of recorded claims and of grants by request.
  std::map<std::string, int> recorded;
  std::map<std::string, int> granted_by_key;
  int granted = 0;
  int duplicates = 0;
  int uncertain = 0;

 private:
  std::uint64_t seed_;
};

ClaimVerdict ClaimNow(Cluster& cluster, Node& node, const ClaimKey& key) {
  ClaimVerdict verdict = ClaimVerdict::kUncertain;
  node.log->Claim(key, node.id, [&verdict](const ClaimReply& reply) { verdict = reply.verdict; });
  cluster.sim.RunFor(100);
  return verdict;
}

}  // namespace

// Guards against a request that is granted twice, caused by uncertain commits that take effect
// late, nodes that disagree about the owner, owners that pause and resume, kills or drains.
TEST(ClaimLog, NoClaimIsGrantedTwiceInAnySchedule) {
  int granted = 0;
  int duplicates = 0;
  int uncertain = 0;
  for (std::uint64_t seed = 1; seed <= 1500; ++seed) {
    Cluster cluster(seed);
    for (int i = 0; i < 10; ++i) {
      cluster.SendClaims(100 + cluster.sim.Below(600));
      cluster.InjectFault();
    }
    cluster.EndFaultsAndCheck();
    granted += cluster.granted;
    duplicates += cluster.duplicates;
    uncertain += cluster.uncertain;
  }
  CHECK_TRUE(granted > 20000);
  CHECK_TRUE(duplicates > 20000);
  CHECK_TRUE(uncertain > 1000);
}

// Guards against rows that accumulate without limit and against a key that can be claimed again
// before the retention ends.
TEST(ClaimLog, RetentionDeletesOldBatchesAndFreesTheirKeys) {
  Cluster cluster(1, 0);
  cluster.table.fault_percent = 0;
  cluster.settings.retention = Millis(5000);
  cluster.AddNode();
  cluster.AnnounceRunningNodes();
  cluster.sim.RunFor(1000);
  const ClaimKey key{TeamId("t"), RequestId("r")};
  Node& node = *cluster.nodes[0];
  CHECK_TRUE(ClaimNow(cluster, node, key) == ClaimVerdict::kGranted);
  cluster.sim.RunFor(4700);
  CHECK_TRUE(ClaimNow(cluster, node, key) == ClaimVerdict::kDuplicate);
  cluster.sim.RunFor(1500);
  const auto is_claim = [](const auto& it) { return it.first.table == schema::kClaims; };
  LONGS_EQUAL(0, std::count_if(cluster.table.rows.begin(), cluster.table.rows.end(), is_claim));
  CHECK_TRUE(ClaimNow(cluster, node, key) == ClaimVerdict::kGranted);
}

// Guards against a retention that restarts with each new owner and therefore never ends.
TEST(ClaimLog, RetentionCountsTheTimeOfEarlierOwners) {
  Cluster cluster(1, 0);
  cluster.table.fault_percent = 0;
  cluster.settings.retention = Millis(5000);
  cluster.AddNode();
  cluster.AnnounceRunningNodes();
  cluster.sim.RunFor(1000);
  const ClaimKey key{TeamId("t"), RequestId("r")};
  CHECK_TRUE(ClaimNow(cluster, *cluster.nodes[0], key) == ClaimVerdict::kGranted);
  for (int i = 0; i < 3; ++i) {
    cluster.sim.RunFor(1500);
    cluster.nodes.back()->log->Drain([] {});
    cluster.sim.RunFor(300);
    cluster.nodes.back()->process->alive = false;
    cluster.AddNode();
    cluster.AnnounceRunningNodes();
  }
  cluster.sim.RunFor(2500);
  CHECK_TRUE(ClaimNow(cluster, *cluster.nodes.back(), key) == ClaimVerdict::kGranted);
}

// Guards against a release that is lost when the range changes its owner; the key would stay
// unusable.
TEST(ClaimLog, NextOwnerKnowsReleases) {
  Cluster cluster(1, 1);
  cluster.table.fault_percent = 0;
  cluster.sim.RunFor(1000);
  const ClaimKey key{TeamId("t"), RequestId("r")};
  Node& first = *cluster.nodes[0];
  CHECK_TRUE(ClaimNow(cluster, first, key) == ClaimVerdict::kGranted);
  first.log->RecordOutcome(key, first.id, ClaimOutcome::kReleased, std::nullopt);
  first.log->Drain([] {});
  cluster.sim.RunFor(1000);
  first.process->alive = false;
  cluster.AddNode();
  cluster.AnnounceRunningNodes();
  cluster.sim.RunFor(1000);
  CHECK_TRUE(ClaimNow(cluster, *cluster.nodes[1], key) == ClaimVerdict::kGranted);
}

// Guards against one row per request, which would exceed the table's write rate.
TEST(ClaimLog, ClaimsThatArriveTogetherShareARow) {
  Cluster cluster(1, 0);
  cluster.table.fault_percent = 0;
  cluster.settings.max_batch = 500;
  cluster.AddNode();
  cluster.AnnounceRunningNodes();
  cluster.sim.RunFor(1000);
  Node& node = *cluster.nodes[0];
  int granted = 0;
  for (int i = 0; i < 300; ++i) {
    node.log->Claim({TeamId("t"), RequestId("x" + std::to_string(i))}, node.id,
                    [&granted](const ClaimReply& reply) {
                      if (reply.verdict == ClaimVerdict::kGranted) ++granted;
                    });
  }
  cluster.sim.RunFor(500);
  LONGS_EQUAL(300, granted);
  const auto is_claim = [](const auto& it) { return it.first.table == schema::kClaims; };
  CHECK_TRUE(std::count_if(cluster.table.rows.begin(), cluster.table.rows.end(), is_claim) <= 6);
}

// Guards against unbounded memory use by waiting claims, which must be refused above their limit,
// and by cached responses.
TEST(ClaimLog, WaitingClaimsAndCachedResponsesAreBounded) {
  Cluster cluster(1, 0);
  cluster.table.fault_percent = 0;
  cluster.settings.max_waiting = 10;
  cluster.settings.max_cache_bytes = 2500;
  cluster.AddNode();
  cluster.AnnounceRunningNodes();
  cluster.sim.RunFor(1000);
  Node& node = *cluster.nodes[0];
  int refused = 0;
  int answers = 0;
  for (int i = 0; i < 15; ++i) {
    node.log->Claim({TeamId("t"), RequestId("x" + std::to_string(i))}, node.id,
                    [&refused](const ClaimReply& reply) {
                      if (reply.verdict == ClaimVerdict::kRefused) ++refused;
                    });
  }
  LONGS_EQUAL(5, refused);
  cluster.sim.RunFor(500);
  for (int i = 0; i < 5; ++i) {
    const ClaimKey key{TeamId("t"), RequestId("x" + std::to_string(i))};
    node.log->RecordOutcome(key, node.id, ClaimOutcome::kDone,
                            CachedResponse{200, "text/plain", std::string(1000, 'x')});
  }
  for (int i = 0; i < 5; ++i) {
    const ClaimKey key{TeamId("t"), RequestId("x" + std::to_string(i))};
    node.log->Claim(key, node.id, [&answers](const ClaimReply& reply) {
      CHECK_TRUE(reply.verdict == ClaimVerdict::kDuplicate && reply.done);
      if (reply.answer) ++answers;
    });
  }
  LONGS_EQUAL(2, answers);
}

}  // namespace sapphirewheel::testing
