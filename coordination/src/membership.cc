#include "sapphirewheel/coordination/membership.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace sapphirewheel {
namespace {

MemberRecord RecordOf(const PeerReport& report) {
  return MemberRecord{report.node,         report.vm, report.data_centre, report.peer_address,
                      report.http_address, false,     Revision(0)};
}

bool Contains(const std::vector<NodeId>& nodes, const NodeId& node) {
  return std::find(nodes.begin(), nodes.end(), node) != nodes.end();
}

}  // namespace

Membership::Membership(Settings settings) : settings_(std::move(settings)) {}

void Membership::OnMemberTable(const std::vector<MemberRecord>& members, MonotonicTime now) {
  std::set<NodeId> listed;
  for (const MemberRecord& member : members) {
    if (member.node == settings_.self.node) {
      settings_.self.fenced = settings_.self.fenced || member.fenced;
      settings_.self.revision = member.revision;
      continue;
    }
    listed.insert(member.node);
    auto [it, added] = peers_.try_emplace(member.node);
    PeerState& peer = it->second;
    if (added) peer.first_seen = now;
    // Fencing is permanent: a fenced node id never becomes valid again.
    const bool fenced = peer.record.fenced || member.fenced;
    peer.record = member;
    peer.record.fenced = fenced;
    peer.listed = true;
  }
  for (auto it = peers_.begin(); it != peers_.end();) {
    PeerState& peer = it->second;
    if (listed.contains(it->first)) {
      ++it;
      continue;
    }
    // A node that was listed before has deleted its row, unless replies to reads arrived out of
    // order.
    const Millis keep = peer.listed ? settings_.suspect_after : settings_.dead_after;
    peer.listed = false;
    it = SilentFor(LastHeard(peer), now) > keep ? peers_.erase(it) : std::next(it);
  }
}

void Membership::OnHeartbeatReply(const PeerReport& report, MonotonicTime sent) {
  if (report.node == settings_.self.node) return;
  PeerState& peer = StoreReport(report, sent);
  peer.as_of = std::max(peer.as_of.value_or(sent), sent);
  peer.alive_as_of = std::max(peer.alive_as_of.value_or(sent), sent);
  for (const DataCentreDigest& digest : report.digests) StoreDigest(digest, sent);
}

void Membership::OnHeartbeat(const PeerReport& report, MonotonicTime arrived) {
  if (report.node == settings_.self.node) return;
  PeerState& peer = StoreReport(report, arrived);
  peer.heartbeat_received = std::max(peer.heartbeat_received.value_or(arrived), arrived);
}

Membership::PeerState& Membership::StoreReport(const PeerReport& report, MonotonicTime time) {
  UpdateHighestVersion(report);
  auto [it, added] = peers_.try_emplace(report.node);
  PeerState& peer = it->second;
  if (added) {
    peer.first_seen = time;
    peer.record = RecordOf(report);
  }
  if (!peer.report) {
    peer.report = report;
    peer.report_time = time;
    return peer;
  }
  // Reports may arrive out of order, but these two fields only change in one direction.
  const bool leaving = peer.report->leaving || report.leaving;
  const ConfigVersion version = std::max(peer.report->config_version, report.config_version);
  if (time >= peer.report_time) {
    peer.report = report;
    peer.report_time = time;
  }
  peer.report->leaving = leaving;
  peer.report->config_version = version;
  return peer;
}

void Membership::UpdateHighestVersion(const PeerReport& report) {
  highest_version_ = std::max(highest_version_, report.config_version);
  for (const DataCentreDigest& digest : report.digests) {
    highest_version_ = std::max(highest_version_, digest.max_version);
  }
}

void Membership::OnVmList(const VmList& list, MonotonicTime /*now*/) {
  leaving_vms_.clear();
  for (const VmInfo& vm : list.vms) {
    if (vm.phase == VmPhase::kLeaving) leaving_vms_.insert(vm.vm);
  }
}

void Membership::SetLeaving() { leaving_ = true; }

std::vector<MemberRecord> Membership::HeartbeatsDue(MonotonicTime now) {
  CorrectForPause(now);
  std::vector<MemberRecord> due;
  const bool relay = IsRelay(now);
  // If no relay of a data centre responds, any of its nodes may have become the relay.
  std::set<DataCentreId> with_responding_relay;
  for (const auto& [node, peer] : peers_) {
    if (IsRespondingRelay(peer, now)) with_responding_relay.insert(peer.record.data_centre);
  }
  for (auto& [node, peer] : peers_) {
    if (peer.next_heartbeat > now || !IsMember(peer, now)) continue;
    const bool other_relay =
        !with_responding_relay.contains(peer.record.data_centre) || IsRespondingRelay(peer, now);
    if (!IsLocal(peer) && !(relay && other_relay)) continue;
    peer.next_heartbeat =
        now + (IsLocal(peer) ? settings_.heartbeat_interval : settings_.relay_interval);
    due.push_back(peer.record);
  }
  return due;
}

std::vector<NodeId> Membership::LiveNodes(MonotonicTime now) const {
  std::vector<NodeId> nodes;
  if (!IsSelfLeaving()) nodes.push_back(settings_.self.node);
  for (const auto& [node, peer] : peers_) {
    if (IsLive(peer, now) && !IsLeaving(peer)) nodes.push_back(node);
  }
  std::sort(nodes.begin(), nodes.end());
  return nodes;
}

