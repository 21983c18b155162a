#include "api_client.h"

#include <future>

namespace sapphirewheel {

ApiClient::ApiClient(std::vector<Endpoint> daemons, std::string token, Millis timeout)
    : daemons_(std::move(daemons)),
      token_(std::move(token)),
      timeout_(timeout),
      client_(HttpClient::Settings{}) {}

HttpResult ApiClient::CallOne(const Endpoint& daemon, const ApiCall& call) {
  HttpCall http;
  http.to = daemon;
  http.method = call.method;
  http.target = call.target;
  http.headers = call.headers;
  if (!token_.empty()) http.headers.emplace_back("Authorization", "Bearer " + token_);
  http.body = call.body;
  http.deadline = timeout_;
  http.reuse = ConnectionReuse::kNone;
  std::promise<HttpResult> promise;
  auto future = promise.get_future();
  client_.Call(std::move(http),
               [&promise](HttpResult result) { promise.set_value(std::move(result)); });
  return future.get();
}

Result<HttpResult> ApiClient::Call(const ApiCall& call) {
  std::string reasons;
  for (const Endpoint& daemon : daemons_) {
    HttpResult result = CallOne(daemon, call);
    if (result.outcome == HttpOutcome::kComplete) return result;
    reasons += (reasons.empty() ? "" : "; ") + daemon.str() + ": " + result.reason;
    if (result.outcome == HttpOutcome::kIncomplete && !call.idempotent) {
      return Error{ErrorKind::kOutcomeUnknown, "the response was lost (" + reasons + ")",
                   "check with `status` whether it took effect", RunState::kUnknown, std::nullopt};
    }
  }
  return Error{ErrorKind::kNoCapacity, "no daemon answered (" + reasons + ")",
               "check --daemon and the network", RunState::kNotRun, std::nullopt};
}

}  // namespace sapphirewheel
