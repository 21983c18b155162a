#pragma once

#include <atomic>
#include <boost/json/object.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "tests/integration/fleet.h"

namespace sapphirewheel::testing {

// Names that SetUpTeam enters.
inline constexpr const char* kService = "blend";
inline constexpr const char* kTeam = "brewers";

// Two data centres with `entries` entry VMs and `workers` workers each, and time limits that let a
// test of a lost daemon end within seconds.
FleetOptions SmallFleet(int entries, int workers);

boost::json::object TeamIntent(const std::string& team, std::int64_t upper_limit);

// Applies an intent and returns the confirmed version. Throws std::runtime_error when refused.
std::int64_t ApplyOrThrow(Fleet& fleet, const std::string& vm, const boost::json::object& intent);

// Grants a key and returns its bearer token. Throws std::runtime_error when refused.
std::string GrantKey(Fleet& fleet, const std::string& vm, const std::string& key,
                     const std::string& team, std::int64_t grace_ms = 0);

// Waits until every daemon is ready, creates a pool of all `workers` that runs kService, the team
// kTeam and a key for it, and waits until every entry VM answers a request with the key. Returns
// the key's bearer token. Throws std::runtime_error when this takes longer than 30 s.
std::string SetUpTeam(Fleet& fleet, int workers, std::int64_t upper_limit);

// A repeatable request of kService with the given bearer token; an empty one sends none.
HttpRequest ServiceCall(const std::string& token, const boost::json::object& body,
                        std::chrono::milliseconds deadline = std::chrono::seconds(5));

// Cuts a data centre off from the platform and from the other one, in both directions; its daemons
// still reach its workers. Join removes the cut.
void CutOff(const Fleet& fleet, int data_centre);
void Join(const Fleet& fleet);

// Callers that send requests to one daemon until they are stopped.
class Load {
 public:
  Load(const Fleet& fleet, const std::string& vm, const std::string& token,
       const boost::json::object& body, int callers);
  ~Load();
  Load(const Load&) = delete;
  Load& operator=(const Load&) = delete;

  void Stop();
  // Answers by HTTP status; 0 counts calls without an answer.
  [[nodiscard]] std::map<int, int> Answers() const;

 private:
  void Run(const std::string& address, const HttpRequest& request);

  std::atomic<bool> stopped_{false};
  mutable std::mutex mutex_;
  std::map<int, int> answers_;
  std::vector<std::thread> callers_;
};

// Slots that a team ran according to workers, at each start of one of its tasks.
struct SlotsAtStart {
  std::int64_t at_us = 0;
  std::int64_t slots = 0;
};
std::vector<SlotsAtStart> RunningSlots(const Fleet& fleet, const std::string& team);
// The highest value from `from_us` on; 0 when no task started.
std::int64_t PeakSlots(const Fleet& fleet, const std::string& team, std::int64_t from_us = 0);

// Number of tasks that workers started for a request with the given "id" in its body.
int StartsOf(const Fleet& fleet, const std::string& request);

}  // namespace sapphirewheel::testing
