#pragma once

#include <boost/json/object.hpp>
#include <map>
#include <string>
#include <vector>

#include "tests/integration/soak_load.h"

namespace sapphirewheel::testing {

// Counts of what the checks examined, to show that they had something to check.
struct CheckCounts {
  std::int64_t requests = 0, answered = 0, not_run = 0, starts = 0, jobs = 0, vm_writes = 0;
  // Responses `not-run` to a repetition of a request that an earlier attempt had started. They are
  // true of the attempt, but not of the request.
  std::int64_t not_run_after_start = 0;
  std::map<std::string, std::int64_t> peak_slots;
};

// Each check adds a text with evidence for each violation. `events` are the events of the workers,
// ordered by time, `log` is the record of the callers, and `transactions` are those that the
// platform committed.

// A request that may not be repeated starts at most once on workers.
void CheckStartsOnce(const CallerLog& log, const std::vector<boost::json::object>& events,
                     std::vector<std::string>& violations, CheckCounts& counts);
// While all responses to a request so far are `not-run`, the request does not start before its next
// attempt is sent.
void CheckNotRun(const CallerLog& log, const std::vector<boost::json::object>& events,
                 std::vector<std::string>& violations, CheckCounts& counts);
// The slots that a team uses at the same time stay within its limit.
void CheckLimits(const std::vector<SoakTeam>& teams, const std::vector<boost::json::object>& events,
                 std::vector<std::string>& violations, CheckCounts& counts);
// No worker runs tasks of two pools at the same time. Tasks are told apart by service, as each
// service belongs to one pool.
void CheckWorkerPools(const std::vector<boost::json::object>& events,
                      std::vector<std::string>& violations);
// Every committed write of a VM row names a known pool or none, and checks the revision of the row
// that it replaces.
void CheckVmRows(const std::vector<boost::json::object>& transactions,
                 const std::vector<std::string>& pools, std::vector<std::string>& violations,
                 CheckCounts& counts);

}  // namespace sapphirewheel::testing
