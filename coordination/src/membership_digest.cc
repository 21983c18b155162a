#include <algorithm>
#include <string>

#include "sapphirewheel/coordination/membership.h"
#include "sapphirewheel/coordination/rendezvous.h"

namespace sapphirewheel {
namespace {

std::uint64_t HashOf(const DataCentreDigest& digest) {
  std::string text;
  for (const NodeId& node : digest.members) text += node.str() + "\n";
  text += "\n";
  for (const NodeId& node : digest.leaving) text += node.str() + "\n";
  return StableHash(text);
}

bool Lists(const DataCentreDigest& digest, const NodeId& node) {
  return std::binary_search(digest.members.begin(), digest.members.end(), node);
}

// Adds loads to a sum per service.
void AddLoads(const std::vector<ServiceLoad>& loads, std::vector<ServiceLoad>& sum) {
  for (const ServiceLoad& load : loads) {
    auto it = std::find_if(sum.begin(), sum.end(), [&load](const ServiceLoad& other) {
      return other.service == load.service;
    });
    if (it == sum.end()) {
      sum.push_back(load);
      continue;
    }
    it->free_slots += load.free_slots;
    it->running += load.running;
    it->queued += load.queued;
    it->queued_urgent += load.queued_urgent;
  }
}

}  // namespace

void Membership::StoreDigest(const DataCentreDigest& digest, MonotonicTime sent) {
  if (digest.data_centre == settings_.self.data_centre) return;
  DigestState& state = digests_[digest.data_centre];
  const ConfigVersion max_version = std::max(state.digest.max_version, digest.max_version);
  const MonotonicTime as_of = sent - digest.oldest_age;
  const bool known = state.as_of && state.digest.members_hash == digest.members_hash;
  const bool newer = !state.as_of || as_of >= *state.as_of;
  if (newer && !digest.members.empty()) {
    state.digest = digest;
    std::sort(state.digest.members.begin(), state.digest.members.end());
    std::sort(state.digest.leaving.begin(), state.digest.leaving.end());
    state.as_of = as_of;
    state.alive_as_of = std::max(state.alive_as_of.value_or(as_of), as_of);
  } else if (newer && known) {
    state.digest.min_version = digest.min_version;
    state.digest.loads = digest.loads;
    state.as_of = as_of;
    state.alive_as_of = std::max(state.alive_as_of.value_or(as_of), as_of);
  }
  state.digest.max_version = max_version;
}

std::vector<DataCentreDigest> Membership::Digests(ConfigVersion own_version, MonotonicTime now,
                                                  const NodeId& receiver) const {
  std::vector<DataCentreDigest> digests;
  if (!IsRelay(now)) return digests;
  digests.push_back(OwnDigest(own_version, now));
  for (const auto& [data_centre, state] : digests_) {
    if (!state.as_of) continue;
    digests.push_back(state.digest);
    digests.back().oldest_age = now - *state.as_of;
  }
  const auto it = peers_.find(receiver);
  if (it == peers_.end() || !it->second.report) return digests;
  // The receiver does not need the member list of its own data centre.
  const bool holds_all = it->second.report->digests_hash == DigestsHash();
  for (DataCentreDigest& digest : digests) {
    if (IsLocal(it->second)) digest.loads.clear();
    const bool own = digest.data_centre == it->second.record.data_centre;
    if (!own && !(holds_all && IsLocal(it->second))) continue;
    digest.members.clear();
    digest.leaving.clear();
  }
  return digests;
}

std::uint64_t Membership::DigestsHash() const {
  std::string text;
  for (const auto& [data_centre, state] : digests_) {
    if (!state.as_of) continue;
    text += data_centre.str() + "=" + std::to_string(state.digest.members_hash) + "\n";
  }
  return StableHash(text);
}

DataCentreDigest Membership::OwnDigest(ConfigVersion own_version, MonotonicTime now) const {
  DataCentreDigest digest;
  digest.data_centre = settings_.self.data_centre;
  digest.min_version = own_version;
  digest.max_version = std::max(own_version, highest_version_);
  digest.members.push_back(settings_.self.node);
  if (IsSelfLeaving()) digest.leaving.push_back(settings_.self.node);
  for (const auto& [node, peer] : peers_) {
    if (!IsLocal(peer) || !IsLive(peer, now) || !peer.report) continue;
    digest.members.push_back(node);
    if (IsLeaving(peer)) digest.leaving.push_back(node);
    AddLoads(peer.report->loads, digest.loads);
    digest.min_version = std::min(digest.min_version, peer.report->config_version);
    const Millis age = now - *peer.as_of;
    digest.oldest_age = std::max(digest.oldest_age, age);
  }
  AddLoads(own_loads_, digest.loads);
  std::sort(digest.members.begin(), digest.members.end());
  std::sort(digest.leaving.begin(), digest.leaving.end());
  digest.members_hash = HashOf(digest);
  return digest;
}

std::vector<ServiceLoad> Membership::RemoteLoads(MonotonicTime now) const {
  std::vector<ServiceLoad> sum;
  for (const auto& [data_centre, state] : digests_) {
    if (IsCurrent(state, now)) AddLoads(state.digest.loads, sum);
  }
  return sum;
}

const Membership::DigestState* Membership::DigestOf(const PeerState& peer) const {
  const auto it = digests_.find(peer.record.data_centre);
  if (it == digests_.end() || !it->second.as_of) return nullptr;
  return Lists(it->second.digest, peer.record.node) ? &it->second : nullptr;
}

bool Membership::IsCurrent(const DigestState& state, MonotonicTime now) const {
  // A digest passes through two relays, and one lost exchange must not drop a data centre.
  const Millis limit = 2 * (settings_.suspect_after + settings_.relay_interval);
  return state.alive_as_of && SilentFor(*state.alive_as_of, now) <= limit;
}

bool Membership::IsRespondingRelay(const PeerState& peer, MonotonicTime now) const {
  const Millis limit = settings_.suspect_after + settings_.relay_interval;
  if (!peer.report || !peer.alive_as_of || SilentFor(*peer.alive_as_of, now) > limit) return false;
  const auto& digests = peer.report->digests;
  return std::any_of(digests.begin(), digests.end(), [&](const DataCentreDigest& digest) {
    return digest.data_centre == peer.record.data_centre;
  });
}

std::optional<MonotonicTime> Membership::FreshAsOf(ConfigVersion applied, MonotonicTime now) const {
  if (highest_version_ > applied) return std::nullopt;
  std::optional<MonotonicTime> oldest;
  for (const auto& [node, peer] : peers_) {
    if (!IsMember(peer, now)) continue;
    std::optional<MonotonicTime> as_of = peer.as_of;
    if (const DigestState* state = DigestOf(peer)) {
      as_of = std::max(as_of.value_or(*state->as_of), *state->as_of);
    }
    if (!as_of) return std::nullopt;
    oldest = std::min(oldest.value_or(*as_of), *as_of);
  }
  return oldest;
}

ConfigVersion Membership::HighestVersion() const { return highest_version_; }

std::map<DataCentreId, ConfigVersion> Membership::AppliedByDataCentre(ConfigVersion own_version,
                                                                      MonotonicTime now) const {
  std::map<DataCentreId, ConfigVersion> applied;
  applied[settings_.self.data_centre] = own_version;
  for (const auto& [node, peer] : peers_) {
    if (!IsLocal(peer) || !IsLive(peer, now) || !peer.report) continue;
    ConfigVersion& slowest = applied[settings_.self.data_centre];
    slowest = std::min(slowest, peer.report->config_version);
  }
  for (const auto& [data_centre, state] : digests_) {
    if (state.as_of) applied[data_centre] = state.digest.min_version;
  }
  return applied;
}

}  // namespace sapphirewheel
