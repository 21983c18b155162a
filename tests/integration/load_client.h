#pragma once

#include <memory>
#include <string>

#include "tests/standins/http.h"

namespace sapphirewheel::testing {

// A blocking HTTP client with one persistent connection. Calls have no time limit of their own, so
// requests should carry a deadline. Not thread-safe.
class LoadClient {
 public:
  // Connects immediately. Throws boost::system::system_error when the connection fails, and
  // std::runtime_error when the proxy refuses it.
  explicit LoadClient(HttpTarget target);
  ~LoadClient();
  LoadClient(const LoadClient&) = delete;
  LoadClient& operator=(const LoadClient&) = delete;

  // Reconnects when the server has announced the end of the connection. Throws
  // boost::system::system_error on failure.
  HttpResponse Call(const HttpRequest& request);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace sapphirewheel::testing
