#include "sapphirewheel/coordination/membership.h"

#include <string>

#include "CppUTest/TestHarness.h"

using namespace sapphirewheel;  // NOLINT(google-build-using-namespace)

namespace {

MonotonicTime At(std::int64_t ms) { return MonotonicTime(Millis(ms)); }

MemberRecord Record(const std::string& node, const std::string& data_centre) {
  return MemberRecord{NodeId(node), VmId("vm-" + node), DataCentreId(data_centre),
                      node + ":1",  node + ":2",        false,
                      Revision(1)};
}

PeerReport Report(const MemberRecord& member, std::uint64_t version, bool leaving = false) {
  PeerReport report;
  report.node = member.node;
  report.vm = member.vm;
  report.data_centre = member.data_centre;
  report.peer_address = member.peer_address;
  report.config_version = ConfigVersion(version);
  report.leaving = leaving;
  return report;
}

std::string Names(const std::vector<NodeId>& nodes) {
  std::string text;
  for (const NodeId& node : nodes) text += node.str() + " ";
  return text;
}

std::string Names(const std::vector<MemberRecord>& members) {
  std::vector<NodeId> nodes;
  for (const MemberRecord& member : members) nodes.push_back(member.node);
  return Names(nodes);
}

}  // namespace

// Node b1 of data centre b, with the peers b0 and b2 in the same data centre and a0 and a1 in data
// centre a.
// clang-format off
TEST_GROUP(Membership) {
  MemberRecord a0 = Record("a0", "a");
  MemberRecord a1 = Record("a1", "a");
  MemberRecord b0 = Record("b0", "b");
  MemberRecord b1 = Record("b1", "b");
  MemberRecord b2 = Record("b2", "b");
  Membership::Settings settings;
  Membership* membership = nullptr;

  void setup() override {
    settings.self = b1;
    membership = new Membership(settings);
    membership->OnMemberTable({a0, a1, b0, b1, b2}, At(0));
  }
  void teardown() override { delete membership; }

  void ReceiveReplies(std::int64_t ms, std::uint64_t version) {
    membership->OnHeartbeatReply(Report(b0, version), At(ms));
    membership->OnHeartbeatReply(Report(b2, version), At(ms));
  }
  DataCentreDigest DigestOfA(std::int64_t age, std::uint64_t version) const {
    DataCentreDigest digest;
    digest.data_centre = DataCentreId("a");
    digest.oldest_age = Millis(age);
    digest.min_version = digest.max_version = ConfigVersion(version);
    digest.members = {NodeId("a0"), NodeId("a1")};
    digest.members_hash = 77;
    return digest;
  }
  // A reply of the relay b0 that contains the digest of data centre a.
  void ReceiveRelayReply(std::int64_t ms, std::int64_t age, std::uint64_t version) {
    PeerReport report = Report(b0, version);
    report.digests = {DigestOfA(age, version)};
    membership->OnHeartbeatReply(report, At(ms));
  }
};
// clang-format on

// Guards against member rows that change by encoding and decoding.
TEST(Membership, MemberRowsRoundTrip) {
  b0.fenced = true;
  const MemberRecord decoded = DecodeMember(b0.node, EncodeMember(b0), Revision(9));
  CHECK_TRUE(decoded.node == b0.node && decoded.vm == b0.vm);
  CHECK_TRUE(decoded.data_centre == b0.data_centre && decoded.fenced);
  CHECK_TRUE(decoded.peer_address == b0.peer_address && decoded.http_address == b0.http_address);
  CHECK_TRUE(decoded.revision == Revision(9));
  CHECK_TRUE(DecodeMember(b0.node, "{", Revision(1)).vm.empty());
}

