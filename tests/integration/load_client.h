#pragma once

#include <memory>
#include <string>

#include "tests/standins/http.h"

namespace sapphirewheel::testing {

// A caller with one persistent connection. Calls block and have no time limit of their own, so
// requests carry a deadline. Not thread-safe.
class LoadClient {
 public:
  // Connects at once. Throws boost::system::system_error when the target refuses.
  explicit LoadClient(HttpTarget target);
  ~LoadClient();
  LoadClient(const LoadClient&) = delete;
  LoadClient& operator=(const LoadClient&) = delete;

  // Connects again when the server has closed the connection. Throws boost::system::system_error.
  HttpResponse Call(const HttpRequest& request);

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace sapphirewheel::testing
