#pragma once

#include <optional>

#include "sapphirewheel/coordination/claim_log.h"
#include "sapphirewheel/coordination/config_log.h"
#include "sapphirewheel/coordination/peer_report.h"
#include "sapphirewheel/protocol/forward.h"

namespace sapphirewheel {

namespace peer {
class ClaimReply;
class ClaimRequest;
class ConfigDelta;
class ForwardReply;
class ForwardRequest;
class OutcomeRequest;
class Report;
}  // namespace peer

// A claim of a request identifier, sent to the owner of the identifier's range.
struct ClaimCall {
  ClaimKey key;
  // The node that will dispatch the request.
  NodeId claimant;
};

// The outcome of a claimed request, sent to the owner of the identifier's range.
struct OutcomeCall {
  ClaimKey key;
  NodeId claimant;
  ClaimOutcome outcome = ClaimOutcome::kUnknown;
  std::optional<CachedResponse> answer;
};

// Conversions between the messages of peer.proto and the structs of the coordination components.
// Decoding sanitizes the messages of other daemons: negative ages, durations and counts become 0,
// and unknown enumerators become the most conservative value. Each Encode replaces the content of
// the message.
void Encode(const PeerReport& report, peer::Report& message);
[[nodiscard]] PeerReport Decode(const peer::Report& message);

void Encode(const ConfigDelta& delta, peer::ConfigDelta& message);
// Errors: kInvalidArgument when an entry or the snapshot is not valid JSON of its type.
[[nodiscard]] Result<ConfigDelta> Decode(const peer::ConfigDelta& message);

void Encode(const ForwardCall& call, peer::ForwardRequest& message);
[[nodiscard]] ForwardCall Decode(const peer::ForwardRequest& message);

void Encode(const ForwardReply& answer, peer::ForwardReply& message);
[[nodiscard]] ForwardReply Decode(const peer::ForwardReply& message);

void Encode(const ClaimCall& call, peer::ClaimRequest& message);
[[nodiscard]] ClaimCall Decode(const peer::ClaimRequest& message);

void Encode(const ClaimReply& reply, peer::ClaimReply& message);
[[nodiscard]] ClaimReply Decode(const peer::ClaimReply& message);

void Encode(const OutcomeCall& call, peer::OutcomeRequest& message);
[[nodiscard]] OutcomeCall Decode(const peer::OutcomeRequest& message);

}  // namespace sapphirewheel
