#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "sapphirewheel/coordination/peer_report.h"
#include "sapphirewheel/state/fleet_view.h"

namespace sapphirewheel {

// Tracks the nodes of the fleet and which of them are alive, based on the members table,
// heartbeats and digests of other data centres. All nodes of a data centre exchange heartbeats with
// each other. The relay of a data centre (the live node with the lowest id) also exchanges them
// with the relays of the other data centres.
class Membership {
 public:
  struct Settings {
    MemberRecord self;
    Millis heartbeat_interval{500};
    Millis relay_interval{1000};
    // A node without a report for this long gets no forwarded work and owns nothing.
    Millis suspect_after{2000};
    // A node without a report for this long is fenced.
    Millis dead_after{10000};
  };

  explicit Membership(Settings settings);

  // Replaces the list of members by the content of the members table. A node that is missing there
  // but was heard of within `dead_after` (`suspect_after` if it was listed before) is kept, because
  // its row may be newer than the read.
  void OnMemberTable(const std::vector<MemberRecord>& members, MonotonicTime now);
  // Processes the report in a node's reply to a heartbeat of this node. `sent` is the time at which
  // the heartbeat was sent, the latest time whose state the report is guaranteed to reflect.
  void OnHeartbeatReply(const PeerReport& report, MonotonicTime sent);
  // Processes the report in a heartbeat that a node sent to this node. The heartbeat may have been
  // delayed for any time in the network or in this process, e.g. while the process was paused. It
  // shows that the node is alive and which version it had, but is no evidence of freshness.
  void OnHeartbeat(const PeerReport& report, MonotonicTime arrived);
  void OnVmList(const VmList& list, MonotonicTime now);
  // Sets the load of this node's own workers, for the digest of its data centre.
  void SetOwnLoads(std::vector<ServiceLoad> loads) { own_loads_ = std::move(loads); }
  // Loads of the other data centres according to their digests; empty on nodes that are not relays.
  [[nodiscard]] std::vector<ServiceLoad> RemoteLoads(MonotonicTime now) const;
  // Marks this node as leaving; its reports say so from now on.
  void SetLeaving();
  [[nodiscard]] bool leaving() const noexcept { return leaving_; }

  // Returns the members that are due for a heartbeat; each is due again after its interval. Call
  // this at least once per heartbeat interval. A gap of more than two intervals between calls
  // counts as a pause of this node, and the pause does not count as silence of the others.
  [[nodiscard]] std::vector<MemberRecord> HeartbeatsDue(MonotonicTime now);
  // Digests for this node's reports; empty unless this node is a relay. Member lists are omitted if
  // `receiver` is known to hold them; an empty id stands for any receiver.
  [[nodiscard]] std::vector<DataCentreDigest> Digests(ConfigVersion own_version, MonotonicTime now,
                                                      const NodeId& receiver = NodeId()) const;
  // The value of `digests_hash` for this node's reports.
  [[nodiscard]] std::uint64_t DigestsHash() const;

  // Live nodes that are not leaving, including this node, in id order.
  [[nodiscard]] std::vector<NodeId> LiveNodes(MonotonicTime now) const;
  [[nodiscard]] std::vector<NodeId> LiveNodesInDataCentre(MonotonicTime now) const;
  [[nodiscard]] bool IsRelay(MonotonicTime now) const;
  // The record of a known node, which may be this node.
  [[nodiscard]] std::optional<MemberRecord> Find(const NodeId& node) const;
  // All known nodes except this one, including fenced nodes, in id order.
  [[nodiscard]] std::vector<MemberRecord> Members() const;
  // The latest report of each live peer in this data centre, excluding this node.
  [[nodiscard]] std::vector<PeerReport> LocalPeers(MonotonicTime now) const;
  // Members that have been silent for `dead_after` and are not fenced yet.
  [[nodiscard]] std::vector<MemberRecord> Dead(MonotonicTime now) const;

