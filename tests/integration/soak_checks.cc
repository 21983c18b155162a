#include "tests/integration/soak_checks.h"

#include <algorithm>
#include <boost/json.hpp>
#include <cstdint>
#include <limits>
#include <set>

#include "sapphirewheel/state/json.h"

namespace sapphirewheel::testing {
namespace {

namespace json = boost::json;
using Events = std::vector<json::object>;

constexpr std::int64_t kNever = std::numeric_limits<std::int64_t>::max();

bool IsStart(const json::object& event) { return TextField(event, "event") == "start"; }

// Starts of requests (not of jobs) by request id.
std::map<std::string, std::vector<const json::object*>> StartsByRequest(const Events& events) {
  std::map<std::string, std::vector<const json::object*>> starts;
  for (const auto& event : events) {
    if (!IsStart(event) || !TextField(event, "job").empty()) continue;
    starts[TextField(event, "request")].push_back(&event);
  }
  return starts;
}

std::string Describe(const SentRequest& sent) {
  std::string text = sent.repeatable ? "repeatable" : "not repeatable";
  for (const Attempt& it : sent.attempts) {
    text += "\n  attempt sent_us " + std::to_string(it.sent_us) + " answered_us " +
            std::to_string(it.answered_us) + " status " + std::to_string(it.status) + " " +
            it.code + " " + it.run;
  }
  return text;
}

std::string Describe(const std::vector<const json::object*>& events) {
  std::string text;
  for (const auto* event : events) text += "\n  " + json::serialize(*event);
  return text;
}

// Identifies a task in the log; task ids are unique within a boot of a worker.
std::string TaskKey(const json::object& event) {
  return TextField(event, "boot") + "/" + TextField(event, "task");
}

}  // namespace

void CheckStartsOnce(const CallerLog& log, const Events& events,
                     std::vector<std::string>& violations, CheckCounts& counts) {
  for (const auto& [id, starts] : StartsByRequest(events)) {
    counts.starts += static_cast<std::int64_t>(starts.size());
    const auto sent = log.requests.find(id);
    if (sent == log.requests.end() || sent->second.repeatable || starts.size() < 2) continue;
    violations.push_back("request " + id + " started " + std::to_string(starts.size()) +
                         " times: " + Describe(sent->second) + Describe(starts));
  }
}

void CheckNotRun(const CallerLog& log, const Events& events, std::vector<std::string>& violations,
                 CheckCounts& counts) {
  const auto starts = StartsByRequest(events);
  for (const auto& [id, sent] : log.requests) {
    ++counts.requests;
    const auto found = starts.find(id);
    const std::int64_t first =
        found == starts.end() ? kNever : IntField(*found->second.front(), "at_us");
    bool all_not_run = true;
    for (std::size_t n = 0; n < sent.attempts.size(); ++n) {
      const Attempt& attempt = sent.attempts[n];
      if (attempt.status == 200) ++counts.answered;
      if (attempt.run != "not-run") {
        all_not_run = false;
        continue;
      }
      ++counts.not_run;
      const bool last = n + 1 == sent.attempts.size();
      if (!all_not_run) {
        if (first < attempt.answered_us) ++counts.not_run_after_start;
      } else if (first < (last ? kNever : sent.attempts[n + 1].sent_us)) {
        violations.push_back("request " + id + " started although attempt " +
                             std::to_string(n + 1) + " was answered not-run: " + Describe(sent) +
                             Describe(found->second));
        break;
      }
    }
  }
}

void CheckLimits(const std::vector<SoakTeam>& teams, const Events& events,
                 std::vector<std::string>& violations, CheckCounts& counts) {
  std::map<std::string, std::int64_t> limits;
  for (const SoakTeam& team : teams) limits[team.name] = team.limit;
  std::map<std::string, std::map<std::string, const json::object*>> running;
  std::map<std::string, std::int64_t> used;
  std::set<std::string> reported;
  for (const auto& event : events) {
    const std::string kind = TextField(event, "event");
    if (kind != "start" && kind != "end") continue;
    const std::string team = TextField(event, "team");
    auto& tasks = running[team];
    if (kind == "end") {
      const auto it = tasks.find(TaskKey(event));
      if (it == tasks.end()) continue;
      used[team] -= IntField(*it->second, "slots");
      tasks.erase(it);
      continue;
    }
    if (!tasks.emplace(TaskKey(event), &event).second) continue;
    used[team] += IntField(event, "slots");
    counts.peak_slots[team] = std::max(counts.peak_slots[team], used[team]);
    if (used[team] <= limits[team] || !reported.insert(team).second) continue;
    std::vector<const json::object*> evidence;
    for (const auto& task : tasks) evidence.push_back(task.second);
    violations.push_back("team " + team + " ran " + std::to_string(used[team]) + " slots, limit " +
                         std::to_string(limits[team]) + ":" + Describe(evidence));
  }
}

void CheckWorkerPools(const Events& events, std::vector<std::string>& violations) {
  std::map<std::string, std::map<std::string, const json::object*>> running;
  for (const auto& event : events) {
    const std::string kind = TextField(event, "event");
    if (kind != "start" && kind != "end") continue;
    auto& tasks = running[TextField(event, "vm")];
    if (kind == "end") {
      tasks.erase(TaskKey(event));
      continue;
    }
    for (const auto& other : tasks) {
      if (TextField(*other.second, "service") == TextField(event, "service")) continue;
      violations.push_back("worker " + TextField(event, "vm") +
                           " ran tasks of two pools:" + Describe({other.second, &event}));
      return;
    }
    tasks[TaskKey(event)] = &event;
  }
}

void CheckVmRows(const std::vector<json::object>& transactions,
                 const std::vector<std::string>& pools, std::vector<std::string>& violations,
                 CheckCounts& counts) {
  for (const auto& transaction : transactions) {
    const auto* writes = transaction.if_contains("writes");
    if (writes == nullptr) continue;
    for (const auto& write : writes->as_array()) {
      const json::object& row = write.as_object();
      if (TextField(row, "table") != "vms") continue;
      ++counts.vm_writes;
      const auto value = ParseObject(TextField(row, "value", "{}"));
      const std::string pool = value ? TextField(value.value(), "pool") : "invalid";
      const bool known = pool.empty() || std::count(pools.begin(), pools.end(), pool) == 1;
      const auto& checks = transaction.at("checks").as_array();
      const bool checked = std::any_of(checks.begin(), checks.end(), [&row](const auto& check) {
        return TextField(check.as_object(), "table") == "vms" &&
               TextField(check.as_object(), "key") == TextField(row, "key");
      });
      if (known && checked) continue;
      violations.push_back("a VM row was written without a check or with an unknown pool:\n  " +
                           json::serialize(transaction));
    }
  }
}

}  // namespace sapphirewheel::testing
