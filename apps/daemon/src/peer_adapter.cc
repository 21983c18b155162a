#include "peer_adapter.h"

#include <algorithm>
#include <utility>

namespace sapphirewheel {
namespace {

// For heartbeats and configuration. Shorter than the time after which a silent peer is suspected,
// so that a late reply is dropped.
constexpr Millis kControlTimeout{1500};
// A claim includes a commit at the platform.
constexpr Millis kClaimTimeout{4000};
// Transit time of the reply to a forwarded request, added to the request's deadline.
constexpr Millis kForwardMargin{500};

PeerClient::Settings ClientSettings(const std::optional<Endpoint>& proxy) {
  PeerClient::Settings settings;
  if (proxy) settings.proxy = proxy->str();
  return settings;
}

ForwardReply FailedForward(const PeerFailure& failure) {
  ForwardReply reply;
  const bool not_run = failure.delivery == Delivery::kNotDelivered;
  reply.error = Error{
      not_run ? ErrorKind::kNoCapacity : ErrorKind::kOutcomeUnknown,
      "the daemon that the request was forwarded to did not reply: " + failure.message,
      not_run ? "send the request again" : "check with the service whether the request took effect",
      not_run ? RunState::kNotRun : RunState::kUnknown, std::nullopt};
  return reply;
}

ClaimReply FailedClaim(const PeerFailure& failure) {
  ClaimReply reply;
  reply.verdict = failure.delivery == Delivery::kNotDelivered ? ClaimVerdict::kRefused
                                                              : ClaimVerdict::kUncertain;
  reply.message = failure.message;
  return reply;
}

// Adapts a callback: passes the value of a reply on, or no value after a failure.
template <typename T>
auto ValueOrNone(std::function<void(std::optional<T>)> done) {
  return [done = std::move(done)](PeerResult<T> result) {
    if (result) {
      done(std::move(result.value()));
    } else {
      done(std::nullopt);
    }
  };
}

ServiceRequest ToRequest(ForwardCall call) {
  ServiceRequest request;
  request.team = call.team;
  request.service = call.service;
  request.request = call.request;
  request.repeatable = call.repeatable;
  request.urgent = call.urgent;
  request.timeout = call.deadline;
  request.body = std::move(call.body);
  request.traceparent = call.traceparent;
  request.hops_left = call.hops_left;
  return request;
}

ForwardReply ToForwardReply(Result<ServiceAnswer> result) {
  ForwardReply reply;
  if (!result) {
    reply.error = result.error();
    return reply;
  }
  reply.status = result.value().status;
  reply.content_type = result.value().content_type;
  reply.body = std::move(result.value().body);
  reply.replayed = result.value().replayed;
  return reply;
}

Error RegisteringError() {
  return Error{ErrorKind::kDraining, "this node is registering again", "try another node",
               RunState::kNotRun, std::nullopt};
}

}  // namespace

PeerAdapter::PeerAdapter(const std::optional<Endpoint>& proxy, PostFunction post)
    : client_(ClientSettings(proxy), std::move(post)) {}

PeerHooks PeerAdapter::hooks() {
  PeerHooks hooks;
  hooks.exchange = [this](const std::string& address, const PeerReport& report, auto done) {
    client_.Exchange(address, report, kControlTimeout, ValueOrNone<PeerReport>(std::move(done)));
  };
  hooks.push_config = [this](const std::string& address, const ConfigDelta& delta, auto done) {
    client_.PushConfig(address, delta, kControlTimeout,
                       ValueOrNone<ConfigVersion>(std::move(done)));
  };
  hooks.pull_config = [this](const std::string& address, ConfigVersion after, auto done) {
    client_.PullConfig(address, after, kControlTimeout, ValueOrNone<ConfigDelta>(std::move(done)));
  };
  hooks.forward = [this](const std::string& address, const ForwardCall& call, auto done) {
    client_.Forward(address, call, call.deadline + kForwardMargin,
                    [done = std::move(done)](PeerResult<ForwardReply> result) {
                      done(result ? std::move(result.value()) : FailedForward(result.error()));
                    });
  };
  hooks.claim = [this](const std::string& address, const ClaimKey& key, const NodeId& claimant,
                       auto done) {
    client_.Claim(address, ClaimCall{key, claimant}, kClaimTimeout,
                  [done = std::move(done)](PeerResult<ClaimReply> result) {
                    done(result ? std::move(result.value()) : FailedClaim(result.error()));
                  });
  };
  hooks.record_outcome = [this](const std::string& address, const ClaimKey& key,
                                const NodeId& claimant, ClaimOutcome outcome,
                                const std::optional<CachedResponse>& response) {
    client_.RecordOutcome(address, OutcomeCall{key, claimant, outcome, response}, kControlTimeout,
                          [](const PeerResult<void>&) {});
  };
  return hooks;
}

PeerHandlers NodePeerHandlers(const std::function<Node*()>& node) {
  PeerHandlers handlers;
  handlers.exchange = [node](const PeerReport& report, auto reply) {
    if (Node* n = node()) reply(n->peer_link().OnExchange(report));
  };
  handlers.push_config = [node](const ConfigDelta& delta, auto reply) {
    if (Node* n = node()) reply(n->peer_link().OnPush(delta));
  };
  handlers.pull_config = [node](ConfigVersion after, auto reply) {
    if (Node* n = node()) reply(n->peer_link().OnPull(after));
  };
  handlers.forward = [node](ForwardCall call, auto reply) {
    auto answer = [reply = std::move(reply)](Result<ServiceAnswer> result) {
      reply(ToForwardReply(std::move(result)));
    };
    Node* n = node();
    if (n == nullptr) return answer(RegisteringError());
    n->SubmitForwarded(ToRequest(std::move(call)), std::move(answer));
  };
  handlers.claim = [node](const ClaimCall& call, auto reply) {
    if (Node* n = node()) n->OnPeerClaim(call.key, call.claimant, std::move(reply));
  };
  handlers.record_outcome = [node](const OutcomeCall& call, auto reply) {
    if (Node* n = node()) n->OnPeerOutcome(call.key, call.claimant, call.outcome, call.answer);
    reply();
  };
  return handlers;
}

}  // namespace sapphirewheel
