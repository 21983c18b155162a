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

// Several nodes that claim requests out of a small set of keys, so that most claims meet earlier
// ones. `open` is the truth: the keys that were granted and not released since.
class World {
 public:
  explicit World(std::uint64_t seed, int nodes_at_start = 4) : sim(seed), table(sim), seed_(seed) {
    table.fault_percent = sim.Chance(50) ? 4 : 15;
    settings.ranges = 3;
    // Small batches, so that releases and claims of one key are recorded by different ones.
    if (sim.Chance(50)) settings.max_batch = 2;
    table.on_commit = [this](const Transaction& transaction) { CountRecorded(transaction); };
    for (int i = 0; i < nodes_at_start; ++i) AddNode();
    ShowAll();
  }

  void CountRecorded(const Transaction& transaction) {
    for (const RowWrite& write : transaction.writes) {
      if (write.key.table != schema::kClaims || !write.value) continue;
      auto object = ParseObject(*write.value);
      Require(bool(object), "claim row is not valid");
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
    Beat(node);
  }

  void Beat(Node& node) {
    sim.After(5 + sim.Below(10), [this, &node] {
      if (!node.process->alive) return;
      if (!node.process->paused) node.log->Tick(sim.Now());
      Beat(node);
    });
  }

  // Each node learns of all running nodes.
  void ShowAll() {
    std::vector<NodeId> live;
    for (const auto& node : nodes) {
      if (node->process->alive && !node->process->paused) live.push_back(node->id);
    }
    for (auto& node : nodes) Show(*node, live);
  }

  // A node learns of some nodes only, as under partitions and lagging heartbeats.
  void ShowSome(Node& node) {
    std::vector<NodeId> live;
    for (const auto& peer : nodes) {
      if (peer.get() == &node || sim.Chance(60)) live.push_back(peer->id);
    }
    Show(node, live);
  }

  void Show(Node& node, const std::vector<NodeId>& live) {
    sim.After(sim.Below(200), [&node, live] {
      node.process->Deliver([&node, live] { node.log->OnLiveNodes(live); });
    });
  }

  // Sends a claim of one node to the owner as that node sees it.
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
      if (reply.answer) Require(reply.answer->body == key.request.str(), "answer of another key");
      Require(!reply.done || done.contains(key), "reported as done too early");
    }
    if (reply.verdict != ClaimVerdict::kGranted) return;
    ++granted;
    Require(open.insert(key).second, "granted twice without a release between");
    // A claim that was recorded without a grant (uncertain, or its owner stopped) ends all grants.
    Require(recorded[key.request.str()] == ++granted_by_key[key.request.str()],
            "granted although an unsettled claim is recorded");
    const std::int64_t fate = sim.Below(3);
    sim.After(sim.Below(300), [this, &claimant, &owner, key, fate] {
      ClaimOutcome outcome = ClaimOutcome::kUnknown;
      std::optional<CachedResponse> answer;
      if (fate == 0) {
        outcome = ClaimOutcome::kReleased;
        open.erase(key);
      }
      if (fate == 1) {
        outcome = ClaimOutcome::kDone;
        done.insert(key);
        answer = CachedResponse{200, "text/plain", key.request.str()};
      }
      // The owner may have changed since; then the outcome goes to the old or to the new one.
      Node* target = &owner;
      const NodeId current = claimant.log->OwnerOf(key);
      for (auto& node : nodes) {
        if (node->id == current && sim.Chance(50)) target = node.get();
      }
      target->process->Deliver([&claimant, target, key, outcome, answer] {
        target->log->RecordOutcome(key, claimant.id, outcome, answer);
      });
      if (fate == 0 && sim.Chance(70)) Claim(AnyNode(), key);
    });
  }

  Node& AnyNode() { return *nodes[static_cast<std::size_t>(sim.Below(std::ssize(nodes)))]; }

  void Demand(std::int64_t ms) {
    for (std::int64_t t = 0; t < ms; t += 10) {
      sim.RunFor(10);
      const ClaimKey key{TeamId("t"), RequestId("r" + std::to_string(sim.Below(40)))};
      Node& node = AnyNode();
      if (node.process->alive && !node.process->paused) Claim(node, key);
    }
  }

  void Disturb() {
    Node& node = AnyNode();
    const std::int64_t kind = sim.Below(6);
    if (kind == 0) table.out = !table.out;
    if (kind == 1) ShowSome(node);
    if (kind == 2) ShowAll();
    if (kind == 3 && node.process->alive && !node.process->paused) {
      node.process->paused = true;
      sim.After(sim.Below(2000), [&node] { node.process->Resume(); });
    }
    if (kind == 4 && nodes.size() < 7) {
      node.process->alive = false;
      AddNode();
      ShowAll();
    }
    if (kind == 5 && nodes.size() < 7) {
      node.log->Drain([&node] { node.process->alive = false; });
      AddNode();
    }
  }

  void Require(bool ok, const char* what) const {
    if (!ok) FAIL((std::string(what) + ", seed " + std::to_string(seed_)).c_str());
  }

  // Ends all faults. Then every key is a duplicate or granted, and no grant was forgotten.
  void Settle() {
    table.out = false;
    table.fault_percent = 0;
    sim.RunFor(2500);
    for (auto& node : nodes) {
      if (node->process->alive) node->log->Drain([] {});
    }
    sim.RunFor(2500);
    for (auto& node : nodes) node->process->alive = false;
    AddNode();
    ShowAll();
    sim.RunFor(2500);
    Node& node = *nodes.back();
    int answered = 0;
    for (int i = 0; i < 40; ++i) {
      const ClaimKey key{TeamId("t"), RequestId("r" + std::to_string(i))};
      node.log->Claim(key, node.id, [this, &answered, key](const ClaimReply& reply) {
        Require(reply.verdict != ClaimVerdict::kRefused, "refused without a fault");
        const bool is_open = open.contains(key);
        Require(!is_open || reply.verdict == ClaimVerdict::kDuplicate, "a grant was forgotten");
        ++answered;
      });
    }
    sim.RunFor(1000);
    Require(answered == 40, "claims without a reply");
  }

  Simulation sim;
  SimTable table;
  ClaimLog::Settings settings;
  std::vector<std::unique_ptr<Node>> nodes;
  std::set<ClaimKey> open;
  std::set<ClaimKey> done;
  std::map<std::string, int> recorded;
  std::map<std::string, int> granted_by_key;
  int granted = 0;
  int duplicates = 0;
  int uncertain = 0;

 private:
  std::uint64_t seed_;
};

