#pragma once

#include <boost/json/object.hpp>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/integration/fleet.h"

namespace sapphirewheel::testing {

// One call of a caller. `request` ("KEY/N") is unique to the call, so that the start of a task on a
// worker can be attributed to it. Calls with the same key share the Idempotency-Key.
struct CallerCall {
  std::string key;
  std::string request;
  // Text that the backend server returns in its response.
  std::string echo;
  bool repeatable = false;
  std::string vm;
  HttpOutcome outcome;
  // The field "run" of a problem document ("not-run", "unknown" or "done"), else empty.
  std::string run;
};

struct CallOptions {
  bool repeatable = false;
  int run_ms = 20;
  int deadline_ms = 3000;
  // Number of characters that are added to the text that the backend server returns.
  std::size_t padding = 0;
};

// Sets up service "blend" for callers without a key, in one pool of all workers. Returns false when
// a daemon does not serve a repeatable request within the time limit of 20 s.
[[nodiscard]] bool SetUpOpenService(Fleet& fleet, int workers, int max_out = 2,
                                    int max_out_per_rack = 1);

// A fleet with short polling intervals, so that changes take effect within the time limits of the
// tests.
[[nodiscard]] FleetOptions FastPollFleet();

// Sends one request; `n` is the number of the call for this key. Thread-safe when `address` is a
// copy.
[[nodiscard]] CallerCall CallOnce(const std::string& vm, const std::string& address,
                                  const std::string& key, int n, const CallOptions& options);

// A caller that sends its requests one after the other over one persistent connection.
class PersistentConnection {
 public:
  explicit PersistentConnection(std::string address);
  ~PersistentConnection();
  PersistentConnection(const PersistentConnection&) = delete;
  PersistentConnection& operator=(const PersistentConnection&) = delete;

  // As CallOnce. The first call establishes the connection.
  CallerCall Call(const std::string& vm, const std::string& key, int n, const CallOptions& options);
  // False once the connection has failed or a response of the server announced its end.
  [[nodiscard]] bool open() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

// Callers on threads of their own. Each repeats a key while the result is "not-run" or a broken
// connection, then uses a new key. Each call goes to the next daemon in turn.
class CallerLoad {
 public:
  // All keys begin with `prefix`. `options` returns the call options for the n-th key of a thread.
  CallerLoad(const Fleet& fleet, std::string prefix, int threads,
             std::function<CallOptions(int)> options);
  ~CallerLoad();
  CallerLoad(const CallerLoad&) = delete;
  CallerLoad& operator=(const CallerLoad&) = delete;

  // Waits until `n` more calls have ended with status 200; false after `timeout`.
  [[nodiscard]] bool AwaitServed(std::size_t n, std::chrono::milliseconds timeout);
  // Ends the load after the pending calls and returns all calls.
  std::vector<CallerCall> Finish();
  // The calls that have ended.
  [[nodiscard]] std::vector<CallerCall> Calls() const;

 private:
  void Run(int thread);
  void Record(CallerCall call);

  std::string prefix_;
  std::function<CallOptions(int)> options_;
  std::vector<std::pair<std::string, std::string>> daemons_;
  mutable std::mutex mutex_;
  bool stopping_ = false;
  std::vector<CallerCall> calls_;
  std::vector<std::thread> threads_;
};

// Each check returns the violations, one per line, or an empty string when there are none. I1 to
// I10 are the numbers of the invariants.

// I8: no key of a call that may not be repeated starts twice on workers.
[[nodiscard]] std::string CheckAtMostOnce(const std::vector<CallerCall>& calls,
                                          const std::vector<boost::json::object>& events);
// I7: no call with the result "not-run" started on a worker.
[[nodiscard]] std::string CheckNotRun(const std::vector<CallerCall>& calls,
                                      const std::vector<boost::json::object>& events);
// I6: each response with status 200 holds the complete echo of its call; a replayed response holds
// that of any call with the same key.
[[nodiscard]] std::string CheckEchoes(const std::vector<CallerCall>& calls);
// I10: no connection broke after it was established.
[[nodiscard]] std::string CheckNoBrokenCall(const std::vector<CallerCall>& calls);
// I10: no call ended as "unknown", except calls that a fault cut short, which have no response.
[[nodiscard]] std::string CheckNoneUnknown(const std::vector<CallerCall>& calls);

// I2: each row of table `vms` names one pool, and every transaction that writes the pool of an
// existing row checks the revision that the row had.
[[nodiscard]] std::string CheckVmRows(const std::vector<boost::json::object>& transactions);
// The pool of each VM after all transactions.
[[nodiscard]] std::map<std::string, std::string> PoolsOf(
    const std::vector<boost::json::object>& transactions);

// I1: the VMs that are out never exceed the budget, in total and per data centre, which is one rack
// in the fleets of these tests. A VM is out while its row is not in phase "active", while a wave
// holds it, and while its process is down.
[[nodiscard]] std::string CheckOutage(const std::vector<boost::json::object>& transactions,
                                      const std::vector<boost::json::object>& events,
                                      std::int64_t max_out, std::int64_t max_out_per_rack);

// Counts of outcomes, for reports: "200 x 12, 503 not-run x 3, broken x 1".
[[nodiscard]] std::string Summary(const std::vector<CallerCall>& calls);
// Number of calls with a response whose field "run" has the given value.
[[nodiscard]] std::size_t CountRun(const std::vector<CallerCall>& calls, const std::string& run);

}  // namespace sapphirewheel::testing