// Guards against nodes that send heartbeats to every node of the fleet.
TEST(Membership, OnlyRelaysSendHeartbeatsToOtherDataCentres) {
  STRCMP_EQUAL("a0 a1 b0 b2 ", Names(membership->HeartbeatsDue(At(0))).c_str());
  ReceiveReplies(10, 1);
  // Now b0 is known to be the relay; b1 sends heartbeats only within its data centre, at the
  // interval.
  STRCMP_EQUAL("", Names(membership->HeartbeatsDue(At(499))).c_str());
  STRCMP_EQUAL("b0 b2 ", Names(membership->HeartbeatsDue(At(500))).c_str());
  STRCMP_EQUAL("b0 b2 ", Names(membership->HeartbeatsDue(At(1000))).c_str());
}

// Guards against a relay that keeps sending heartbeats to all nodes of a data centre although the
// relay there responds.
TEST(Membership, RelaySendsHeartbeatsToTheOtherRelay) {
  settings.self = b0;
  Membership relay(settings);
  relay.OnMemberTable({a0, a1, b0, b1, b2}, At(0));
  STRCMP_EQUAL("a0 a1 b1 b2 ", Names(relay.HeartbeatsDue(At(0))).c_str());
  PeerReport report = Report(a0, 1);
  report.digests = {DigestOfA(0, 1)};
  relay.OnHeartbeatReply(report, At(1));
  relay.OnHeartbeatReply(Report(b1, 1), At(1));
  STRCMP_EQUAL("a0 b1 b2 ", Names(relay.HeartbeatsDue(At(1000))).c_str());
  for (int ms = 1500; ms <= 3000; ms += 500) static_cast<void>(relay.HeartbeatsDue(At(ms)));
  // a0 has been silent for 3 s, so any node of its data centre may be the relay. a1 gets a
  // heartbeat immediately, and a0 when it is due again.
  STRCMP_EQUAL("a1 b1 b2 ", Names(relay.HeartbeatsDue(At(3500))).c_str());
  STRCMP_EQUAL("a0 b1 b2 ", Names(relay.HeartbeatsDue(At(4000))).c_str());
  STRCMP_EQUAL("a1 b1 b2 ", Names(relay.HeartbeatsDue(At(4500))).c_str());
}

// Guards against silent or leaving nodes that own ranges or get work.
TEST(Membership, LiveNodesExcludeSilentAndLeavingNodes) {
  STRCMP_EQUAL("b1 ", Names(membership->LiveNodes(At(0))).c_str());
  ReceiveRelayReply(100, 0, 1);
  ReceiveReplies(100, 1);
  STRCMP_EQUAL("a0 a1 b0 b1 b2 ", Names(membership->LiveNodes(At(2100))).c_str());
  STRCMP_EQUAL("b0 b1 b2 ", Names(membership->LiveNodesInDataCentre(At(2100))).c_str());
  membership->OnHeartbeatReply(Report(b2, 1, true), At(2100));
  STRCMP_EQUAL("a0 a1 b0 b1 ", Names(membership->LiveNodes(At(2100))).c_str());
  STRCMP_EQUAL("a0 a1 b1 ", Names(membership->LiveNodes(At(2101))).c_str());
  // A report that arrives out of order does not reset `leaving`.
  membership->OnHeartbeatReply(Report(b2, 1, false), At(2050));
  STRCMP_EQUAL("a0 a1 b1 ", Names(membership->LiveNodes(At(2101))).c_str());
  VmList list;
  list.vms.resize(1);
  list.vms[0].vm = a1.vm;
  list.vms[0].phase = VmPhase::kLeaving;
  membership->OnVmList(list, At(2101));
  STRCMP_EQUAL("a0 b1 ", Names(membership->LiveNodes(At(2101))).c_str());
  membership->SetLeaving();
  STRCMP_EQUAL("a0 ", Names(membership->LiveNodes(At(2101))).c_str());
}

// Guards against a daemon that treats a heartbeat that was delayed by its own pause as evidence of
// freshness.
TEST(Membership, HeartbeatsAreNoEvidenceOfFreshness) {
  ReceiveRelayReply(1000, 0, 5);
  ReceiveReplies(1000, 5);
  CHECK_TRUE(membership->FreshAsOf(ConfigVersion(5), At(1000)) == At(1000));
  membership->OnHeartbeat(Report(b0, 5), At(9000));
  membership->OnHeartbeat(Report(b2, 5), At(9000));
  CHECK_TRUE(membership->FreshAsOf(ConfigVersion(5), At(9000)) == At(1000));
  STRCMP_EQUAL("b1 ", Names(membership->LiveNodes(At(9000))).c_str());
}

