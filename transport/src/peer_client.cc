#include "sapphirewheel/transport/peer_client.h"

#include <grpc/support/time.h>
#include <grpcpp/grpcpp.h>

#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include "peer.grpc.pb.h"
#include "peer_metadata.h"

namespace sapphirewheel {
namespace {

// A watch of a channel's state is renewed after this time, so that destroying the client does not
// have to wait for a state change.
constexpr Millis kMaxStateWatch(100);
constexpr Millis kInitialReconnectBackoff(100);

gpr_timespec TimeAfter(Millis time) {
  return gpr_time_add(gpr_now(GPR_CLOCK_MONOTONIC),
                      gpr_time_from_millis(time.count(), GPR_TIMESPAN));
}

grpc::ChannelArguments ChannelArguments(const PeerClient::Settings& settings) {
  grpc::ChannelArguments arguments;
  // Several clients in one process must not share connections.
  arguments.SetInt(GRPC_ARG_USE_LOCAL_SUBCHANNEL_POOL, 1);
  // A call that may have reached the peer must not be sent again.
  arguments.SetInt(GRPC_ARG_ENABLE_RETRIES, 0);
  arguments.SetMaxReceiveMessageSize(static_cast<int>(settings.max_reply_bytes));
  const int connect_ms = static_cast<int>(settings.connect_timeout.count());
  arguments.SetInt(GRPC_ARG_INITIAL_RECONNECT_BACKOFF_MS, kInitialReconnectBackoff.count());
  arguments.SetInt(GRPC_ARG_MIN_RECONNECT_BACKOFF_MS, connect_ms);
  arguments.SetInt(GRPC_ARG_MAX_RECONNECT_BACKOFF_MS, connect_ms);
  arguments.SetInt(GRPC_ARG_DNS_MIN_TIME_BETWEEN_RESOLUTIONS_MS, connect_ms);
  const int keepalive_ms = static_cast<int>(settings.keepalive.count());
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIME_MS, keepalive_ms);
  arguments.SetInt(GRPC_ARG_KEEPALIVE_TIMEOUT_MS, keepalive_ms);
  arguments.SetInt(GRPC_ARG_HTTP2_MAX_PINGS_WITHOUT_DATA, 0);
  // The proxy comes from the settings only, never from environment variables.
  arguments.SetInt(GRPC_ARG_ENABLE_HTTP_PROXY, settings.proxy.empty() ? 0 : 1);
  if (!settings.proxy.empty()) {
    arguments.SetString(GRPC_ARG_HTTP_PROXY, "http://" + settings.proxy);
  }
  return arguments;
}

PeerFailure NotDelivered(std::string message, bool overloaded = false) {
  return PeerFailure{Delivery::kNotDelivered, overloaded, std::move(message)};
}

PeerFailure ToPeerFailure(const grpc::ClientContext& context, const grpc::Status& status) {
  const bool refused = context.GetServerTrailingMetadata().count(kNotDeliveredKey) > 0;
  const bool overloaded = refused && status.error_code() == grpc::StatusCode::RESOURCE_EXHAUSTED;
  return PeerFailure{refused ? Delivery::kNotDelivered : Delivery::kUnknown, overloaded,
                     status.error_message()};
}

// The channel to one peer.
struct PeerChannel {
  std::shared_ptr<grpc::Channel> channel;
  std::unique_ptr<peer::Peer::Stub> stub;
  // Calls in flight; guarded by the client's mutex.
  int calls = 0;
};

// One call, from its start to its callback. It hands the request to gRPC only once the channel is
// connected, so that a request whose call fails earlier is known not to have been delivered.
class PendingCall {
 public:
  PendingCall(std::shared_ptr<PeerChannel> channel, Millis timeout)
      : channel_(std::move(channel)), deadline_(TimeAfter(timeout)) {
    context_.set_deadline(deadline_);
  }
  virtual ~PendingCall() = default;
  PendingCall(const PendingCall&) = delete;
  PendingCall& operator=(const PendingCall&) = delete;

  // Takes the next step; returns true when the call has ended.
  [[nodiscard]] bool Advance(grpc::CompletionQueue& queue, bool stopping) {
    if (sent_) return true;
    const grpc_connectivity_state state = channel_->channel->GetState(true);
    if (state == GRPC_CHANNEL_READY && !stopping) {
      sent_ = true;
      Send(queue);
      return false;
    }
    if (stopping) return FailBeforeSend("the client is stopping");
    if (state == GRPC_CHANNEL_TRANSIENT_FAILURE || state == GRPC_CHANNEL_SHUTDOWN) {
      return FailBeforeSend("cannot connect to the peer");
    }
    if (gpr_time_cmp(TimeAfter(Millis(0)), deadline_) >= 0) {
      return FailBeforeSend("no connection to the peer before the deadline");
    }
    channel_->channel->NotifyOnStateChange(
        state, gpr_time_min(deadline_, TimeAfter(kMaxStateWatch)), &queue, this);
    return false;
  }
  void Cancel() { context_.TryCancel(); }
  // Returns the task that runs the callback. Called once, when the call has ended.
  [[nodiscard]] virtual std::function<void()> TakeCallback() = 0;
  [[nodiscard]] PeerChannel& channel() { return *channel_; }

