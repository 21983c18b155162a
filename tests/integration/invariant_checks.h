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

// One call of a caller. `request` names this call alone ("KEY/N"), so that a start on a worker can
// be attributed to the call; calls of the same key share the Idempotency-Key.
struct CallerCall {
  std::string key;
  std::string request;
  // The text that the backend server sends back.
  std::string echo;
  bool repeatable = false;
  std::string vm;
  HttpOutcome outcome;
  // "not-run", "unknown" or "done" of a problem document, else empty.
  std::string run;
};

struct CallOptions {
  bool repeatable = false;
  int run_ms = 20;
  int deadline_ms = 3000;
  // Added to the text that the backend server sends back.
  std::size_t padding = 0;
};

// Service "blend" for callers without a key, in one pool that holds all workers. Returns false when
// some daemon did not serve a repeatable request within the time limit.
[[nodiscard]] bool OpenService(Fleet& fleet, int workers, int max_out = 2,
                               int max_out_per_rack = 1);

// Flags with short polling intervals, so that a test can see a change take effect in time.
[[nodiscard]] FleetOptions QuickFleet();

// Sends one request; `n` counts the calls of this key. Thread-safe when `address` is a copy.
[[nodiscard]] CallerCall CallOnce(const std::string& vm, const std::string& address,
                                  const std::string& key, int n, const CallOptions& options);

// A caller that sends its requests one after the other over one connection.
class KeptConnection {
 public:
  explicit KeptConnection(std::string address);
  ~KeptConnection();
  KeptConnection(const KeptConnection&) = delete;
  KeptConnection& operator=(const KeptConnection&) = delete;

  // As CallOnce; connects at the first call.
  CallerCall Call(const std::string& vm, const std::string& key, int n, const CallOptions& options);
  // False once the connection failed or the server announced its end with an answer.
  [[nodiscard]] bool open() const;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

// Callers on their own threads. Each repeats a key until it gets an answer other than "not-run" or
// a broken connection, then takes a new one, and changes the daemon with each call.
class CallerLoad {
 public:
  // `prefix` begins all keys. Call options may differ by key.
  CallerLoad(const Fleet& fleet, std::string prefix, int threads,
             std::function<CallOptions(int)> options);
  ~CallerLoad();
  CallerLoad(const CallerLoad&) = delete;
  CallerLoad& operator=(const CallerLoad&) = delete;

  // Waits until `n` more calls ended with status 200; false after `timeout`.
  [[nodiscard]] bool AwaitServed(std::size_t n, std::chrono::milliseconds timeout);
  // Ends the load after the calls under way.
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

// Each checker returns the violations, one a line; empty when there are none.

// I8: no key of a call that may not be repeated starts twice on workers.
[[nodiscard]] std::string CheckAtMostOnce(const std::vector<CallerCall>& calls,
                                          const std::vector<boost::json::object>& events);
// I7: no call that was answered "not-run" started on a worker.
[[nodiscard]] std::string CheckNotRun(const std::vector<CallerCall>& calls,
                                      const std::vector<boost::json::object>& events);
// I6: each answer with status 200 is the whole echo of a call of the same key.
[[nodiscard]] std::string CheckEchoes(const std::vector<CallerCall>& calls);
// I10: no connection broke after it had been established.
[[nodiscard]] std::string CheckNoBrokenCall(const std::vector<CallerCall>& calls);
// I10: no call that was not cut short by a fault ended as "unknown".
[[nodiscard]] std::string CheckNoneUnknown(const std::vector<CallerCall>& calls);

// I2: each row of table `vms` names one pool, and every transaction that writes the pool of an
// existing row checks the revision that the row had.
[[nodiscard]] std::string CheckVmRows(const std::vector<boost::json::object>& transactions);
// The pool of each VM after all transactions.
[[nodiscard]] std::map<std::string, std::string> PoolsOf(
    const std::vector<boost::json::object>& transactions);

// I1: while a wave holds a VM, never more VMs than the budget are out, in total and per data
// centre, which is one rack in the fleets of these tests. A VM is out while its row is not active
// or a wave holds it, and while its process is down.
[[nodiscard]] std::string CheckOutage(const std::vector<boost::json::object>& transactions,
                                      const std::vector<boost::json::object>& events,
                                      std::int64_t max_out, std::int64_t max_out_per_rack);

// Counts of outcomes, for reports: "200 x 12, not-run x 3, connection x 1".
[[nodiscard]] std::string Summary(const std::vector<CallerCall>& calls);
[[nodiscard]] std::size_t CountRun(const std::vector<CallerCall>& calls, const std::string& run);

}  // namespace sapphirewheel::testing
