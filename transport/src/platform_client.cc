#include "sapphirewheel/transport/platform_client.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <utility>

#include "platform_codec.h"
#include "sapphirewheel/transport/http_client.h"

namespace sapphirewheel {
namespace {

constexpr Millis kInitialBackoff{50};
constexpr Millis kMaxBackoff{500};
constexpr Millis kRetryAfter{1000};

enum Status {
  kOk = 200,
  kAccepted = 202,
  kNotFound = 404,
  kConflict = 409,
  kTooManyRequests = 429
};
constexpr int kServiceUnavailable = 503;

Error Unavailable(std::string message, RunState run) {
  return Error{ErrorKind::kPlatformUnavailable, std::move(message), "retry later", run,
               kRetryAfter};
}

bool IsRefusal(const HttpResult& result) {
  return result.outcome == HttpOutcome::kNotSent ||
         (result.outcome == HttpOutcome::kComplete &&
          (result.status == kTooManyRequests || result.status == kServiceUnavailable));
}

std::string Describe(const HttpResult& result) {
  if (result.outcome != HttpOutcome::kComplete) return "the platform call failed: " + result.reason;
  return "the platform responded with status " + std::to_string(result.status);
}

}  // namespace

struct PlatformClient::Impl {
  Impl(Settings given, Post given_post)
      : settings(std::move(given)), post(std::move(given_post)), client(ClientSettings(settings)) {}

  static HttpClient::Settings ClientSettings(const Settings& settings) {
    HttpClient::Settings out;
    out.connect_timeout = std::min(out.connect_timeout, settings.call_timeout);
    out.proxy = settings.proxy;
    return out;
  }

  // Counts a new call; returns false when no more may start. The caller ends it with Finish().
  bool Begin();
  void Finish(std::function<void()> callback);
  HttpCall NewCall(std::string method, std::string target, std::string body);

  struct PendingTransaction;
  void Transact(Transaction transaction, TransactCallback done);
  void SendTransaction(const std::shared_ptr<PendingTransaction>& pending);
  void HandleTransactResponse(const std::shared_ptr<PendingTransaction>& pending,
                              const HttpResult& result);
  void RetryTransaction(const std::shared_ptr<PendingTransaction>& pending);
  void EndTransaction(const std::shared_ptr<PendingTransaction>& pending, TransactResult result);

  // Takes a final response, or returns false to try the next endpoint.
  using Accept = std::function<bool(const HttpResult&)>;
  using Fail = std::function<void(Error)>;
  struct RetriedCall;
  void CallWithRetries(HttpCall call, bool repeatable, Accept accept, Fail fail);
  void SendRetried(const std::shared_ptr<RetriedCall>& retried);

  template <typename T>
  void Execute(HttpCall&& call, bool repeatable,
               std::function<std::optional<Result<T>>(const HttpResult&)> decode,
               std::function<void(Result<T>)> done);