 protected:
  virtual void Send(grpc::CompletionQueue& queue) = 0;

  std::shared_ptr<PeerChannel> channel_;
  grpc::ClientContext context_;
  grpc::Status status_;
  // Set when the call ended before the request was sent.
  std::optional<PeerFailure> failure_;

 private:
  bool FailBeforeSend(const std::string& reason) {
    failure_ = NotDelivered(reason);
    return true;
  }

  gpr_timespec deadline_;
  bool sent_ = false;
};

template <typename Request, typename Reply, typename T>
class TypedCall final : public PendingCall {
 public:
  using Reader = std::unique_ptr<grpc::ClientAsyncResponseReader<Reply>>;
  using Method = Reader (peer::Peer::Stub::*)(grpc::ClientContext*, const Request&,
                                              grpc::CompletionQueue*);
  using Convert = std::function<PeerResult<T>(const Reply&)>;

  TypedCall(std::shared_ptr<PeerChannel> channel, Millis timeout, Request request, Method method,
            Convert convert, PeerClient::Callback<T> done)
      : PendingCall(std::move(channel), timeout),
        request_(std::move(request)),
        method_(method),
        convert_(std::move(convert)),
        done_(std::move(done)) {}

  std::function<void()> TakeCallback() override {
    return [done = std::move(done_), result = TakeResult()]() mutable { done(std::move(result)); };
  }

 private:
  void Send(grpc::CompletionQueue& queue) override {
    reader_ = (channel_->stub.get()->*method_)(&context_, request_, &queue);
    reader_->StartCall();
    reader_->Finish(&reply_, &status_, this);
  }

  PeerResult<T> TakeResult() {
    if (failure_) return *failure_;
    if (!status_.ok()) return ToPeerFailure(context_, status_);
    return convert_(reply_);
  }

  Request request_;
  Method method_;
  Convert convert_;
  PeerClient::Callback<T> done_;
  Reader reader_;
  Reply reply_;
};

}  // namespace

class PeerClient::Impl {
 public:
  Impl(const Settings& settings, PostFunction post)
      : settings_(settings), post_(std::move(post)), thread_([this] { Run(); }) {}
  ~Impl();

  template <typename Request, typename Reply, typename T>
  void Start(const std::string& address, Millis timeout, Request request,
             typename TypedCall<Request, Reply, T>::Method method,
             std::function<PeerResult<T>(const Reply&)> convert, Callback<T> done) {
    std::optional<PeerFailure> refusal;
    if (request.ByteSizeLong() > settings_.max_request_bytes) {
      refusal = NotDelivered("the request exceeds " + std::to_string(settings_.max_request_bytes) +
                             " bytes");
    }
    std::shared_ptr<PeerChannel> channel;
    if (!refusal && (channel = AcquireChannel(address)) == nullptr) {
      refusal = NotDelivered("too many calls to the peer are in flight", true);
    }
    if (refusal) {
      post_([done = std::move(done), refusal] { done(*refusal); });
      return;
    }
    auto call = std::make_unique<TypedCall<Request, Reply, T>>(std::move(channel), timeout,
                                                               std::move(request), method,
                                                               std::move(convert), std::move(done));
    Begin(std::move(call));
  }

  void RemovePeer(const std::string& address) {
    const std::lock_guard lock(mutex_);
    channels_.erase(address);
  }

 private:
  // Returns the channel and counts one more call on it; null when its calls are at the limit.
  std::shared_ptr<PeerChannel> AcquireChannel(const std::string& address);
  void Begin(std::unique_ptr<PendingCall> call);
  void Advance(PendingCall* call);
  void Run();

  const Settings settings_;
  PostFunction post_;
  grpc::CompletionQueue queue_;
  std::mutex mutex_;
  bool stopping_ = false;
  std::map<std::string, std::shared_ptr<PeerChannel>> channels_;
  std::map<PendingCall*, std::unique_ptr<PendingCall>> calls_;
  std::thread thread_;
};

std::shared_ptr<PeerChannel> PeerClient::Impl::AcquireChannel(const std::string& address) {
  const std::lock_guard lock(mutex_);
  std::shared_ptr<PeerChannel>& channel = channels_[address];
  if (channel == nullptr) {
    channel = std::make_shared<PeerChannel>();
    channel->channel = grpc::CreateCustomChannel(address, grpc::InsecureChannelCredentials(),
                                                 ChannelArguments(settings_));
    channel->stub = peer::Peer::NewStub(channel->channel);
  }
  if (channel->calls >= settings_.max_calls_per_peer) return nullptr;
  ++channel->calls;
  return channel;
}

