#include "sapphirewheel/protocol/peer_codec.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "peer.pb.h"

namespace sapphirewheel {
namespace {

std::int64_t NonNegative(std::int64_t n) { return std::max<std::int64_t>(n, 0); }

Millis Duration(std::int64_t ms) { return Millis(NonNegative(ms)); }

template <typename Field>
std::vector<NodeId> DecodeNodes(const Field& field) {
  std::vector<NodeId> nodes;
  nodes.reserve(static_cast<std::size_t>(field.size()));
  for (const std::string& node : field) nodes.emplace_back(node);
  return nodes;
}

// Reports and digests use the same name for the field.
template <typename Message>
void EncodeLoads(const std::vector<ServiceLoad>& loads, Message& message) {
  for (const ServiceLoad& load : loads) {
    peer::ServiceLoad& out = *message.add_loads();
    out.set_service(load.service.str());
    out.set_free_slots(load.free_slots.count());
    out.set_running(load.running.count());
    out.set_queued(load.queued);
    out.set_queued_urgent(load.queued_urgent);
  }
}

template <typename Message>
std::vector<ServiceLoad> DecodeLoads(const Message& message) {
  std::vector<ServiceLoad> loads;
  for (const peer::ServiceLoad& load : message.loads()) {
    loads.push_back({ServiceId(load.service()), Slots(NonNegative(load.free_slots())),
                     Slots(NonNegative(load.running())), NonNegative(load.queued()),
                     NonNegative(load.queued_urgent())});
  }
  return loads;
}

void EncodeDigest(const DataCentreDigest& digest, peer::DataCentreDigest& message) {
  message.set_data_centre(digest.data_centre.str());
  message.set_oldest_age_ms(digest.oldest_age.count());
  message.set_min_version(digest.min_version.count());
  message.set_max_version(digest.max_version.count());
  for (const NodeId& node : digest.members) message.add_members(node.str());
  for (const NodeId& node : digest.leaving) message.add_leaving(node.str());
  message.set_members_hash(digest.members_hash);
  EncodeLoads(digest.loads, message);
}

// A negative age would make the digest appear newer than the report that contains it.
DataCentreDigest DecodeDigest(const peer::DataCentreDigest& message) {
  return DataCentreDigest{DataCentreId(message.data_centre()),
                          Duration(message.oldest_age_ms()),
                          ConfigVersion(message.min_version()),
                          ConfigVersion(message.max_version()),
                          DecodeNodes(message.members()),
                          DecodeNodes(message.leaving()),
                          message.members_hash(),
                          DecodeLoads(message)};
}

// Both messages with a cached response use the same names for its fields.
template <typename Message>
void EncodeCachedResponse(const std::optional<CachedResponse>& answer, Message& message) {
  if (!answer) return;
  message.set_status(answer->status);
  message.set_content_type(answer->content_type);
  message.set_answer(answer->body);
}

template <typename Message>
std::optional<CachedResponse> DecodeCachedResponse(const Message& message) {
  if (message.status() == 0) return std::nullopt;
  return CachedResponse{message.status(), message.content_type(), message.answer()};
}

RunState DecodeRun(const std::string& name) {
  for (const RunState run : {RunState::kNotRun, RunState::kDone}) {
    if (name == RunStateName(run)) return run;
  }
  return RunState::kUnknown;
}

// The number on the wire is that of the enumerator plus one.
ErrorKind DecodeErrorKind(int number) {
  const int last = static_cast<int>(ErrorKind::kInternal) + 1;
  return number < 1 || number > last ? ErrorKind::kInternal : static_cast<ErrorKind>(number - 1);
}

peer::ClaimReply::Verdict EncodeVerdict(ClaimVerdict verdict) {
  switch (verdict) {
    case ClaimVerdict::kGranted:
      return peer::ClaimReply::GRANTED;
    case ClaimVerdict::kDuplicate:
      return peer::ClaimReply::DUPLICATE;
    case ClaimVerdict::kRefused:
      return peer::ClaimReply::REFUSED;
    case ClaimVerdict::kUncertain:
      return peer::ClaimReply::UNCERTAIN;
  }
  return peer::ClaimReply::UNCERTAIN;
}

ClaimVerdict DecodeVerdict(peer::ClaimReply::Verdict verdict) {
  switch (verdict) {
    case peer::ClaimReply::GRANTED:
      return ClaimVerdict::kGranted;
    case peer::ClaimReply::DUPLICATE:
      return ClaimVerdict::kDuplicate;
    case peer::ClaimReply::REFUSED:
      return ClaimVerdict::kRefused;
    default:
      return ClaimVerdict::kUncertain;
  }
}

}  // namespace

void Encode(const PeerReport& report, peer::Report& message) {
  message.Clear();
  message.set_node(report.node.str());
  message.set_vm(report.vm.str());
  message.set_data_centre(report.data_centre.str());
  message.set_peer_address(report.peer_address);
  message.set_http_address(report.http_address);
  message.set_leaving(report.leaving);
  message.set_config_version(report.config_version.count());
  EncodeLoads(report.loads, message);
  for (const TeamTokens& tokens : report.tokens) {
    peer::TeamTokens& out = *message.add_tokens();
    out.set_team(tokens.team.str());
    out.set_free_tokens(tokens.free_tokens.count());
  }
  for (const DataCentreDigest& digest : report.digests) {
    EncodeDigest(digest, *message.add_digests());
  }
  message.set_digests_hash(report.digests_hash);
}

PeerReport Decode(const peer::Report& message) {
  PeerReport report;
  report.node = NodeId(message.node());
  report.vm = VmId(message.vm());
  report.data_centre = DataCentreId(message.data_centre());
  report.peer_address = message.peer_address();
  report.http_address = message.http_address();
  report.leaving = message.leaving();
  report.config_version = ConfigVersion(message.config_version());
  report.loads = DecodeLoads(message);
  for (const peer::TeamTokens& tokens : message.tokens()) {
    report.tokens.push_back({TeamId(tokens.team()), Slots(NonNegative(tokens.free_tokens()))});
  }
  for (const peer::DataCentreDigest& digest : message.digests()) {
    report.digests.push_back(DecodeDigest(digest));
  }
  report.digests_hash = message.digests_hash();
  return report;
}

void Encode(const ConfigDelta& delta, peer::ConfigDelta& message) {
  message.Clear();
  if (delta.snapshot) message.set_snapshot(EncodeConfig(*delta.snapshot));
  for (const ConfigEntry& entry : delta.entries) message.add_entries(EncodeEntry(entry));
}

Result<ConfigDelta> Decode(const peer::ConfigDelta& message) {
  ConfigDelta delta;
  if (!message.snapshot().empty()) {
    BOOST_OUTCOME_TRY(delta.snapshot, DecodeConfig(message.snapshot()));
  }
  for (const std::string& text : message.entries()) {
    BOOST_OUTCOME_TRY(auto entry, DecodeEntry(text));
    delta.entries.push_back(std::move(entry));
  }
  return delta;
}

void Encode(const ForwardCall& call, peer::ForwardRequest& message) {
  message.Clear();
  message.set_team(call.team.str());
  message.set_service(call.service.str());
  message.set_request_id(call.request.str());
  message.set_repeatable(call.repeatable);
  message.set_urgent(call.urgent);
  message.set_deadline_ms(call.deadline.count());
  message.set_content_type(call.content_type);
  message.set_body(call.body);
  message.set_traceparent(call.traceparent);
  message.set_hops_left(call.hops_left);
}

ForwardCall Decode(const peer::ForwardRequest& message) {
  ForwardCall call;
  call.team = TeamId(message.team());
  call.service = ServiceId(message.service());
  call.request = RequestId(message.request_id());
  call.repeatable = message.repeatable();
  call.urgent = message.urgent();
  call.deadline = Duration(message.deadline_ms());
  call.content_type = message.content_type();
  call.body = message.body();
  call.traceparent = message.traceparent();
  // At most one more hop, whatever the sender specifies.
  call.hops_left = std::clamp(message.hops_left(), 0, 1);
  return call;
}

void Encode(const ForwardReply& reply, peer::ForwardReply& message) {
  message.Clear();
  message.set_status(reply.status);
  message.set_content_type(reply.content_type);
  message.set_body(reply.body);
  message.set_replayed(reply.replayed);
  if (!reply.error) return;
  message.set_error_kind(static_cast<int>(reply.error->kind) + 1);
  message.set_error_message(reply.error->message);
  message.set_error_remedy(reply.error->remedy);
  message.set_run(RunStateName(reply.error->run));
  // On the wire, 0 means that there is no retry time.
  if (reply.error->retry_after) {
    message.set_retry_after_ms(std::max<std::int64_t>(reply.error->retry_after->count(), 1));
  }
}

ForwardReply Decode(const peer::ForwardReply& message) {
  ForwardReply reply;
  reply.status = message.status();
  reply.content_type = message.content_type();
  reply.body = message.body();
  reply.replayed = message.replayed();
  if (message.error_kind() == 0) return reply;
  Error error;
  error.kind = DecodeErrorKind(message.error_kind());
  error.message = message.error_message();
  error.remedy = message.error_remedy();
  error.run = DecodeRun(message.run());
  if (message.retry_after_ms() > 0) error.retry_after = Millis(message.retry_after_ms());
  reply.error = std::move(error);
  return reply;
}

void Encode(const ClaimCall& call, peer::ClaimRequest& message) {
  message.Clear();
  message.set_team(call.key.team.str());
  message.set_request_id(call.key.request.str());
  message.set_node(call.claimant.str());
}

ClaimCall Decode(const peer::ClaimRequest& message) {
  return ClaimCall{{TeamId(message.team()), RequestId(message.request_id())},
                   NodeId(message.node())};
}

void Encode(const ClaimReply& reply, peer::ClaimReply& message) {
  message.Clear();
  message.set_verdict(EncodeVerdict(reply.verdict));
  message.set_done(reply.done);
  EncodeCachedResponse(reply.answer, message);
  message.set_message(reply.message);
}

ClaimReply Decode(const peer::ClaimReply& message) {
  return ClaimReply{DecodeVerdict(message.verdict()), message.done(), DecodeCachedResponse(message),
                    message.message()};
}

void Encode(const OutcomeCall& call, peer::OutcomeRequest& message) {
  message.Clear();
  message.set_team(call.key.team.str());
  message.set_request_id(call.key.request.str());
  message.set_node(call.claimant.str());
  switch (call.outcome) {
    case ClaimOutcome::kUnknown:
      message.set_outcome(peer::OutcomeRequest::UNKNOWN);
      break;
    case ClaimOutcome::kDone:
      message.set_outcome(peer::OutcomeRequest::DONE);
      break;
    case ClaimOutcome::kReleased:
      message.set_outcome(peer::OutcomeRequest::RELEASED);
      break;
  }
  EncodeCachedResponse(call.answer, message);
}

OutcomeCall Decode(const peer::OutcomeRequest& message) {
  OutcomeCall call;
  call.key = {TeamId(message.team()), RequestId(message.request_id())};
  call.claimant = NodeId(message.node());
  if (message.outcome() == peer::OutcomeRequest::DONE) call.outcome = ClaimOutcome::kDone;
  if (message.outcome() == peer::OutcomeRequest::RELEASED) call.outcome = ClaimOutcome::kReleased;
  call.answer = DecodeCachedResponse(message);
  return call;
}

}  // namespace sapphirewheel
