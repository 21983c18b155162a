#pragma once

#include <atomic>
#include <boost/json/object.hpp>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "tests/standins/http.h"

namespace sapphirewheel::testing {

// The addresses of the entry VMs that callers use. Thread-safe.
class EntryList {
 public:
  void Set(std::map<std::string, std::string> addresses);
  [[nodiscard]] std::string Any(std::mt19937_64& random) const;
  [[nodiscard]] std::vector<std::string> All() const;

 private:
  mutable std::mutex mutex_;
  std::vector<std::string> addresses_;
};

struct SoakTeam {
  std::string name;
  std::int64_t limit = 0;
  std::string token;
};

// One attempt of a caller to send a request. Times are on the monotonic clock, in microseconds.
struct Attempt {
  std::int64_t sent_us = 0;
  std::int64_t answered_us = 0;
  // Status of the response, or 0 without one. `run` and `code` are its fields of these names, or
  // empty.
  int status = 0;
  std::string run;
  std::string code;
};

struct SentRequest {
  bool repeatable = false;
  std::vector<Attempt> attempts;
};

struct SentJob {
  std::string id;
  std::string echo;
  std::string token;
};

// The record of the callers. Violations that are evident from a single response are added
// immediately.
struct CallerLog {
  std::map<std::string, SentRequest> requests;
  std::vector<SentJob> jobs;
  std::vector<std::string> violations;
  std::int64_t config_reads = 0;
};

// Runs callers of all teams, changes to the configuration and an observer of its version, on
// threads of their own. Callers use a random entry VM for each attempt and repeat a request with
// the same Idempotency-Key until it gets status 200 or its attempts are used up.
class SoakLoad {
 public:
  SoakLoad(const EntryList& entries, std::vector<SoakTeam> teams, std::uint64_t seed);
  ~SoakLoad();
  SoakLoad(const SoakLoad&) = delete;
  SoakLoad& operator=(const SoakLoad&) = delete;

  // True once a violation was added.
  [[nodiscard]] bool Violated() const { return violated_; }
  // Ends the load, waits for pending calls and returns the log.
  CallerLog Finish();

 private:
  void RequestLoop(const SoakTeam& team, const std::string& name, std::uint64_t seed);
  void JobLoop(const SoakTeam& team, const std::string& name, std::uint64_t seed);
  void ObserveLoop(std::uint64_t seed);
  void ChangeLoop(std::uint64_t seed);
  void SendOne(const SoakTeam& team, const std::string& id, std::mt19937_64& random);
  void SubmitOne(const SoakTeam& team, const std::string& id, std::mt19937_64& random);
  // Waits for `time`; false as soon as the load ends.
  [[nodiscard]] bool Pause(std::chrono::milliseconds time);
  void AddViolation(const std::string& text);

  const EntryList& entries_;
  std::vector<SoakTeam> teams_;
  std::mutex mutex_;
  std::condition_variable ended_;
  bool stop_ = false;
  std::atomic<bool> violated_{false};
  CallerLog log_;
  std::vector<std::thread> threads_;
};

}  // namespace sapphirewheel::testing
