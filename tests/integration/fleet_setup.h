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

// Names that SetUpTeam uses.
inline constexpr const char* kService = "blend";
inline constexpr const char* kTeam = "brewers";

// Two data centres with `entries` entry VMs and `workers` workers each. The time limits are short,
// so that a lost daemon is detected within seconds.
FleetOptions SmallFleet(int entries, int workers);

boost::json::object TeamIntent(const std::string& team, std::int64_t upper_limit);

// Applies an intent and returns the confirmed version. Throws std::runtime_error when refused.
std::int64_t ApplyOrThrow(Fleet& fleet, const std::string& vm, const boost::json::object& intent);

// Grants a key and returns its bearer token. Throws std::runtime_error when refused.
std::string GrantKey(Fleet& fleet, const std::string& vm, const std::string& key,
                     const std::string& team, std::int64_t grace_ms = 0);

// Waits until every daemon is ready, creates a pool of all `workers` that runs kService, the team
// kTeam and a key for it, and waits until every entry VM serves a request with the key. Returns the
// key's bearer token. Throws std::runtime_error when a wait takes longer than 30 s.
std::string SetUpTeam(Fleet& fleet, int workers, std::int64_t upper_limit);

// A repeatable request to kService with a bearer token, or without one when `token` is empty.
HttpRequest ServiceCall(const std::string& token, const boost::json::object& body,
                        std::chrono::milliseconds deadline = std::chrono::seconds(5));

// Partitions a data centre from the platform and from the other data centre, in both directions.
// Its daemons still reach its workers. HealPartition ends the partition.
void PartitionDataCentre(const Fleet& fleet, int data_centre);
void HealPartition(const Fleet& fleet);

// Callers on threads of their own that send requests to one daemon until they are stopped.
class RequestLoad {
 public:
  RequestLoad(const Fleet& fleet, const std::string& vm, const std::string& token,
              const boost::json::object& body, int callers);
  ~RequestLoad();
  RequestLoad(const RequestLoad&) = delete;
  RequestLoad& operator=(const RequestLoad&) = delete;

  void Stop();
  // Number of calls by HTTP status; 0 stands for calls without a response.
  [[nodiscard]] std::map<int, int> StatusCounts() const;

 private:
  void Run(const std::string& address, const HttpRequest& request);

  std::atomic<bool> stopped_{false};
  mutable std::mutex mutex_;
  std::map<int, int> status_counts_;
  std::vector<std::thread> callers_;
};

// Slots in use by a team at the start of one of its tasks, including that task.
struct SlotsAtStart {
  std::int64_t at_us = 0;
  std::int64_t slots = 0;
};
// The slots in use at each start of a task of the team, by the event logs of the workers.
std::vector<SlotsAtStart> RunningSlots(const Fleet& fleet, const std::string& team);
// The highest of these values from `from_us` on; 0 when no task started.
std::int64_t PeakSlots(const Fleet& fleet, const std::string& team, std::int64_t from_us = 0);

// Number of tasks that workers started for requests with the given "id" in the body.
int StartsOf(const Fleet& fleet, const std::string& request);

}  // namespace sapphirewheel::testing
