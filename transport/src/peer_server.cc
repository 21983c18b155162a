#include "sapphirewheel/transport/peer_server.h"

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <map>
#include <mutex>
#include <utility>
#include <vector>

#include "peer.grpc.pb.h"
#include "peer_metadata.h"

namespace sapphirewheel {
namespace {

using grpc::CallbackServerContext;
using grpc::ServerUnaryReactor;

// Minimum interval between the pings of a client.
constexpr int kMinPingIntervalMs = 500;
// Time for the last replies to be sent before the connections are closed.
constexpr Millis kFlushTime(500);

// Bounds the number of calls in flight. Thread-safe.
class CallLimit {
 public:
  explicit CallLimit(int max) : max_(max) {}
  [[nodiscard]] bool TryAcquire() {
    if (n_.fetch_add(1) < max_) return true;
    n_.fetch_sub(1);
    return false;
  }
  void Release() { n_.fetch_sub(1); }

 private:
  const int max_;
  std::atomic<int> n_{0};
};

class CallRegistry;

// One call in progress. Ends it exactly once, at the latest when the last owner releases it. The
// reply message is owned by gRPC and valid only until then.
class ServerCall {
 public:
  ServerCall(CallbackServerContext* context, ServerUnaryReactor* reactor,
             std::shared_ptr<CallLimit> limit, std::shared_ptr<CallRegistry> registry);
  ~ServerCall();
  ServerCall(const ServerCall&) = delete;
  ServerCall& operator=(const ServerCall&) = delete;

  // Marks the call as started and returns whether a handler may see it. It may not after the call
  // has ended, because the client was then told that the call was not delivered.
  [[nodiscard]] bool TryStart() {
    const std::lock_guard lock(mutex_);
    started_ = !ended_;
    return started_;
  }
  // Fills in the reply and ends the call, unless it has ended.
  void Reply(const std::function<void()>& fill) { End(grpc::Status::OK, fill); }
  // Fails the call. If it was not started, the client is told that it was not delivered.
  void Fail(grpc::StatusCode code, const std::string& message);

 private:
  void End(const grpc::Status& status, const std::function<void()>& before);

  CallbackServerContext* context_;
  ServerUnaryReactor* reactor_;
  std::shared_ptr<CallLimit> limit_;
  std::shared_ptr<CallRegistry> registry_;
  std::mutex mutex_;
  bool started_ = false;
  bool ended_ = false;
};

// Tracks the calls in progress, so that a stop can wait for them or end them. Outlives the server
// when a handler still holds a reply function.
class CallRegistry {
 public:
  [[nodiscard]] bool IsStopping() const { return stopping_; }
  void SetStopping() { stopping_ = true; }

  void Add(const std::shared_ptr<ServerCall>& call) {
    const std::lock_guard lock(mutex_);
    calls_[call.get()] = call;
  }
  void Remove(ServerCall* call) {
    const std::lock_guard lock(mutex_);
    calls_.erase(call);
    if (calls_.empty()) empty_.notify_all();
  }
  void WaitUntilEmpty(Millis time) {
    std::unique_lock lock(mutex_);
    empty_.wait_for(lock, time, [this] { return calls_.empty(); });
  }
  [[nodiscard]] std::vector<std::shared_ptr<ServerCall>> Calls() {
    const std::lock_guard lock(mutex_);
    std::vector<std::shared_ptr<ServerCall>> calls;
    for (const auto& [key, call] : calls_) {
      if (auto held = call.lock()) calls.push_back(std::move(held));
    }
    return calls;
  }