  // The latest time at which every other member is known, directly or by digest, to have had no
  // configuration newer than `applied`. Empty if a member was never heard of, if a newer version is
  // known, or if there are no other members. Fenced members do not count.
  [[nodiscard]] std::optional<MonotonicTime> FreshAsOf(ConfigVersion applied,
                                                       MonotonicTime now) const;
  // Highest configuration version in any report or digest.
  [[nodiscard]] ConfigVersion HighestVersion() const;
  // Lowest applied version among the live members of each data centre, for roll-out reports.
  [[nodiscard]] std::map<DataCentreId, ConfigVersion> AppliedByDataCentre(ConfigVersion own_version,
                                                                          MonotonicTime now) const;

 private:
  struct PeerState {
    MemberRecord record;
    // The latest report, except that the configuration version is the highest of all reports and
    // that `leaving` stays set.
    std::optional<PeerReport> report;
    MonotonicTime report_time{};
    // The latest time whose state a reply reflects.
    std::optional<MonotonicTime> as_of;
    // The same time, the arrival of the latest heartbeat, and the time at which the node became
    // known. These three are moved forward by the length of this node's own pauses.
    std::optional<MonotonicTime> alive_as_of;
    std::optional<MonotonicTime> heartbeat_received;
    MonotonicTime first_seen{};
    MonotonicTime next_heartbeat{};
    // The node was in the members table at the latest read.
    bool listed = false;
  };
  struct DigestState {
    // The latest digest with a known member list, except that the maximum version is the highest of
    // all digests.
    DataCentreDigest digest;
    // The time whose state the digest reflects; empty before the first digest.
    std::optional<MonotonicTime> as_of;
    // The same time, moved forward by this node's own pauses.
    std::optional<MonotonicTime> alive_as_of;
  };

  PeerState& StoreReport(const PeerReport& report, MonotonicTime time);
  void StoreDigest(const DataCentreDigest& digest, MonotonicTime sent);
  void UpdateHighestVersion(const PeerReport& report);
  [[nodiscard]] bool IsLocal(const PeerState& peer) const;
  // Whether the node counts as a member: not fenced, and in the members table or heard of within
  // `dead_after`.
  [[nodiscard]] bool IsMember(const PeerState& peer, MonotonicTime now) const;
  [[nodiscard]] bool IsLive(const PeerState& peer, MonotonicTime now) const;
  [[nodiscard]] bool IsLeaving(const PeerState& peer) const;
  [[nodiscard]] bool IsSelfLeaving() const;
  // The digest that lists the node; null if there is none.
  [[nodiscard]] const DigestState* DigestOf(const PeerState& peer) const;
  [[nodiscard]] bool IsCurrent(const DigestState& state, MonotonicTime now) const;
  // Whether the node replied recently and its latest report is that of a relay.
  [[nodiscard]] bool IsRespondingRelay(const PeerState& peer, MonotonicTime now) const;
  [[nodiscard]] DataCentreDigest OwnDigest(ConfigVersion own_version, MonotonicTime now) const;
  [[nodiscard]] MonotonicTime LastHeard(const PeerState& peer) const;
  // Length of this node's pause that ends at `now`; 0 if there was none.
  [[nodiscard]] Millis PauseEndingAt(MonotonicTime now) const;
  // Time since `time` without the pause that ends at `now`; `time` already accounts for earlier
  // pauses.
  [[nodiscard]] Millis SilentFor(MonotonicTime time, MonotonicTime now) const;
  void CorrectForPause(MonotonicTime now);

  Settings settings_;
  bool leaving_ = false;
  std::map<NodeId, PeerState> peers_;
  std::map<DataCentreId, DigestState> digests_;
  // VMs that are leaving according to the platform's list.
  std::set<VmId> leaving_vms_;
  ConfigVersion highest_version_;
  std::vector<ServiceLoad> own_loads_;
  std::optional<MonotonicTime> last_tick_;
};

}  // namespace sapphirewheel