void PeerClient::Impl::Begin(std::unique_ptr<PendingCall> call) {
  PendingCall* const key = call.get();
  {
    const std::lock_guard lock(mutex_);
    calls_[key] = std::move(call);
  }
  Advance(key);
}

// Takes the step under the lock, so that none is started after the queue has been shut down.
void PeerClient::Impl::Advance(PendingCall* call) {
  std::unique_ptr<PendingCall> ended;
  {
    const std::lock_guard lock(mutex_);
    if (!call->Advance(queue_, stopping_)) return;
    const auto it = calls_.find(call);
    ended = std::move(it->second);
    calls_.erase(it);
    --ended->channel().calls;
  }
  post_(ended->TakeCallback());
}

void PeerClient::Impl::Run() {
  void* tag = nullptr;
  bool ok = false;
  while (queue_.Next(&tag, &ok)) Advance(static_cast<PendingCall*>(tag));
}

PeerClient::Impl::~Impl() {
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
    for (const auto& [key, call] : calls_) call->Cancel();
    queue_.Shutdown();
  }
  thread_.join();
}

PeerClient::PeerClient(const Settings& settings, PostFunction post)
    : impl_(std::make_unique<Impl>(settings, std::move(post))) {}

PeerClient::~PeerClient() = default;

void PeerClient::Exchange(const std::string& address, const PeerReport& report, Millis timeout,
                          Callback<PeerReport> done) {
  peer::Report request;
  Encode(report, request);
  impl_->Start<peer::Report, peer::Report, PeerReport>(
      address, timeout, std::move(request), &peer::Peer::Stub::PrepareAsyncExchange,
      [](const peer::Report& reply) { return Decode(reply); }, std::move(done));
}

void PeerClient::PushConfig(const std::string& address, const ConfigDelta& delta, Millis timeout,
                            Callback<ConfigVersion> done) {
  peer::ConfigDelta request;
  Encode(delta, request);
  impl_->Start<peer::ConfigDelta, peer::ConfigAck, ConfigVersion>(
      address, timeout, std::move(request), &peer::Peer::Stub::PrepareAsyncPushConfig,
      [](const peer::ConfigAck& reply) { return ConfigVersion(reply.version()); }, std::move(done));
}

void PeerClient::PullConfig(const std::string& address, ConfigVersion after, Millis timeout,
                            Callback<ConfigDelta> done) {
  peer::ConfigQuery request;
  request.set_after(after.count());
  impl_->Start<peer::ConfigQuery, peer::ConfigDelta, ConfigDelta>(
      address, timeout, std::move(request), &peer::Peer::Stub::PrepareAsyncPullConfig,
      [](const peer::ConfigDelta& reply) -> PeerResult<ConfigDelta> {
        auto delta = Decode(reply);
        if (!delta) return PeerFailure{Delivery::kUnknown, false, delta.error().message};
        return std::move(delta.value());
      },
      std::move(done));
}

void PeerClient::Forward(const std::string& address, const ForwardCall& call, Millis timeout,
                         Callback<ForwardReply> done) {
  peer::ForwardRequest request;
  Encode(call, request);
  impl_->Start<peer::ForwardRequest, peer::ForwardReply, ForwardReply>(
      address, timeout, std::move(request), &peer::Peer::Stub::PrepareAsyncForward,
      [](const peer::ForwardReply& reply) { return Decode(reply); }, std::move(done));
}

void PeerClient::Claim(const std::string& address, const ClaimCall& call, Millis timeout,
                       Callback<ClaimReply> done) {
  peer::ClaimRequest request;
  Encode(call, request);
  impl_->Start<peer::ClaimRequest, peer::ClaimReply, ClaimReply>(
      address, timeout, std::move(request), &peer::Peer::Stub::PrepareAsyncClaim,
      [](const peer::ClaimReply& reply) { return Decode(reply); }, std::move(done));
}

void PeerClient::RecordOutcome(const std::string& address, const OutcomeCall& call, Millis timeout,
                               Callback<void> done) {
  peer::OutcomeRequest request;
  Encode(call, request);
  impl_->Start<peer::OutcomeRequest, peer::OutcomeReply, void>(
      address, timeout, std::move(request), &peer::Peer::Stub::PrepareAsyncRecordOutcome,
      [](const peer::OutcomeReply&) -> PeerResult<void> { return boost::outcome_v2::success(); },
      std::move(done));
}

void PeerClient::RemovePeer(const std::string& address) { impl_->RemovePeer(address); }

}  // namespace sapphirewheel
