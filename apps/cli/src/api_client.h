#pragma once

#include <string>
#include <utility>
#include <vector>

#include "sapphirewheel/state/error.h"
#include "sapphirewheel/transport/http_client.h"

namespace sapphirewheel {

struct ApiCall {
  std::string method = "GET";
  std::string target;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;
  // Whether the call may be sent to another daemon when it is unknown whether the first one ran it.
  bool idempotent = true;
};

// Calls the HTTP API of the first daemon of a list that responds. After a call without a complete
// response, the next daemon is tried only when the call cannot take effect twice.
class ApiClient {
 public:
  ApiClient(std::vector<Endpoint> daemons, std::string token, Millis timeout);

  // Returns the first complete response. Errors: kNoCapacity when no daemon responded (not run),
  // kOutcomeUnknown when a call that is not idempotent may have taken effect.
  [[nodiscard]] Result<HttpResult> Call(const ApiCall& call);

 private:
  [[nodiscard]] HttpResult CallOne(const Endpoint& daemon, const ApiCall& call);

  std::vector<Endpoint> daemons_;
  std::string token_;
  Millis timeout_;
  HttpClient client_;
};

}  // namespace sapphirewheel