// Guards against reporting freshness while a member was never heard of or is known to be ahead.
TEST(Membership, FreshnessNeedsEveryMember) {
  ReceiveReplies(1000, 5);
  CHECK_FALSE(membership->FreshAsOf(ConfigVersion(5), At(1000)).has_value());
  ReceiveRelayReply(1200, 300, 5);
  // The oldest evidence counts, which is the digest as of 900 ms.
  CHECK_TRUE(membership->FreshAsOf(ConfigVersion(5), At(1200)) == At(900));
  CHECK_FALSE(membership->FreshAsOf(ConfigVersion(4), At(1200)).has_value());
  membership->OnHeartbeat(Report(b2, 6), At(1300));
  CHECK_FALSE(membership->FreshAsOf(ConfigVersion(5), At(1300)).has_value());
  CHECK_TRUE(membership->HighestVersion() == ConfigVersion(6));
  CHECK_TRUE(membership->FreshAsOf(ConfigVersion(6), At(1300)) == At(900));
}

// Guards against a daemon without peers that counts as fresh without evidence, and against fenced
// nodes that block freshness forever.
TEST(Membership, FreshnessWithoutPeersAndWithFencedPeers) {
  Membership alone(settings);
  alone.OnMemberTable({b1}, At(0));
  CHECK_FALSE(alone.FreshAsOf(ConfigVersion(1), At(0)).has_value());
  ReceiveRelayReply(1000, 0, 1);
  CHECK_FALSE(membership->FreshAsOf(ConfigVersion(1), At(1000)).has_value());
  b2.fenced = true;
  membership->OnMemberTable({a0, a1, b0, b1, b2}, At(1000));
  CHECK_TRUE(membership->FreshAsOf(ConfigVersion(1), At(1000)) == At(1000));
}

// Guards against a digest without a member list that counts as evidence for nodes it does not list.
TEST(Membership, DigestWithoutListNeedsTheSameHash) {
  ReceiveReplies(1000, 1);
  PeerReport report = Report(b0, 1);
  report.digests = {DigestOfA(0, 1)};
  report.digests[0].members.clear();
  membership->OnHeartbeatReply(report, At(1000));
  CHECK_FALSE(membership->FreshAsOf(ConfigVersion(1), At(1000)).has_value());
  ReceiveRelayReply(1100, 0, 1);
  ReceiveReplies(1500, 1);
  membership->OnHeartbeatReply(report, At(1500));
  CHECK_TRUE(membership->FreshAsOf(ConfigVersion(1), At(1500)) == At(1500));
  report.digests[0].members_hash = 78;
  membership->OnHeartbeatReply(report, At(1900));
  membership->OnHeartbeatReply(Report(b2, 1), At(1900));
  CHECK_TRUE(membership->FreshAsOf(ConfigVersion(1), At(1900)) == At(1500));
}

// Guards against member lists that are sent with each heartbeat, or never.
TEST(Membership, DigestsLeaveOutKnownLists) {
  settings.self = b0;
  Membership relay(settings);
  relay.OnMemberTable({a0, a1, b0, b1, b2}, At(0));
  PeerReport from_a = Report(a0, 3);
  from_a.digests = {DigestOfA(20, 2)};
  relay.OnHeartbeatReply(from_a, At(100));
  relay.OnHeartbeatReply(Report(b1, 1), At(100));
  auto digests = relay.Digests(ConfigVersion(4), At(150), NodeId("b1"));
  CHECK_EQUAL(2U, digests.size());
  CHECK_TRUE(digests[0].data_centre == DataCentreId("b") && digests[0].members.empty());
  CHECK_TRUE(digests[0].min_version == ConfigVersion(1));
  CHECK_TRUE(digests[0].oldest_age == Millis(50));
  CHECK_EQUAL(2U, digests[1].members.size());
  CHECK_TRUE(digests[1].oldest_age == Millis(70));
  PeerReport to = Report(b1, 1);
  to.digests_hash = relay.DigestsHash();
  relay.OnHeartbeatReply(to, At(160));
  CHECK_TRUE(relay.Digests(ConfigVersion(4), At(160), NodeId("b1"))[1].members.empty());
  CHECK_EQUAL(2U, relay.Digests(ConfigVersion(4), At(160), NodeId("a0"))[0].members.size());
  ReceiveReplies(200, 1);
  CHECK_TRUE(membership->Digests(ConfigVersion(4), At(200)).empty());
}

