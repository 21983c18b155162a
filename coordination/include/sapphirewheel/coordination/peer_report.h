#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "sapphirewheel/state/ids.h"
#include "sapphirewheel/state/units.h"

namespace sapphirewheel {

// Load of a service on the workers that a node owns.
struct ServiceLoad {
  ServiceId service;
  Slots free_slots;
  Slots running;
  std::int64_t queued = 0;
  std::int64_t queued_urgent = 0;
};

// Unused tokens of a team that a node holds.
struct TeamTokens {
  TeamId team;
  Slots free_tokens;
};

// Summary of a data centre, created by its relay.
struct DataCentreDigest {
  DataCentreId data_centre;
  // Age of the oldest report among the data centre's members.
  Millis oldest_age{0};
  ConfigVersion min_version;
  ConfigVersion max_version;
  // Live members, including those that are leaving; empty if the receiver is known to have the list
  // (see `members_hash`).
  std::vector<NodeId> members;
  // The live members that are leaving; sent together with `members`.
  std::vector<NodeId> leaving;
  // Hash of both lists.
  std::uint64_t members_hash = 0;
  // Sum of the members' loads. Sent to relays only, since only they plan moves of VMs.
  std::vector<ServiceLoad> loads;
};

// A node's report about itself in a heartbeat.
struct PeerReport {
  NodeId node;
  VmId vm;
  DataCentreId data_centre;
  // Addresses ("ip:port") of the gRPC and the HTTP listener.
  std::string peer_address;
  std::string http_address;
  bool leaving = false;
  ConfigVersion config_version;
  std::vector<ServiceLoad> loads;
  std::vector<TeamTokens> tokens;
  std::vector<DataCentreDigest> digests;
  // Combined hash of the member lists of all data centres that the sender holds.
  std::uint64_t digests_hash = 0;
};

// A row in table `members`.
struct MemberRecord {
  NodeId node;
  VmId vm;
  DataCentreId data_centre;
  std::string peer_address;
  std::string http_address;
  // Set by the peer that fences the node. A fenced node must never dispatch again.
  bool fenced = false;
  Revision revision;
};

[[nodiscard]] std::string EncodeMember(const MemberRecord& member);
// Returns a record with an empty VM id if the text is not valid.
[[nodiscard]] MemberRecord DecodeMember(const NodeId& node, const std::string& text,
                                        Revision revision);

}  // namespace sapphirewheel
