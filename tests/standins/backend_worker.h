#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <deque>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "tests/standins/support.h"

namespace sapphirewheel::testing {

struct WorkerOptions {
  std::string vm;
  HttpTarget platform;
  std::int64_t slots = 8;
  std::size_t max_connections = 64;
  std::chrono::milliseconds ownership_lease{3000};
  std::chrono::milliseconds task_lease{10000};
  std::chrono::milliseconds usage_lag{2000};
};

// A backend server as specified in docs/workers.md, with its own listener. Runs on the thread of
// `io`; not thread-safe.
class Worker {
 public:
  Worker(boost::asio::io_context& io, WorkerOptions options, EventLog& log);

  // Returns the actual address. Throws boost::system::system_error when it cannot be bound.
  std::string Listen(const std::string& address);

  // Applies a control operation: restart (down_ms), die (permanent), repair, freeze, thaw, leaving
  // (value), fail_all (value), answers (mode, ms, next or probability and seed). Throws
  // std::invalid_argument for an unknown operation.
  void Control(const boost::json::object& body);

 private:
  using TimePoint = MonotonicClock::time_point;

  struct Task {
    std::uint64_t seq = 0;
    std::string id, node, job, team, service, request;
    std::int64_t epoch = 0, job_epoch = 0, slots = 1, millicores = 0, percent = 100;
    std::string state = "running", reason, checkpoint, result, echo;
    bool fail = false;
    // False while a job waits for its checkpoint to be loaded.
    bool started = false;
    double total_ms = 0, done_ms = 0;
    TimePoint accepted, progress_at, lease_until;
    HttpRespond respond;
    std::optional<boost::asio::steady_timer> timer;
  };

  // A response that waits for another one to be swapped with.
  struct HeldResponse {
    HttpResponse response;
    HttpRespond respond;
  };

  // Runs `action` now, or after the thaw when the worker is frozen. Drops it when the worker is
  // down.
  void RunOrDefer(std::function<void()> action);
  void Boot();
  void Die();
  void Thaw();
  void ScheduleLeaseCheck();
  void ExpireLeases();

  void Route(const HttpRequest& request, const HttpRespond& respond);
  HttpResponse Ownership(const boost::json::object& body);
  HttpResponse Fence(const boost::json::object& body);
  HttpResponse Drain(const boost::json::object& body);
  void StartTask(const HttpRequest& request, const HttpRespond& respond);
  [[nodiscard]] std::string Refusal(const Task& task) const;
  void ControlTask(const HttpRequest& request, const HttpRespond& respond);
  void Checkpoint(Task& task, const HttpRespond& respond);
  void LoadCheckpoint(std::uint64_t seq);

  Task* FindTask(std::uint64_t seq);
  void BeginTask(Task& task);
  void UpdateProgress(Task& task);
  void ArmTimer(Task& task);
  void EndTask(Task& task, const std::string& state, const std::string& reason);
  void Deliver(HttpResponse response, HttpRespond respond);
  void SwapResponses(HttpResponse response, HttpRespond respond);

  [[nodiscard]] std::int64_t FreeSlots() const;
  [[nodiscard]] boost::json::object Report();
  [[nodiscard]] boost::json::object Describe(Task& task);
  void RecordUsage();
  [[nodiscard]] std::int64_t ReportedUsage();
  void LogTask(const char* event, const Task& task, const boost::json::object& extra = {});

  boost::asio::io_context& io_;
  WorkerOptions options_;
  EventLog& log_;
  HttpServer server_;
  std::string address_;
  boost::asio::steady_timer lease_check_timer_;

  std::int64_t boots_ = 0;
  std::string boot_;
  bool alive_ = false, permanently_down_ = false, frozen_ = false, leaving_ = false,
       fail_all_ = false;
  std::vector<std::function<void()>> deferred_;

  std::string owner_, last_owner_;
  std::int64_t epoch_ = 0;
  TimePoint lease_until_;
  std::set<std::string> fenced_;
  // Ids of tasks that were stopped; a start that arrives after the stop is refused.
  std::set<std::string> stopped_;
  TimePoint draining_until_;
  std::map<std::string, std::int64_t> job_epochs_;
  std::uint64_t next_seq_ = 1;
  std::list<Task> tasks_;
  std::deque<std::pair<TimePoint, std::int64_t>> usage_;

  std::string response_mode_;
  std::chrono::milliseconds response_delay_{0};
  FaultTrigger response_fault_;
  std::optional<HeldResponse> held_response_;
};

}  // namespace sapphirewheel::testing