std::vector<NodeId> Membership::LiveNodesInDataCentre(MonotonicTime now) const {
  std::vector<NodeId> nodes;
  if (!IsSelfLeaving()) nodes.push_back(settings_.self.node);
  for (const auto& [node, peer] : peers_) {
    if (IsLocal(peer) && IsLive(peer, now) && !IsLeaving(peer)) nodes.push_back(node);
  }
  std::sort(nodes.begin(), nodes.end());
  return nodes;
}

bool Membership::IsRelay(MonotonicTime now) const {
  const auto nodes = LiveNodesInDataCentre(now);
  if (!nodes.empty()) return nodes.front() == settings_.self.node;
  // All nodes of the data centre are leaving.
  return std::none_of(peers_.begin(), peers_.end(), [&](const auto& it) {
    return IsLocal(it.second) && IsLive(it.second, now) && it.first < settings_.self.node;
  });
}

std::optional<MemberRecord> Membership::Find(const NodeId& node) const {
  if (node == settings_.self.node) return settings_.self;
  const auto it = peers_.find(node);
  if (it == peers_.end()) return std::nullopt;
  return it->second.record;
}

std::vector<MemberRecord> Membership::Members() const {
  std::vector<MemberRecord> members;
  members.reserve(peers_.size());
  for (const auto& [node, peer] : peers_) members.push_back(peer.record);
  return members;
}

std::vector<PeerReport> Membership::LocalPeers(MonotonicTime now) const {
  std::vector<PeerReport> reports;
  for (const auto& [node, peer] : peers_) {
    if (!IsLocal(peer) || !IsLive(peer, now) || !peer.report) continue;
    reports.push_back(*peer.report);
    reports.back().leaving = IsLeaving(peer);
  }
  return reports;
}

std::vector<MemberRecord> Membership::Dead(MonotonicTime now) const {
  std::vector<MemberRecord> dead;
  for (const auto& [node, peer] : peers_) {
    const bool silent = SilentFor(LastHeard(peer), now) >= settings_.dead_after;
    if (peer.listed && !peer.record.fenced && silent) dead.push_back(peer.record);
  }
  return dead;
}

bool Membership::IsLocal(const PeerState& peer) const {
  return peer.record.data_centre == settings_.self.data_centre;
}

bool Membership::IsMember(const PeerState& peer, MonotonicTime now) const {
  if (peer.record.fenced) return false;
  return peer.listed || SilentFor(LastHeard(peer), now) <= settings_.dead_after;
}

bool Membership::IsLive(const PeerState& peer, MonotonicTime now) const {
  if (peer.record.fenced) return false;
  if (IsLocal(peer)) {
    return peer.alive_as_of && SilentFor(*peer.alive_as_of, now) <= settings_.suspect_after;
  }
  const Millis limit = settings_.suspect_after + settings_.relay_interval;
  if (peer.alive_as_of && SilentFor(*peer.alive_as_of, now) <= limit) return true;
  const DigestState* state = DigestOf(peer);
  return state != nullptr && IsCurrent(*state, now);
}

bool Membership::IsLeaving(const PeerState& peer) const {
  if (leaving_vms_.contains(peer.record.vm)) return true;
  if (peer.report && peer.report->leaving) return true;
  const DigestState* state = DigestOf(peer);
  return state != nullptr && Contains(state->digest.leaving, peer.record.node);
}

bool Membership::IsSelfLeaving() const {
  return leaving_ || leaving_vms_.contains(settings_.self.vm);
}

MonotonicTime Membership::LastHeard(const PeerState& peer) const {
  MonotonicTime time = peer.first_seen;
  if (peer.heartbeat_received) time = std::max(time, *peer.heartbeat_received);
  if (peer.alive_as_of) time = std::max(time, *peer.alive_as_of);
  if (const DigestState* state = DigestOf(peer)) time = std::max(time, *state->alive_as_of);
  return time;
}

Millis Membership::PauseEndingAt(MonotonicTime now) const {
  if (!last_tick_ || now - *last_tick_ <= 2 * settings_.heartbeat_interval) return Millis(0);
  return now - *last_tick_;
}

Millis Membership::SilentFor(MonotonicTime time, MonotonicTime now) const {
  return now - time - PauseEndingAt(now);
}

// A node that resumes after a long pause has received no reports during that time. Without this
// correction it would have all its healthy peers fenced.
void Membership::CorrectForPause(MonotonicTime now) {
  const Millis pause = PauseEndingAt(now);
  last_tick_ = now;
  if (pause == Millis(0)) return;
  const auto shift = [&](std::optional<MonotonicTime>& time) {
    if (time) time = std::min(*time + pause, now);
  };
  for (auto& [node, peer] : peers_) {
    shift(peer.alive_as_of);
    shift(peer.heartbeat_received);
    peer.first_seen = std::min(peer.first_seen + pause, now);
  }
  for (auto& [data_centre, state] : digests_) shift(state.alive_as_of);
}

}  // namespace sapphirewheel