// Guards against fencing nodes that still send heartbeats, and against silent nodes that are not
// fenced.
TEST(Membership, DeadNodesWereSilentForLong) {
  ReceiveRelayReply(5000, 0, 1);
  ReceiveReplies(5000, 1);
  CHECK_TRUE(membership->Dead(At(14999)).empty());
  membership->OnHeartbeat(Report(b0, 1), At(12000));
  STRCMP_EQUAL("a0 a1 b2 ", Names(membership->Dead(At(15000))).c_str());
  b2.fenced = true;
  membership->OnMemberTable({a0, a1, b0, b1, b2}, At(15000));
  STRCMP_EQUAL("a0 a1 ", Names(membership->Dead(At(15000))).c_str());
}

// Guards against a node that has all its healthy peers fenced when it resumes after a pause, or
// that counts as fresh because of the correction for the pause.
TEST(Membership, OwnPauseDoesNotCountAsSilenceOfOthers) {
  ReceiveRelayReply(1000, 0, 1);
  ReceiveReplies(1000, 1);
  static_cast<void>(membership->HeartbeatsDue(At(1100)));
  STRCMP_EQUAL("a0 a1 b0 b1 b2 ", Names(membership->LiveNodes(At(61000))).c_str());
  CHECK_TRUE(membership->Dead(At(61000)).empty());
  static_cast<void>(membership->HeartbeatsDue(At(61000)));
  STRCMP_EQUAL("a0 a1 b0 b1 b2 ", Names(membership->LiveNodes(At(61000))).c_str());
  CHECK_TRUE(membership->Dead(At(61000)).empty());
  CHECK_TRUE(membership->FreshAsOf(ConfigVersion(1), At(61000)) == At(1000));
  // Nodes that stay silent while this node is running are still detected.
  for (int ms = 61500; ms <= 71500; ms += 500) static_cast<void>(membership->HeartbeatsDue(At(ms)));
  STRCMP_EQUAL("b1 ", Names(membership->LiveNodes(At(71500))).c_str());
  CHECK_EQUAL(4U, membership->Dead(At(71500)).size());
}

// Guards against removing a new node because of a stale read of the members table.
TEST(Membership, StaleTableKeepsReportingNodes) {
  const MemberRecord b3 = Record("b3", "b");
  membership->OnHeartbeatReply(Report(b3, 1), At(1000));
  membership->OnMemberTable({a0, a1, b0, b1, b2}, At(1500));
  CHECK_TRUE(membership->Find(NodeId("b3")).has_value());
  membership->OnMemberTable({a0, a1, b0, b1, b2}, At(12000));
  CHECK_FALSE(membership->Find(NodeId("b3")).has_value());
}

// Guards against roll-out reports that omit the slowest node.
TEST(Membership, AppliedIsTheSlowestOfEachDataCentre) {
  ReceiveRelayReply(1000, 0, 7);
  membership->OnHeartbeatReply(Report(b2, 6), At(1000));
  auto applied = membership->AppliedByDataCentre(ConfigVersion(8), At(1000));
  CHECK_TRUE(applied.at(DataCentreId("a")) == ConfigVersion(7));
  CHECK_TRUE(applied.at(DataCentreId("b")) == ConfigVersion(6));
}
