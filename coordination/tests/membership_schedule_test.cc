#include <algorithm>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fake_table.h"
#include "sapphirewheel/coordination/membership.h"

#include "CppUTest/TestHarness.h"

using namespace sapphirewheel;  // NOLINT(google-build-using-namespace)
using sapphirewheel::testing::FakeTable;

namespace {

constexpr int kSchedules = 1000;
constexpr Millis kTick(100);

struct Node {
  MemberRecord record;
  std::unique_ptr<Membership> membership;
  // Offset of the node's clock from the simulated time.
  Millis offset{0};
  std::uint64_t version = 0;
  // Applied versions with the simulated time at which each was applied.
  std::vector<std::pair<MonotonicTime, std::uint64_t>> history;
  MonotonicTime paused_until{};
  bool dead = false;
};

// Nodes of several data centres that exchange reports, apply new versions and pause. The network
// delays, repeats and loses messages and separates data centres.
class Schedule {
 public:
  explicit Schedule(std::uint64_t seed) : seed_(seed), loop_(seed) {
    const std::uint64_t data_centres = 1 + loop_.Draw(3);
    for (std::uint64_t dc = 0; dc < data_centres; ++dc) {
      const std::uint64_t size = 1 + loop_.Draw(3);
      for (std::uint64_t i = 0; i < size; ++i) AddNode(dc, i);
    }
  }

  std::string Run() {
    ReadTables(false);
    Advance(Millis(5000), true);
    partitions_.clear();
    faults_ = false;
    // Long enough for every pause to end and every late message to arrive.
    Advance(Millis(9000), false);
    CheckAfterFaults();
    return failure_.empty() ? "" : "seed " + std::to_string(seed_) + ": " + failure_;
  }

  // Number of reports of freshness that were checked.
  [[nodiscard]] std::int64_t freshness_checks() const noexcept { return freshness_checks_; }

 private:
  void AddNode(std::uint64_t dc, std::uint64_t i) {
    const std::string name = std::string(1, static_cast<char>('a' + dc)) + std::to_string(i);
    Node node;
    node.record =
        MemberRecord{NodeId(name), VmId("vm-" + name), DataCentreId(name.substr(0, 1)), name, name,
                     false,        Revision(1)};
    Membership::Settings settings;
    settings.self = node.record;
    node.membership = std::make_unique<Membership>(settings);
    node.offset = Millis(static_cast<std::int64_t>(loop_.Draw(1000000)));
    node.history.emplace_back(loop_.now(), 0);
    nodes_.push_back(std::move(node));
  }

  MonotonicTime Local(const Node& node) const { return loop_.now() + node.offset; }

  void ReadTables(bool late) {
    std::vector<MemberRecord> members;
    for (const Node& node : nodes_) members.push_back(node.record);
    for (std::size_t i = 0; i < nodes_.size(); ++i) {
      loop_.After(
          Millis(late ? static_cast<std::int64_t>(loop_.Draw(2000)) : 0),
          [this, i, members] { nodes_[i].membership->OnMemberTable(members, Local(nodes_[i])); });
    }
  }

  void Advance(Millis time, bool events) {
    const MonotonicTime end = loop_.now() + time;
    while (loop_.now() < end && failure_.empty()) {
      if (events) InjectEvents();
      for (std::size_t i = 0; i < nodes_.size(); ++i) Tick(i);
      loop_.RunFor(kTick);
      for (const Node& node : nodes_) CheckFreshness(node);
    }
  }

  void InjectEvents() {
    Node& node = nodes_[loop_.Draw(nodes_.size())];
    switch (loop_.Draw(12)) {
      case 0:
        SetVersion(node, ++newest_);
        break;
      case 1:
      case 2:
        if (newest_ > 0) SetVersion(node, 1 + loop_.Draw(newest_));
        break;
      case 3:
        node.paused_until = loop_.now() + Millis(static_cast<std::int64_t>(loop_.Draw(4000)));
        break;
      case 4:
        partitions_.insert({node.record.data_centre.str(), RandomDataCentre()});
        break;
      case 5:
        partitions_.clear();
        break;
      case 6:
        if (loop_.Draw(10) == 0) node.dead = true;
        break;
      case 7:
        if (loop_.Draw(4) == 0) ReadTables(true);
        break;
      default:
        break;
    }
  }

  std::string RandomDataCentre() {
    return nodes_[loop_.Draw(nodes_.size())].record.data_centre.str();
  }

  void SetVersion(Node& node, std::uint64_t version) {
    if (node.dead || IsPaused(node) || version <= node.version) return;
    node.version = version;
    node.history.emplace_back(loop_.now(), version);
  }

  bool IsPaused(const Node& node) const { return loop_.now() < node.paused_until; }

  bool IsPartitioned(const Node& a, const Node& b) const {
    const std::string& x = a.record.data_centre.str();
    const std::string& y = b.record.data_centre.str();
    return x != y && (partitions_.contains({x, y}) || partitions_.contains({y, x}));
  }

