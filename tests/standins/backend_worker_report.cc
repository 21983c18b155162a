#include <boost/json.hpp>
#include <chrono>
#include <string>
#include <utility>

#include "tests/standins/backend_worker.h"

// Status reports, usage and log entries of a worker and its tasks.

namespace sapphirewheel::testing {
namespace {

namespace json = boost::json;

}  // namespace

std::int64_t Worker::FreeSlots() const {
  std::int64_t used = 0;
  for (const Task& task : tasks_) {
    if (task.state == "running") used += task.slots;
  }
  return options_.slots - used;
}

json::object Worker::Report() {
  json::array tasks;
  for (Task& task : tasks_) tasks.emplace_back(Describe(task));
  return {{"epoch", epoch_},
          {"boot", boot_},
          {"lease_ms", options_.ownership_lease.count()},
          {"slots", options_.slots},
          {"free_slots", FreeSlots()},
          {"leaving", leaving_},
          {"used_millicores", ReportedUsage()},
          {"tasks", std::move(tasks)}};
}

json::object Worker::Describe(Task& task) {
  UpdateProgress(task);
  const bool usage_known = MonotonicClock::now() - task.accepted >= options_.usage_lag;
  const std::int64_t used = task.millicores * task.percent / 100;
  return {{"task", task.id},
          {"node", task.node},
          {"job", task.job},
          {"job_epoch", task.job_epoch},
          {"team", task.team},
          {"slots", task.slots},
          {"state", task.state},
          {"reason", task.reason},
          {"checkpoint", task.checkpoint},
          {"progress", task.total_ms > 0 ? task.done_ms / task.total_ms : 1.0},
          {"result", task.state == "done" ? task.result : ""},
          {"used_millicores", usage_known ? used : 0}};
}

void Worker::RecordUsage() {
  std::int64_t total = 0;
  for (const Task& task : tasks_) {
    if (task.state == "running") total += task.millicores * task.percent / 100;
  }
  usage_.emplace_back(MonotonicClock::now(), total);
}

std::int64_t Worker::ReportedUsage() {
  const auto wanted = MonotonicClock::now() - options_.usage_lag;
  while (usage_.size() > 1 && usage_[1].first <= wanted) usage_.pop_front();
  return usage_.empty() || usage_.front().first > wanted ? 0 : usage_.front().second;
}

void Worker::LogTask(const char* event, const Task& task, const json::object& extra) {
  json::object entry{{"event", event},    {"vm", options_.vm},           {"boot", boot_},
                     {"task", task.id},   {"node", task.node},           {"epoch", task.epoch},
                     {"team", task.team}, {"service", task.service},     {"slots", task.slots},
                     {"job", task.job},   {"job_epoch", task.job_epoch}, {"request", task.request}};
  entry.insert(extra.begin(), extra.end());
  log_.Add(std::move(entry));
}

}  // namespace sapphirewheel::testing
