#include "peer_link.h"

#include <utility>

namespace sapphirewheel {

PeerLink::PeerLink(Parts parts) : parts_(std::move(parts)) {}

void PeerLink::Tick(MonotonicTime now) {
  for (const MemberRecord& member : parts_.membership.HeartbeatsDue(now)) Exchange(member);
}

void PeerLink::Exchange(const MemberRecord& member) {
  const MonotonicTime sent_at = parts_.clock();
  parts_.peers.exchange(
      member.peer_address, parts_.report(member.node),
      [this, sent_at, address = member.peer_address](const std::optional<PeerReport>& report) {
        if (!report) return;
        parts_.membership.OnHeartbeatReply(*report, sent_at);
        if (report->config_version > parts_.config.version()) PullFrom(address);
      });
}

void PeerLink::PullFrom(const std::string& address) {
  if (pulling_) return;
  pulling_ = true;
  parts_.peers.pull_config(address, parts_.config.version(),
                           [this](const std::optional<ConfigDelta>& delta) {
                             pulling_ = false;
                             if (delta) parts_.config.OnDelta(*delta);
                           });
}

void PeerLink::PushConfig() {
  const ConfigVersion before = pushed_;
  pushed_ = parts_.config.version();
  if (pushed_ <= before) return;
  // A member whose version is older than the last push refuses the delta and pulls by itself.
  const ConfigDelta delta = parts_.config.DeltaAfter(before);
  if (delta.snapshot) return;
  for (const MemberRecord& member : parts_.membership.Members()) {
    if (member.fenced) continue;
    parts_.peers.push_config(member.peer_address, delta, [](std::optional<ConfigVersion>) {});
  }
}

PeerReport PeerLink::OnExchange(const PeerReport& report) {
  parts_.membership.OnHeartbeat(report, parts_.clock());
  if (report.config_version > parts_.config.version()) PullFrom(report.peer_address);
  return parts_.report(report.node);
}

ConfigVersion PeerLink::OnPush(const ConfigDelta& delta) { return parts_.config.OnDelta(delta); }

ConfigDelta PeerLink::OnPull(ConfigVersion after) { return parts_.config.DeltaAfter(after); }

}  // namespace sapphirewheel