  const Settings settings;
  const Post post;
  std::atomic<std::size_t> in_flight = 0;
  // Index, modulo the number of endpoints, of the endpoint that responded last; new calls start
  // there.
  std::atomic<std::size_t> current_endpoint = 0;
  HttpClient client;
};

// A transaction whose outcome is not final yet.
struct PlatformClient::Impl::PendingTransaction {
  Transaction transaction;
  std::string body;
  TransactCallback done;
  std::chrono::steady_clock::time_point deadline;
  Millis backoff = kInitialBackoff;
  // Endpoints that refused the transaction while it was certain not to have taken effect.
  std::size_t refusals = 0;
  // Whether an earlier try may have taken effect.
  bool uncertain = false;
};

// A call that is tried once at each endpoint, and at least twice in total.
struct PlatformClient::Impl::RetriedCall {
  HttpCall call;
  // Whether the call may be sent again when an earlier try may have taken effect.
  bool repeatable = true;
  Accept accept;
  Fail fail;
  std::size_t tries = 0;
  // Whether a try may have taken effect.
  bool maybe_applied = false;
};

bool PlatformClient::Impl::Begin() {
  if (settings.endpoints.empty()) return false;
  if (in_flight.fetch_add(1) < settings.max_in_flight) return true;
  --in_flight;
  return false;
}

void PlatformClient::Impl::Finish(std::function<void()> callback) {
  --in_flight;
  post(std::move(callback));
}

HttpCall PlatformClient::Impl::NewCall(std::string method, std::string target, std::string body) {
  HttpCall call;
  if (!settings.endpoints.empty()) {
    call.to = settings.endpoints[current_endpoint % settings.endpoints.size()];
  }
  call.method = std::move(method);
  call.target = std::move(target);
  if (!body.empty()) call.headers.emplace_back("Content-Type", "application/json");
  call.body = std::move(body);
  call.deadline = settings.call_timeout;
  return call;
}

void PlatformClient::Impl::Transact(Transaction transaction, TransactCallback done) {
  if (!Begin()) {
    TransactResult refused;
    refused.outcome = TransactOutcome::kUnavailable;
    post([done = std::move(done), refused] { done(refused); });
    return;
  }
  auto pending = std::make_shared<PendingTransaction>();
  pending->body = EncodeTransaction(transaction);
  pending->transaction = std::move(transaction);
  pending->done = std::move(done);
  pending->deadline = std::chrono::steady_clock::now() + settings.settle_deadline;
  SendTransaction(pending);
}

void PlatformClient::Impl::SendTransaction(const std::shared_ptr<PendingTransaction>& pending) {
  client.Call(
      NewCall("POST", "/v1/transact", pending->body),
      [this, pending](const HttpResult& result) { HandleTransactResponse(pending, result); });
}

void PlatformClient::Impl::HandleTransactResponse(
    const std::shared_ptr<PendingTransaction>& pending, const HttpResult& result) {
  const bool complete = result.outcome == HttpOutcome::kComplete;
  TransactResult outcome;
  if (complete && result.status == kOk) {
    if (const auto revision = DecodeCommitted(result.body)) {
      outcome.outcome = TransactOutcome::kCommitted;
      outcome.revision = *revision;
      return EndTransaction(pending, std::move(outcome));
    }
  }
  if (complete && result.status == kConflict) {
    if (auto rows = DecodeRows(result.body, "current")) {
      return EndTransaction(
          pending, ClassifyConflict(pending->transaction, std::move(*rows), pending->uncertain));
    }
  }
  if (!pending->uncertain && IsRefusal(result)) {
    const bool endpoints_left = ++pending->refusals < settings.endpoints.size();
    if (!endpoints_left || client.stopping()) {
      outcome.outcome = TransactOutcome::kUnavailable;
      return EndTransaction(pending, std::move(outcome));
    }
    ++current_endpoint;
    return SendTransaction(pending);
  }
  pending->uncertain = true;
  ++current_endpoint;
  RetryTransaction(pending);
}

void PlatformClient::Impl::RetryTransaction(const std::shared_ptr<PendingTransaction>& pending) {
  const auto now = std::chrono::steady_clock::now();
  if (client.stopping() || now + pending->backoff >= pending->deadline) {
    return EndTransaction(pending, TransactResult{});
  }
  const Millis backoff = pending->backoff;
  pending->backoff = std::min(pending->backoff * 2, kMaxBackoff);
  client.After(backoff, [this, pending] { SendTransaction(pending); });
}

void PlatformClient::Impl::EndTransaction(const std::shared_ptr<PendingTransaction>& pending,
                                          TransactResult result) {
  Finish([done = std::move(pending->done), result = std::move(result)]() mutable {
    done(std::move(result));
  });
}

void PlatformClient::Impl::CallWithRetries(HttpCall call, bool repeatable, Accept accept,
                                           Fail fail) {
  auto retried = std::make_shared<RetriedCall>();
  retried->call = std::move(call);
  retried->repeatable = repeatable;
  retried->accept = std::move(accept);
  retried->fail = std::move(fail);
  SendRetried(retried);
}

void PlatformClient::Impl::SendRetried(const std::shared_ptr<RetriedCall>& retried) {
  client.Call(retried->call, [this, retried](const HttpResult& result) {
    constexpr std::size_t kMinTries = 2;
    if (result.outcome == HttpOutcome::kComplete && retried->accept(result)) return;
    if (!IsRefusal(result)) retried->maybe_applied = true;
    const std::size_t max_tries = std::max(kMinTries, settings.endpoints.size());
    const bool must_not_repeat = retried->maybe_applied && !retried->repeatable;
    if (++retried->tries >= max_tries || must_not_repeat || client.stopping()) {
      const RunState run = retried->maybe_applied ? RunState::kUnknown : RunState::kNotRun;
      return retried->fail(Unavailable(Describe(result), run));
    }
    retried->call.to = settings.endpoints[++current_endpoint % settings.endpoints.size()];
    SendRetried(retried);
  });
}

template <typename T>
void PlatformClient::Impl::Execute(
    HttpCall&& call, bool repeatable,
    std::function<std::optional<Result<T>>(const HttpResult&)> decode,
    std::function<void(Result<T>)> done) {
  if (!Begin()) {
    post([done = std::move(done)] {
      done(Unavailable("too many platform calls are in progress", RunState::kNotRun));
    });
    return;
  }
  const auto finish = [this, done](Result<T> result) {
    Finish([done, result = std::move(result)]() mutable { done(std::move(result)); });
  };
  CallWithRetries(
      std::move(call), repeatable,
      [finish, decode = std::move(decode)](const HttpResult& result) {
        auto decoded = decode(result);
        if (decoded) finish(std::move(*decoded));
        return decoded.has_value();
      },
      [finish](Error error) { finish(Result<T>(std::move(error))); });
}

namespace {

using RowsResult = Result<std::vector<Row>>;

// Decodes the rows of a response. The result is empty, for another try, when the response is not
// valid or fails the check.
std::function<std::optional<RowsResult>(const HttpResult&)> RowsDecoder(
    std::function<bool(const std::vector<Row>&)> check) {
  return [check = std::move(check)](const HttpResult& result) -> std::optional<RowsResult> {
    if (result.status != kOk) return std::nullopt;
    auto rows = DecodeRows(result.body, "rows");
    if (!rows || !check(*rows)) return std::nullopt;
    return RowsResult(std::move(*rows));
  };
}

std::optional<Result<void>> DecodeDone(const HttpResult& result) {
  if (result.status == kOk || result.status == kAccepted) {
    return Result<void>(boost::outcome_v2::success());
  }
  if (result.status != kNotFound) return std::nullopt;
  return Result<void>(Error{ErrorKind::kNotFound, "the platform does not know the object or VM",
                            "check the name", RunState::kNotRun, std::nullopt});
}

std::optional<Result<std::string>> DecodeObject(const HttpResult& result) {
  if (result.status == kOk) return Result<std::string>(result.body);
  if (result.status != kNotFound) return std::nullopt;
  return Result<std::string>(Error{ErrorKind::kNotFound, "no such object", "check its name",
                                   RunState::kNotRun, std::nullopt});
}

std::optional<Result<VmList>> DecodeList(const HttpResult& result) {
  if (result.status != kOk) return std::nullopt;
  auto list = DecodeVms(result.body);
  if (!list) return std::nullopt;
  return Result<VmList>(std::move(*list));
}

}  // namespace

PlatformClient::PlatformClient(Settings settings, Post post)
    : impl_(std::make_unique<Impl>(std::move(settings), std::move(post))) {}

PlatformClient::~PlatformClient() { Stop(); }

TableHooks PlatformClient::hooks() {
  TableHooks hooks;
  Impl* impl = impl_.get();
  hooks.transact = [impl](Transaction transaction, TransactCallback done) {
    impl->Transact(std::move(transaction), std::move(done));
  };
  hooks.read = [impl](std::vector<RowKey> keys, ReadCallback done) {
    HttpCall call = impl->NewCall("POST", "/v1/read", EncodeRead(keys));
    impl->Execute<std::vector<Row>>(
        std::move(call), true, RowsDecoder([keys = std::move(keys)](const std::vector<Row>& rows) {
          return MatchesRead(keys, rows);
        }),
        std::move(done));
  };
  hooks.scan = [impl](const ScanRequest& request, ScanCallback done) {
    impl->Execute<std::vector<Row>>(
        impl->NewCall("POST", "/v1/scan", EncodeScan(request)), true,
        RowsDecoder([request](const std::vector<Row>& rows) { return MatchesScan(request, rows); }),
        std::move(done));
  };
  hooks.put_object = [impl](const std::string& name, std::string bytes, DoneCallback done) {
    impl->Execute<void>(impl->NewCall("PUT", "/v1/objects/" + EncodePath(name), std::move(bytes)),
                        true, DecodeDone, std::move(done));
  };
  hooks.get_object = [impl](const std::string& name, ObjectCallback done) {
    impl->Execute<std::string>(impl->NewCall("GET", "/v1/objects/" + EncodePath(name), ""), true,
                               DecodeObject, std::move(done));
  };
  return hooks;
}

void PlatformClient::ListVms(ListCallback done) {
  impl_->Execute<VmList>(impl_->NewCall("GET", "/v1/vms", ""), true, DecodeList, std::move(done));
}

void PlatformClient::Reboot(const VmId& vm, DoneCallback done) {
  // Not repeated once it may have been sent: a second reboot would stop the VM again after it has
  // come back.
  impl_->Execute<void>(impl_->NewCall("POST", "/v1/vms/" + EncodePath(vm.str()) + "/reboot", "{}"),
                       false, DecodeDone, std::move(done));
}

void PlatformClient::Stop() { impl_->client.Stop(); }

std::size_t PlatformClient::InFlight() const noexcept { return impl_->in_flight; }

}  // namespace sapphirewheel