ClaimVerdict ClaimNow(World& world, Node& node, const ClaimKey& key) {
  ClaimVerdict verdict = ClaimVerdict::kUncertain;
  node.log->Claim(key, node.id, [&verdict](const ClaimReply& reply) { verdict = reply.verdict; });
  world.sim.RunFor(100);
  return verdict;
}

}  // namespace

// Guards against a request that is granted twice through uncertain commits that take effect late,
// nodes that disagree on the owner, owners that pause and resume, kills and drains.
TEST(ClaimLog, NoClaimIsGrantedTwiceInAnySchedule) {
  int granted = 0;
  int duplicates = 0;
  int uncertain = 0;
  for (std::uint64_t seed = 1; seed <= 1500; ++seed) {
    World world(seed);
    for (int i = 0; i < 10; ++i) {
      world.Demand(100 + world.sim.Below(600));
      world.Disturb();
    }
    world.Settle();
    granted += world.granted;
    duplicates += world.duplicates;
    uncertain += world.uncertain;
  }
  CHECK_TRUE(granted > 20000);
  CHECK_TRUE(duplicates > 20000);
  CHECK_TRUE(uncertain > 1000);
}

// Guards against rows that pile up for ever and against a key that is free again too early.
TEST(ClaimLog, RetentionDeletesOldBatchesAndFreesTheirKeys) {
  World world(1, 0);
  world.table.fault_percent = 0;
  world.settings.retention = Millis(5000);
  world.AddNode();
  world.ShowAll();
  world.sim.RunFor(1000);
  const ClaimKey key{TeamId("t"), RequestId("r")};
  Node& node = *world.nodes[0];
  CHECK_TRUE(ClaimNow(world, node, key) == ClaimVerdict::kGranted);
  world.sim.RunFor(4700);
  CHECK_TRUE(ClaimNow(world, node, key) == ClaimVerdict::kDuplicate);
  world.sim.RunFor(1500);
  const auto is_claim = [](const auto& it) { return it.first.table == schema::kClaims; };
  LONGS_EQUAL(0, std::count_if(world.table.rows.begin(), world.table.rows.end(), is_claim));
  CHECK_TRUE(ClaimNow(world, node, key) == ClaimVerdict::kGranted);
}

