#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <string_view>
#include <vector>

#include "tests/standins/http.h"

namespace sapphirewheel::testing {

using MonotonicClock = std::chrono::steady_clock;

// Monotonic time in microseconds; comparable between the processes of one machine.
std::int64_t MonotonicMicros();

// Raises the limit of open files to the permitted maximum and runs until SIGTERM or SIGINT.
void RunUntilSignal(boost::asio::io_context& io);

// Prints "listening NAME ip:port" and flushes.
void AnnounceListening(const std::string& name, const std::string& address);

// Calls `action` on the thread of `io` after `delay`, at once when it is 0.
void After(boost::asio::io_context& io, std::chrono::milliseconds delay,
           std::function<void()> action);

HttpResponse JsonResponse(int status, const boost::json::object& body);

// Runs a control handler on the JSON body of a request; a malformed body or an exception (for
// example an unknown operation) gives 400 with the reason.
HttpResponse HandleControl(
    const HttpRequest& request,
    const std::function<boost::json::object(const boost::json::object&)>& handler);

// Parses a JSON object, or takes a text field of one. Both throw when the input is not as expected.
boost::json::object ParseOrThrow(const std::string& text);
std::string TextOrThrow(const boost::json::object& object, const char* name);

// Replaces %XX by the character.
std::string PercentDecode(std::string_view text);

// Decides which events an injected fault strikes.
class FaultChance {
 public:
  // Fields: "next" (strikes that many events) or "probability" with "seed"; neither ends the fault.
  void Set(const boost::json::object& fields);
  [[nodiscard]] bool Strikes();

 private:
  std::int64_t next_ = 0;
  double probability_ = 0;
  std::mt19937_64 random_;
};

// Admits `rate` units a second with a burst of one second.
class TokenBucket {
 public:
  explicit TokenBucket(double rate) { SetRate(rate); }
  void SetRate(double rate);
  [[nodiscard]] bool Take(double units);

 private:
  double rate_ = 0;
  double tokens_ = 0;
  MonotonicClock::time_point filled_;
};

// What workers saw, for checkers. Shared by all workers of a process.
class EventLog {
 public:
  // Adds `at_us` and the sequence number.
  void Add(boost::json::object event);
  // Events from sequence number `after` on, at most `limit`, with "next" for the following call.
  [[nodiscard]] boost::json::object Show(std::size_t after, std::size_t limit) const;

 private:
  // Serialised: a parsed event takes several times the memory.
  std::vector<std::string> events_;
};

}  // namespace sapphirewheel::testing
