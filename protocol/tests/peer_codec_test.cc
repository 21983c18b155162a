#include "sapphirewheel/protocol/peer_codec.h"

#include <string>

#include "peer.pb.h"

#include "CppUTest/TestHarness.h"

using namespace sapphirewheel;  // NOLINT(google-build-using-namespace)

namespace {

// Encodes a value, serializes and parses the message, and decodes it again.
template <typename Message, typename Value>
auto RoundTrip(const Value& value) {
  Message message;
  Encode(value, message);
  Message received;
  CHECK_TRUE(received.ParseFromString(message.SerializeAsString()));
  return Decode(received);
}

}  // namespace

// clang-format off
TEST_GROUP(PeerCodec) {};
// clang-format on

// Guards against heartbeat fields that are missing from the encoding.
TEST(PeerCodec, ReportsKeepAllFields) {
  PeerReport report;
  report.node = NodeId("vm1#ab");
  report.vm = VmId("vm1");
  report.data_centre = DataCentreId("a");
  report.peer_address = "127.0.1.1:4000";
  report.http_address = "127.0.1.1:4001";
  report.leaving = true;
  report.config_version = ConfigVersion(7);
  report.loads = {{ServiceId("mix"), Slots(3), Slots(5), 11, 2}};
  report.tokens = {{TeamId("brewers"), Slots(4)}};
  report.digests = {{DataCentreId("b"),
                     Millis(120),
                     ConfigVersion(6),
                     ConfigVersion(7),
                     {NodeId("x"), NodeId("y")},
                     {NodeId("y")},
                     0xfedcba9876543210ULL}};
  report.digests_hash = 99;
  const PeerReport got = RoundTrip<peer::Report>(report);
  CHECK_TRUE(got.node == report.node && got.vm == report.vm);
  CHECK_TRUE(got.data_centre == report.data_centre && got.leaving);
  CHECK_TRUE(got.peer_address == report.peer_address && got.http_address == report.http_address);
  CHECK_TRUE(got.config_version == report.config_version);
  CHECK_TRUE(got.loads.at(0).service == ServiceId("mix"));
  CHECK_TRUE(got.loads.at(0).free_slots == Slots(3) && got.loads.at(0).running == Slots(5));
  CHECK_EQUAL(11, got.loads.at(0).queued);
  CHECK_EQUAL(2, got.loads.at(0).queued_urgent);
  CHECK_TRUE(got.tokens.at(0).team == TeamId("brewers"));
  CHECK_TRUE(got.tokens.at(0).free_tokens == Slots(4));
  const DataCentreDigest& digest = got.digests.at(0);
  CHECK_TRUE(digest.data_centre == DataCentreId("b") && digest.oldest_age == Millis(120));
  CHECK_TRUE(digest.min_version == ConfigVersion(6) && digest.max_version == ConfigVersion(7));
  CHECK_TRUE(digest.members == report.digests.at(0).members);
  CHECK_TRUE(digest.leaving == report.digests.at(0).leaving);
  CHECK_TRUE(digest.members_hash == 0xfedcba9876543210ULL);
  CHECK_TRUE(got.digests_hash == 99);
}

// Guards against a digest with a negative age, which would appear newer than the report.
TEST(PeerCodec, NegativeAgesAreClamped) {
  peer::Report message;
  message.add_digests()->set_oldest_age_ms(-5);
  message.add_loads()->set_free_slots(-1);
  CHECK_TRUE(Decode(message).digests.at(0).oldest_age == Millis(0));
  CHECK_TRUE(Decode(message).loads.at(0).free_slots == Slots(0));
}

// Guards against deltas that lose entries, and against invalid deltas that are decoded as empty.
TEST(PeerCodec, DeltasKeepEntriesAndSnapshot) {
  const ConfigEntry entry{ConfigVersion(1), PlanId("p"),
                          TeamChange{TeamId("t"), Share(2), Slots(3)}};
  ConfigDelta delta;
  delta.snapshot.emplace();
  CHECK_TRUE(ApplyEntry(*delta.snapshot, entry).has_value());
  delta.entries = {{ConfigVersion(2), PlanId("q"), KeyWithdrawChange{KeyId("k")}}};
  auto got = RoundTrip<peer::ConfigDelta>(delta);
  CHECK_TRUE(got.has_value());
  CHECK_TRUE(EncodeConfig(*got.value().snapshot) == EncodeConfig(*delta.snapshot));
  CHECK_TRUE(EncodeEntry(got.value().entries.at(0)) == EncodeEntry(delta.entries.at(0)));
  peer::ConfigDelta broken;
  broken.add_entries("{");
  CHECK_FALSE(Decode(broken).has_value());
}