 private:
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::condition_variable empty_;
  std::map<ServerCall*, std::weak_ptr<ServerCall>> calls_;
};

ServerCall::ServerCall(CallbackServerContext* context, ServerUnaryReactor* reactor,
                       std::shared_ptr<CallLimit> limit, std::shared_ptr<CallRegistry> registry)
    : context_(context),
      reactor_(reactor),
      limit_(std::move(limit)),
      registry_(std::move(registry)) {}

ServerCall::~ServerCall() {
  if (started_) {
    Fail(grpc::StatusCode::ABORTED, "the handler dropped the call");
  } else {
    Fail(grpc::StatusCode::RESOURCE_EXHAUSTED, "the daemon cannot accept the call now");
  }
}

void ServerCall::Fail(grpc::StatusCode code, const std::string& message) {
  End(grpc::Status(code, message), [this] {
    if (!started_) context_->AddTrailingMetadata(kNotDeliveredKey, "1");
  });
}

void ServerCall::End(const grpc::Status& status, const std::function<void()>& before) {
  {
    const std::lock_guard lock(mutex_);
    if (ended_) return;
    ended_ = true;
    before();
  }
  limit_->Release();
  registry_->Remove(this);
  reactor_->Finish(status);
}

ServerUnaryReactor* Refuse(CallbackServerContext* context, grpc::StatusCode code,
                           const std::string& message) {
  context->AddTrailingMetadata(kNotDeliveredKey, "1");
  ServerUnaryReactor* reactor = context->DefaultReactor();
  reactor->Finish(grpc::Status(code, message));
  return reactor;
}

Error BindError(const std::string& address) {
  return Error{ErrorKind::kInvalidArgument, "cannot listen on " + address,
               "set an address of this VM and a free port", RunState::kNotRun, std::nullopt};
}

}  // namespace

class PeerServer::Impl final : public peer::Peer::CallbackService {
 public:
  Impl(const Settings& settings, PeerHandlers handlers, PostFunction post)
      : handlers_(std::make_shared<const PeerHandlers>(std::move(handlers))),
        post_(std::move(post)),
        forwards_(std::make_shared<CallLimit>(settings.max_forwards)),
        control_(std::make_shared<CallLimit>(settings.max_control_calls)) {}

  Result<void> Listen(const Settings& settings);
  void Stop(Millis grace);
  [[nodiscard]] const Endpoint& endpoint() const noexcept { return endpoint_; }

  ServerUnaryReactor* Exchange(CallbackServerContext* context, const peer::Report* request,
                               peer::Report* reply) override {
    return Serve(context, control_, handlers_->exchange, Decode(*request),
                 [reply](const PeerReport& report) { Encode(report, *reply); });
  }

  ServerUnaryReactor* PushConfig(CallbackServerContext* context, const peer::ConfigDelta* request,
                                 peer::ConfigAck* reply) override {
    auto delta = Decode(*request);
    if (!delta) {
      return Refuse(context, grpc::StatusCode::INVALID_ARGUMENT, delta.error().message);
    }
    return Serve(context, control_, handlers_->push_config, std::move(delta.value()),
                 [reply](ConfigVersion version) { reply->set_version(version.count()); });
  }

  ServerUnaryReactor* PullConfig(CallbackServerContext* context, const peer::ConfigQuery* request,
                                 peer::ConfigDelta* reply) override {
    return Serve(context, control_, handlers_->pull_config, ConfigVersion(request->after()),
                 [reply](const ConfigDelta& delta) { Encode(delta, *reply); });
  }

  ServerUnaryReactor* Forward(CallbackServerContext* context, const peer::ForwardRequest* request,
                              peer::ForwardReply* reply) override {
    return Serve(context, forwards_, handlers_->forward, Decode(*request),
                 [reply](const ForwardReply& result) { Encode(result, *reply); });
  }

  ServerUnaryReactor* Claim(CallbackServerContext* context, const peer::ClaimRequest* request,
                            peer::ClaimReply* reply) override {
    return Serve(context, control_, handlers_->claim, Decode(*request),
                 [reply](const ClaimReply& result) { Encode(result, *reply); });
  }

  ServerUnaryReactor* RecordOutcome(CallbackServerContext* context,
                                    const peer::OutcomeRequest* request,
                                    peer::OutcomeReply* /*reply*/) override {
    return Serve(context, control_, handlers_->record_outcome, Decode(*request), [] {});
  }

