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

// Monotonic time in microseconds; comparable between processes on one machine.
std::int64_t MonotonicMicros();

// Raises the limit on open files to the hard limit and runs `io` until SIGTERM or SIGINT.
void RunUntilSignal(boost::asio::io_context& io);

// Prints "listening NAME ip:port" to standard output and flushes it.
void AnnounceListening(const std::string& name, const std::string& address);

// Calls `action` on the thread of `io` after `delay`, or immediately when `delay` is not positive.
void After(boost::asio::io_context& io, std::chrono::milliseconds delay,
           std::function<void()> action);

HttpResponse JsonResponse(int status, const boost::json::object& body);

// Calls `handler` with the JSON body of a control request. A malformed body or an exception, such
// as for an unknown operation, results in status 400 with the reason.
HttpResponse HandleControl(
    const HttpRequest& request,
    const std::function<boost::json::object(const boost::json::object&)>& handler);

// Parse a JSON object, and return a string field of one. Both throw on unexpected input.
boost::json::object ParseOrThrow(const std::string& text);
std::string TextOrThrow(const boost::json::object& object, const char* name);

// Decodes %XX sequences.
std::string PercentDecode(std::string_view text);

// Decides to which events an injected fault applies.
class FaultTrigger {
 public:
  // Fields: "next" (the number of following events with the fault) or "probability" with "seed".
  // Without either, the fault ends.
  void Set(const boost::json::object& fields);
  [[nodiscard]] bool Fires();

 private:
  std::int64_t next_ = 0;
  double probability_ = 0;
  std::mt19937_64 random_;
};

// Admits `rate` units per second, with a burst of up to one second's units.
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

// Log of worker events that the checks of tests read. Shared by all workers of a process.
class EventLog {
 public:
  // Adds the fields "at_us" and "seq" (the sequence number) to the event.
  void Add(boost::json::object event);
  // Returns at most `limit` events from sequence number `after` on; "next" is the `after` of the
  // following call.
  [[nodiscard]] boost::json::object Show(std::size_t after, std::size_t limit) const;

 private:
  // Serialised, because a parsed event takes several times the memory.
  std::vector<std::string> events_;
};

}  // namespace sapphirewheel::testing