// Guards against forwarded requests and replies that lose fields.
TEST(PeerCodec, ForwardsKeepAllFields) {
  const ForwardCall call{TeamId("t"), ServiceId("s"), RequestId("r"),        true,   true,
                         Millis(250), "text/plain",   std::string("\0x", 2), "00-1", 1};
  const ForwardCall got = RoundTrip<peer::ForwardRequest>(call);
  CHECK_TRUE(got.team == call.team && got.service == call.service && got.request == call.request);
  CHECK_TRUE(got.repeatable && got.urgent && got.deadline == call.deadline);
  CHECK_TRUE(got.content_type == call.content_type && got.body == call.body);
  CHECK_TRUE(got.traceparent == call.traceparent);
  CHECK_EQUAL(1, got.hops_left);
  // A sender that allows more hops could cause an endless forwarding loop.
  ForwardCall loop = call;
  loop.hops_left = 9;
  CHECK_EQUAL(1, RoundTrip<peer::ForwardRequest>(loop).hops_left);
  const ForwardReply ok = RoundTrip<peer::ForwardReply>(ForwardReply{201, "a/b", "body", {}});
  CHECK_EQUAL(201, ok.status);
  // Otherwise a caller could take a cached response for that of its own repetition.
  CHECK_TRUE(RoundTrip<peer::ForwardReply>(ForwardReply{200, "", "", {}, true}).replayed);
  CHECK_TRUE(ok.content_type == "a/b" && ok.body == "body" && !ok.error);
}

// Guards against an error whose run state is changed to "not-run" by the encoding.
TEST(PeerCodec, ErrorsKeepTheRunState) {
  for (const RunState run : {RunState::kNotRun, RunState::kUnknown, RunState::kDone}) {
    const Error error{ErrorKind::kInvalidArgument, "what", "remedy", run, Millis(5)};
    const ForwardReply got = RoundTrip<peer::ForwardReply>(ForwardReply{0, "", "", error});
    CHECK_TRUE(got.error.has_value());
    CHECK_TRUE(got.error->kind == error.kind && got.error->run == run);
    CHECK_TRUE(got.error->message == "what" && got.error->remedy == "remedy");
    CHECK_TRUE(got.error->retry_after == Millis(5));
  }
  peer::ForwardReply message;
  message.set_error_kind(1000);
  message.set_run("something else");
  CHECK_TRUE(Decode(message).error->kind == ErrorKind::kInternal);
  CHECK_TRUE(Decode(message).error->run == RunState::kUnknown);
}

// Guards against a claim verdict of a newer daemon that is decoded as a grant.
TEST(PeerCodec, ClaimsKeepAllFields) {
  const ClaimCall claim =
      RoundTrip<peer::ClaimRequest>(ClaimCall{{TeamId("t"), RequestId("r")}, NodeId("n")});
  CHECK_TRUE(claim.key == (ClaimKey{TeamId("t"), RequestId("r")}) && claim.claimant == NodeId("n"));
  for (const ClaimVerdict verdict : {ClaimVerdict::kGranted, ClaimVerdict::kDuplicate,
                                     ClaimVerdict::kRefused, ClaimVerdict::kUncertain}) {
    const ClaimReply got = RoundTrip<peer::ClaimReply>(
        ClaimReply{verdict, true, CachedResponse{200, "a/b", "x"}, "m"});
    CHECK_TRUE(got.verdict == verdict && got.done && got.message == "m");
    CHECK_TRUE(got.answer && got.answer->status == 200 && got.answer->content_type == "a/b");
    CHECK_TRUE(got.answer->body == "x");
  }
  CHECK_TRUE(Decode(peer::ClaimReply()).verdict == ClaimVerdict::kUncertain);
  CHECK_FALSE(Decode(peer::ClaimReply()).answer.has_value());
  for (const ClaimOutcome outcome :
       {ClaimOutcome::kUnknown, ClaimOutcome::kDone, ClaimOutcome::kReleased}) {
    const OutcomeCall got = RoundTrip<peer::OutcomeRequest>(
        OutcomeCall{{TeamId("t"), RequestId("r")}, NodeId("n"), outcome, std::nullopt});
    CHECK_TRUE(got.outcome == outcome && got.claimant == NodeId("n") && !got.answer);
    CHECK_TRUE(got.key.request == RequestId("r"));
  }
}