 private:
  // Posts the handler with a reply function that ends the call.
  template <typename Request, typename... Reply, typename Fill>
  ServerUnaryReactor* Serve(
      CallbackServerContext* context, const std::shared_ptr<CallLimit>& limit,
      const std::function<void(Request, std::function<void(Reply...)>)>& handler, Request request,
      Fill fill) {
    if (registry_->IsStopping()) {
      return Refuse(context, grpc::StatusCode::UNAVAILABLE, "the daemon is stopping");
    }
    if (!handler) {
      return Refuse(context, grpc::StatusCode::UNIMPLEMENTED,
                    "the daemon does not serve this call");
    }
    if (!limit->TryAcquire()) {
      return Refuse(context, grpc::StatusCode::RESOURCE_EXHAUSTED, "too many calls are in flight");
    }
    ServerUnaryReactor* reactor = context->DefaultReactor();
    auto call = std::make_shared<ServerCall>(context, reactor, limit, registry_);
    registry_->Add(call);
    // The task may run after the server has been destroyed, so it shares ownership of the handlers.
    post_([call, handlers = handlers_, &handler, request = std::move(request), fill]() mutable {
      if (!call->TryStart()) return;
      handler(std::move(request),
              [call, fill](Reply... reply) { call->Reply([&] { fill(reply...); }); });
    });
    return reactor;
  }

  std::shared_ptr<const PeerHandlers> handlers_;
  PostFunction post_;
  std::shared_ptr<CallLimit> forwards_;
  std::shared_ptr<CallLimit> control_;
  std::shared_ptr<CallRegistry> registry_ = std::make_shared<CallRegistry>();
  Endpoint endpoint_;
  std::unique_ptr<grpc::Server> server_;
};

Result<void> PeerServer::Impl::Listen(const Settings& settings) {
  grpc::ServerBuilder builder;
  int port = 0;
  builder.AddListeningPort(settings.listen.str(), grpc::InsecureServerCredentials(), &port);
  builder.SetMaxReceiveMessageSize(static_cast<int>(settings.max_message_bytes));
  // With port reuse, two daemons on one port would each get a random part of its connections.
  builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
  builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS,
                             kMinPingIntervalMs);
  builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
  builder.AddChannelArgument(GRPC_ARG_KEEPALIVE_PERMIT_WITHOUT_CALLS, 1);
  builder.RegisterService(this);
  server_ = builder.BuildAndStart();
  if (server_ == nullptr || port == 0) return BindError(settings.listen.str());
  endpoint_ = Endpoint{settings.listen.address, static_cast<std::uint16_t>(port)};
  return boost::outcome_v2::success();
}

void PeerServer::Impl::Stop(Millis grace) {
  if (server_ == nullptr) return;
  registry_->SetStopping();
  registry_->WaitUntilEmpty(grace);
  for (const auto& call : registry_->Calls()) {
    call->Fail(grpc::StatusCode::UNAVAILABLE, "the daemon stopped");
  }
  // All calls have ended; this only closes the connections.
  server_->Shutdown(std::chrono::system_clock::now() + kFlushTime);
  server_.reset();
}

PeerServer::PeerServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}

PeerServer::~PeerServer() { impl_->Stop(Millis(0)); }

Result<std::unique_ptr<PeerServer>> PeerServer::Start(const Settings& settings,
                                                      PeerHandlers handlers, PostFunction post) {
  auto impl = std::make_unique<Impl>(settings, std::move(handlers), std::move(post));
  BOOST_OUTCOME_TRY(impl->Listen(settings));
  return std::unique_ptr<PeerServer>(new PeerServer(std::move(impl)));
}

const Endpoint& PeerServer::endpoint() const noexcept { return impl_->endpoint(); }

void PeerServer::Stop(Millis grace) { impl_->Stop(grace); }

}  // namespace sapphirewheel