  PeerReport ReportOf(const Node& node, const NodeId& receiver) const {
    const Membership& membership = *node.membership;
    PeerReport report;
    report.node = node.record.node;
    report.vm = node.record.vm;
    report.data_centre = node.record.data_centre;
    report.config_version = ConfigVersion(node.version);
    report.digests = membership.Digests(ConfigVersion(node.version), Local(node), receiver);
    report.digests_hash = membership.DigestsHash();
    return report;
  }

  void Tick(std::size_t i) {
    Node& node = nodes_[i];
    if (node.dead || IsPaused(node)) return;
    for (const MemberRecord& peer : node.membership->HeartbeatsDue(Local(node))) {
      for (std::size_t j = 0; j < nodes_.size(); ++j) {
        if (nodes_[j].record.node == peer.node) Call(i, j);
      }
    }
  }

  void Call(std::size_t from, std::size_t to) {
    const PeerReport report = ReportOf(nodes_[from], nodes_[to].record.node);
    const MonotonicTime asked = Local(nodes_[from]);
    Deliver(from, to, [this, from, to, report, asked] {
      Node& receiver = nodes_[to];
      receiver.membership->OnHeartbeat(report, Local(receiver));
      const PeerReport reply = ReportOf(receiver, nodes_[from].record.node);
      Deliver(to, from, [this, from, reply, asked] {
        nodes_[from].membership->OnHeartbeatReply(reply, asked);
      });
    });
  }

  // Runs `arrive` at the receiver, possibly late, twice or never; a paused receiver gets it later.
  void Deliver(std::size_t from, std::size_t to, const std::function<void()>& arrive) {
    std::uint64_t copies = 1;
    if (faults_ && loop_.Draw(5) == 0) copies = loop_.Draw(3);
    for (; copies > 0; --copies) {
      std::uint64_t delay = 1 + loop_.Draw(5);
      if (faults_ && loop_.Draw(5) == 0) delay = loop_.Draw(3000);
      if (!IsPartitioned(nodes_[from], nodes_[to])) {
        loop_.After(Millis(static_cast<std::int64_t>(delay)),
                    [this, to, arrive] { Arrive(to, arrive); });
      }
    }
  }

  void Arrive(std::size_t to, const std::function<void()>& arrive) {
    const Node& node = nodes_[to];
    if (node.dead) return;
    if (!IsPaused(node)) return arrive();
    loop_.After(Millis(node.paused_until - loop_.now()),
                [this, to, arrive] { Arrive(to, arrive); });
  }

  static std::uint64_t VersionAt(const Node& node, MonotonicTime time) {
    std::uint64_t version = 0;
    for (const auto& [since, applied] : node.history) {
      if (since < time) version = applied;
    }
    return version;
  }

  void CheckFreshness(const Node& node) {
    const auto as_of = node.membership->FreshAsOf(ConfigVersion(node.version), Local(node));
    if (!as_of) return;
    ++freshness_checks_;
    const MonotonicTime time = *as_of - node.offset;
    for (const Node& other : nodes_) {
      if (VersionAt(other, time) > node.version) {
        failure_ = node.record.node.str() + " reports freshness although " +
                   other.record.node.str() + " had a newer version";
      }
    }
  }

  void CheckAfterFaults() {
    std::vector<NodeId> live;
    for (const Node& node : nodes_) {
      if (!node.dead) live.push_back(node.record.node);
    }
    const bool complete = live.size() == nodes_.size();
    for (const Node& node : nodes_) {
      if (node.dead || !failure_.empty()) continue;
      const MonotonicTime now = Local(node);
      if (node.membership->LiveNodes(now) != live) failure_ = "the live nodes are wrong";
      if (!complete || nodes_.size() == 1) continue;
      const auto as_of = node.membership->FreshAsOf(ConfigVersion(newest_), now);
      if (!as_of || now - *as_of > Millis(3000)) {
        failure_ =
            node.record.node.str() + " is not fresh although it receives replies from all members";
      }
    }
  }

  std::uint64_t seed_;
  FakeTable loop_;
  std::vector<Node> nodes_;
  std::uint64_t newest_ = 0;
  std::set<std::pair<std::string, std::string>> partitions_;
  bool faults_ = true;
  std::int64_t freshness_checks_ = 0;
  std::string failure_;
};

}  // namespace

// clang-format off
TEST_GROUP(MembershipSchedules) {};
// clang-format on

// Guards against reporting freshness while a member has a newer version, and against nodes that
// stay unknown or not fresh after all faults have ended.
TEST(MembershipSchedules, InvariantsHold) {
  std::int64_t freshness_checks = 0;
  for (int seed = 1; seed <= kSchedules; ++seed) {
    Schedule schedule(static_cast<std::uint64_t>(seed));
    const std::string failure = schedule.Run();
    STRCMP_EQUAL("", failure.c_str());
    freshness_checks += schedule.freshness_checks();
  }
  // Ensures that the faults leave enough cases to check.
  CHECK_TRUE(freshness_checks > 100L * kSchedules);
}