// Guards against a retention that starts again with each new owner, and so never ends.
TEST(ClaimLog, RetentionCountsTheTimeOfEarlierOwners) {
  World world(1, 0);
  world.table.fault_percent = 0;
  world.settings.retention = Millis(5000);
  world.AddNode();
  world.ShowAll();
  world.sim.RunFor(1000);
  const ClaimKey key{TeamId("t"), RequestId("r")};
  CHECK_TRUE(ClaimNow(world, *world.nodes[0], key) == ClaimVerdict::kGranted);
  for (int i = 0; i < 3; ++i) {
    world.sim.RunFor(1500);
    world.nodes.back()->log->Drain([] {});
    world.sim.RunFor(300);
    world.nodes.back()->process->alive = false;
    world.AddNode();
    world.ShowAll();
  }
  world.sim.RunFor(2500);
  CHECK_TRUE(ClaimNow(world, *world.nodes.back(), key) == ClaimVerdict::kGranted);
}

// Guards against a release that the next owner does not know, which would leave the key unusable.
TEST(ClaimLog, NextOwnerKnowsReleases) {
  World world(1, 1);
  world.table.fault_percent = 0;
  world.sim.RunFor(1000);
  const ClaimKey key{TeamId("t"), RequestId("r")};
  Node& first = *world.nodes[0];
  CHECK_TRUE(ClaimNow(world, first, key) == ClaimVerdict::kGranted);
  first.log->RecordOutcome(key, first.id, ClaimOutcome::kReleased, std::nullopt);
  first.log->Drain([] {});
  world.sim.RunFor(1000);
  first.process->alive = false;
  world.AddNode();
  world.ShowAll();
  world.sim.RunFor(1000);
  CHECK_TRUE(ClaimNow(world, *world.nodes[1], key) == ClaimVerdict::kGranted);
}

// Guards against one row per request, which would exceed the table's write rate.
TEST(ClaimLog, ClaimsThatArriveTogetherShareARow) {
  World world(1, 0);
  world.table.fault_percent = 0;
  world.settings.max_batch = 500;
  world.AddNode();
  world.ShowAll();
  world.sim.RunFor(1000);
  Node& node = *world.nodes[0];
  int granted = 0;
  for (int i = 0; i < 300; ++i) {
    node.log->Claim({TeamId("t"), RequestId("x" + std::to_string(i))}, node.id,
                    [&granted](const ClaimReply& reply) {
                      if (reply.verdict == ClaimVerdict::kGranted) ++granted;
                    });
  }
  world.sim.RunFor(500);
  LONGS_EQUAL(300, granted);
  const auto is_claim = [](const auto& it) { return it.first.table == schema::kClaims; };
  CHECK_TRUE(std::count_if(world.table.rows.begin(), world.table.rows.end(), is_claim) <= 6);
}

// Guards against unbounded memory: more waiting claims than allowed are refused, and kept answers
// stay below their limit.
TEST(ClaimLog, WaitingClaimsAndKeptAnswersAreBounded) {
  World world(1, 0);
  world.table.fault_percent = 0;
  world.settings.max_waiting = 10;
  world.settings.max_cache_bytes = 2500;
  world.AddNode();
  world.ShowAll();
  world.sim.RunFor(1000);
  Node& node = *world.nodes[0];
  int refused = 0;
  int answers = 0;
  for (int i = 0; i < 15; ++i) {
    node.log->Claim({TeamId("t"), RequestId("x" + std::to_string(i))}, node.id,
                    [&refused](const ClaimReply& reply) {
                      if (reply.verdict == ClaimVerdict::kRefused) ++refused;
                    });
  }
  LONGS_EQUAL(5, refused);
  world.sim.RunFor(500);
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
