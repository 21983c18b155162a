#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

#include "sapphirewheel/coordination/peer_report.h"
#include "sapphirewheel/state/fleet_view.h"

namespace sapphirewheel {

// Knows the nodes of the fleet and which of them are alive, from the members table, heartbeats and
// digests of other data centres. Nodes of one data centre exchange heartbeats with each other; the
// relay of a data centre (its lowest live node id) also exchanges them with the other relays.
class Membership {
 public:
  struct Settings {
    MemberRecord self;
    Millis heartbeat_interval{500};
    Millis relay_interval{1000};
    // Without a report for this long a node gets no forwarded work and owns nothing.
    Millis suspect_after{2000};
    // Without a report for this long a node is fenced.
    Millis dead_after{10000};
  };

  explicit Membership(Settings settings);

  // Replaces the list of members by the content of the members table. A node that reported itself
  // within `dead_after` is kept: its row may be newer than the read.
  void OnMemberTable(const std::vector<MemberRecord>& members, MonotonicTime now);
  // A report that came directly from a node as the reply to our call, with `asked` the time at
  // which the call was sent: the latest time that the report reflects for sure.
  void OnHeartbeatReply(const PeerReport& report, MonotonicTime asked);
  // A report that a node sent with its own call. It may have waited in the network or in this
  // process for any time, e.g. while the process was paused. So it shows that the node lives and
  // which version it had, but is no evidence of freshness; use OnHeartbeatReply only for replies.
  void OnHeartbeat(const PeerReport& report, MonotonicTime arrived);
  void OnVmList(const VmList& list, MonotonicTime now);
  // Load of this node's own workers, for the digest of its data centre.
  void SetOwnLoads(std::vector<ServiceLoad> loads) { own_loads_ = std::move(loads); }
  // Loads of the other data centres, as their digests told; empty on nodes that are no relay.
  [[nodiscard]] std::vector<ServiceLoad> RemoteLoads(MonotonicTime now) const;
  // This node stops; its reports say so from now on.
  void SetLeaving();
  [[nodiscard]] bool leaving() const noexcept { return leaving_; }

  // Members to exchange heartbeats with now; each is due again after its interval. Call it at least
  // once in a heartbeat interval: a gap of more than two intervals between calls counts as a pause
  // of this node, for which others are not held to have been silent.
  [[nodiscard]] std::vector<MemberRecord> HeartbeatsDue(MonotonicTime now);
  // Digests to put into this node's reports; only a relay sends any. Member lists are left out
  // when `receiver` is known to hold them; an empty id stands for any receiver.
  [[nodiscard]] std::vector<DataCentreDigest> Digests(ConfigVersion own_version, MonotonicTime now,
                                                      const NodeId& receiver = NodeId()) const;
  // For the field `digests_hash` of this node's reports.
  [[nodiscard]] std::uint64_t DigestsHash() const;

  // Live nodes that are not leaving, this one included, in id order.
  [[nodiscard]] std::vector<NodeId> LiveNodes(MonotonicTime now) const;
  [[nodiscard]] std::vector<NodeId> LiveNodesInDataCentre(MonotonicTime now) const;
  [[nodiscard]] bool IsRelay(MonotonicTime now) const;
  // The record of a known node, this one included.
  [[nodiscard]] std::optional<MemberRecord> Find(const NodeId& node) const;
  // All known nodes but this one, those that are fenced included, in id order.
  [[nodiscard]] std::vector<MemberRecord> Members() const;
  // The latest report of each live peer in this data centre, without this node.
  [[nodiscard]] std::vector<PeerReport> LocalPeers(MonotonicTime now) const;
  // Members that were silent for `dead_after` and are not fenced yet.
  [[nodiscard]] std::vector<MemberRecord> Dead(MonotonicTime now) const;

  // The latest time at which every other member (directly or by digest) is known to have had no
  // configuration newer than `applied`; nothing when some member was never heard or has a newer
  // one. A node without other members is not fresh by its peers. Fenced members do not count.
  [[nodiscard]] std::optional<MonotonicTime> FreshAsOf(ConfigVersion applied,
                                                       MonotonicTime now) const;
  // Highest configuration version in any report.
  [[nodiscard]] ConfigVersion HighestVersion() const;
  // Slowest applied version of each data centre among its live members, for roll-out reports.
  [[nodiscard]] std::map<DataCentreId, ConfigVersion> AppliedByDataCentre(ConfigVersion own_version,
                                                                          MonotonicTime now) const;

 private:
  struct PeerState {
    MemberRecord record;
    // The latest report; its configuration version is the highest of all, and `leaving` stays set.
    std::optional<PeerReport> report;
    MonotonicTime report_time{};
    // The latest time that a reply reflects.
    std::optional<MonotonicTime> as_of;
    // The same, the arrival of the latest call, and the time at which the node became known. These
    // three move forward by the length of this node's own pauses.
    std::optional<MonotonicTime> alive;
    std::optional<MonotonicTime> called;
    MonotonicTime first_seen{};
    MonotonicTime next_probe{};
    bool listed = false;
  };
  struct DigestState {
    // The latest digest with a known member list; its maximum version is the highest of all.
    DataCentreDigest digest;
    // The time that it reflects; nothing before the first one.
    std::optional<MonotonicTime> as_of;
    // The same, moved forward by this node's own pauses.
    std::optional<MonotonicTime> alive;
  };

  PeerState& Accept(const PeerReport& report, MonotonicTime time);
  void AcceptDigest(const DataCentreDigest& digest, MonotonicTime asked);
  void NoteVersions(const PeerReport& report);
  [[nodiscard]] bool IsLocal(const PeerState& peer) const;
  // Whether the node counts as a member: not fenced, and listed or heard of lately.
  [[nodiscard]] bool IsMember(const PeerState& peer, MonotonicTime now) const;
  [[nodiscard]] bool IsLive(const PeerState& peer, MonotonicTime now) const;
  [[nodiscard]] bool IsLeaving(const PeerState& peer) const;
  [[nodiscard]] bool IsSelfLeaving() const;
  // The digest that lists the node; null when there is none.
  [[nodiscard]] const DigestState* DigestOf(const PeerState& peer) const;
  [[nodiscard]] bool IsCurrent(const DigestState& state, MonotonicTime now) const;
  // Whether the node answered lately and its latest report is that of a relay.
  [[nodiscard]] bool IsAnsweringRelay(const PeerState& peer, MonotonicTime now) const;
  [[nodiscard]] DataCentreDigest OwnDigest(ConfigVersion own_version, MonotonicTime now) const;
  [[nodiscard]] MonotonicTime LastHeard(const PeerState& peer) const;
  // Length of the pause that ends at `now`; 0 when there was none.
  [[nodiscard]] Millis PauseBefore(MonotonicTime now) const;
  // Time since `time` without the pause that ends at `now`; earlier ones are in `time` already.
  [[nodiscard]] Millis Silence(MonotonicTime time, MonotonicTime now) const;
  void NoteTick(MonotonicTime now);

  Settings settings_;
  bool leaving_ = false;
  std::map<NodeId, PeerState> peers_;
  std::map<DataCentreId, DigestState> digests_;
  // VMs that the platform's list shows as leaving.
  std::set<VmId> leaving_vms_;
  ConfigVersion highest_version_;
  std::vector<ServiceLoad> own_loads_;
  std::optional<MonotonicTime> last_tick_;
};

}  // namespace sapphirewheel
