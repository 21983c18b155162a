#include "tests/standins/backend_worker.h"

#include <openssl/sha.h>

#include <algorithm>
#include <boost/json.hpp>
#include <cctype>
#include <stdexcept>

#include "sapphirewheel/state/json.h"

namespace sapphirewheel::testing {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;

constexpr milliseconds kLeaseCheckInterval{100};
constexpr milliseconds kPlatformTimeout{2000};
constexpr milliseconds kCheckpointRetry{300};
// Time limit of a response that waits for another one to be swapped with.
constexpr milliseconds kSwapTimeout{500};

double ElapsedMs(MonotonicClock::time_point from, MonotonicClock::time_point to) {
  return std::chrono::duration<double, std::milli>(to - from).count();
}

std::string Digest(const std::string& body) {
  unsigned char digest[SHA256_DIGEST_LENGTH];
  SHA256(reinterpret_cast<const unsigned char*>(body.data()), body.size(), digest);
  constexpr char kDigits[] = "0123456789abcdef";
  std::string out;
  for (const unsigned byte : digest) {
    out += kDigits[byte >> 4U];
    out += kDigits[byte & 15U];
  }
  return out;
}

std::int64_t IntHeader(const HttpRequest& request, const char* name, std::int64_t fallback) {
  const std::string text = request.Header(name);
  return text.empty() ? fallback : std::stoll(text);
}

std::string ObjectName(const std::string& job, std::int64_t job_epoch, std::uint64_t n) {
  std::string name = "checkpoints/";
  for (const char c : job) name += std::isalnum(static_cast<unsigned char>(c)) != 0 ? c : '-';
  return name + "/" + std::to_string(job_epoch) + "-" + std::to_string(n);
}

}  // namespace

Worker::Worker(boost::asio::io_context& io, WorkerOptions options, EventLog& log)
    : io_(io),
      options_(std::move(options)),
      log_(log),
      server_(
          io,
          [this](HttpRequest request, HttpRespond respond) {
            RunOrDefer([this, request = std::move(request), respond = std::move(respond)]() {
              Route(request, respond);
            });
          },
          options_.max_connections),
      lease_check_timer_(io) {}

std::string Worker::Listen(const std::string& address) {
  address_ = address;
  Boot();
  ScheduleLeaseCheck();
  return address_;
}

void Worker::RunOrDefer(std::function<void()> action) {
  if (frozen_) {
    deferred_.push_back(std::move(action));
  } else if (alive_) {
    action();
  }
}

void Worker::Boot() {
  if (alive_ || permanently_down_) return;
  address_ = server_.Listen(address_);
  alive_ = true;
  boot_ = options_.vm + "-boot" + std::to_string(++boots_);
  log_.Add({{"event", "boot"}, {"vm", options_.vm}, {"boot", boot_}});
}

// Discards all state in memory, including epochs and fences.
void Worker::Die() {
  if (!alive_) return;
  server_.Close();
  for (Task& task : tasks_) {
    if (task.state == "running") LogTask("end", task, {{"outcome", "lost"}});
  }
  tasks_.clear();
  usage_.clear();
  fenced_.clear();
  stopped_.clear();
  draining_until_ = {};
  job_epochs_.clear();
  deferred_.clear();
  held_response_.reset();
  owner_.clear();
  last_owner_.clear();
  epoch_ = 0;
  alive_ = frozen_ = leaving_ = false;
  log_.Add({{"event", "down"}, {"vm", options_.vm}, {"boot", boot_}});
}

void Worker::Thaw() {
  frozen_ = false;
  for (Task& task : tasks_) task.progress_at = MonotonicClock::now();
  ExpireLeases();
  for (auto& action : std::exchange(deferred_, {})) RunOrDefer(std::move(action));
}

void Worker::Control(const json::object& body) {
  const std::string op = TextField(body, "op");
  if (op == "restart") {
    Die();
    After(io_, milliseconds(IntField(body, "down_ms", 100)), [this]() { Boot(); });
  } else if (op == "die") {
    permanently_down_ = BoolField(body, "permanent");
    Die();
  } else if (op == "repair") {
    permanently_down_ = false;
    Boot();
  } else if (op == "freeze") {
    for (Task& task : tasks_) UpdateProgress(task);
    frozen_ = alive_;
  } else if (op == "thaw") {
    Thaw();
  } else if (op == "leaving") {
    leaving_ = BoolField(body, "value", true);
  } else if (op == "fail_all") {
    fail_all_ = BoolField(body, "value", true);
  } else if (op == "answers") {
    response_mode_ = TextField(body, "mode");
    response_delay_ = milliseconds(IntField(body, "ms", 1000));
    response_fault_.Set(body);
  } else {
    throw std::invalid_argument("unknown operation \"" + op + "\"");
  }
}

void Worker::ScheduleLeaseCheck() {
  lease_check_timer_.expires_after(kLeaseCheckInterval);
  lease_check_timer_.async_wait([this](const boost::system::error_code& ec) {
    if (ec) return;
    if (alive_ && !frozen_) ExpireLeases();
    ScheduleLeaseCheck();
  });
}

// Ends ownership and tasks whose leases have expired.
void Worker::ExpireLeases() {
  const auto now = MonotonicClock::now();
  if (!owner_.empty() && lease_until_ < now) owner_.clear();
  std::vector<std::uint64_t> expired;
  for (const Task& task : tasks_) {
    if (task.state == "running" && task.lease_until < now) expired.push_back(task.seq);
  }
  for (const auto seq : expired) EndTask(*FindTask(seq), "failed", "lease-lapsed");
}

void Worker::Route(const HttpRequest& request, const HttpRespond& respond) {
  ExpireLeases();
  const std::string& target = request.target;
  try {
    if (target == "/v1/health") {
      respond(JsonResponse(200, {{"boot", boot_}, {"leaving", leaving_}}));
    } else if (target == "/v1/ownership") {
      respond(Ownership(ParseOrThrow(request.body)));
    } else if (target == "/v1/fence") {
      respond(Fence(ParseOrThrow(request.body)));
    } else if (target == "/v1/drain") {
      respond(Drain(ParseOrThrow(request.body)));
    } else if (target == "/v1/tasks") {
      StartTask(request, respond);
    } else if (target.rfind("/v1/tasks/", 0) == 0) {
      ControlTask(request, respond);
    } else {
      respond(JsonResponse(404, {}));
    }
  } catch (const std::exception& e) {
    respond(JsonResponse(400, {{"error", e.what()}}));
  }
}

HttpResponse Worker::Ownership(const json::object& body) {
  const std::string node = TextOrThrow(body, "node");
  if (fenced_.count(node) != 0) return JsonResponse(410, {{"code", "fenced"}});
  const auto now = MonotonicClock::now();
  for (Task& task : tasks_) {
    if (task.node == node) task.lease_until = now + options_.task_lease;
  }
  if (!owner_.empty() && owner_ != node) {
    const auto left = static_cast<std::int64_t>(ElapsedMs(now, lease_until_));
    return JsonResponse(409, {{"owner", owner_}, {"lease_ms", left}});
  }
  if (const auto* list = body.if_contains("acknowledge")) {
    for (const auto& id : list->as_array()) {
      tasks_.remove_if([&id](const Task& task) {
        return task.state != "running" && task.id == std::string(id.as_string());
      });
    }
  }
  if (BoolField(body, "release")) {
    owner_.clear();
    last_owner_.clear();
    return JsonResponse(200, Report());
  }
  if (last_owner_ != node) {
    ++epoch_;
    log_.Add({{"event", "owner"},
              {"vm", options_.vm},
              {"boot", boot_},
              {"node", node},
              {"epoch", epoch_}});
  }
  owner_ = last_owner_ = node;
  lease_until_ = now + options_.ownership_lease;
  return JsonResponse(200, Report());
}

HttpResponse Worker::Fence(const json::object& body) {
  const std::string node = TextOrThrow(body, "node");
  if (fenced_.insert(node).second) {
    log_.Add({{"event", "fence"}, {"vm", options_.vm}, {"boot", boot_}, {"node", node}});
  }
  if (owner_ == node) owner_.clear();
  if (last_owner_ == node) last_owner_.clear();
  const auto running = std::count_if(tasks_.begin(), tasks_.end(), [&node](const Task& task) {
    return task.node == node && task.state == "running";
  });
  return JsonResponse(200, {{"running", running}});
}

HttpResponse Worker::Drain(const json::object& body) {
  const std::chrono::milliseconds hold(IntField(body, "hold_ms"));
  draining_until_ = std::max(draining_until_, MonotonicClock::now() + hold);
  const auto running = std::count_if(tasks_.begin(), tasks_.end(),
                                     [](const Task& task) { return task.state == "running"; });
  return JsonResponse(200, {{"running", running}});
}

std::string Worker::Refusal(const Task& task) const {
  if (stopped_.count(task.id) != 0) return "stopped";
  if (fenced_.count(task.node) != 0) return "fenced";
  if (owner_ != task.node) return "not-owner";
  if (epoch_ != task.epoch) return "stale-epoch";
  const auto it = job_epochs_.find(task.job);
  if (!task.job.empty() && it != job_epochs_.end() && it->second > task.job_epoch) {
    return "stale-job-epoch";
  }
  if (leaving_ || MonotonicClock::now() < draining_until_) return "draining";
  return task.slots > FreeSlots() ? "no-slot" : "";
}

void Worker::StartTask(const HttpRequest& request, const HttpRespond& respond) {
  Task task;
  task.id = request.Header("Sapphirewheel-Task");
  task.node = request.Header("Sapphirewheel-Node");
  task.team = request.Header("Sapphirewheel-Team");
  task.service = request.Header("Sapphirewheel-Service");
  task.epoch = IntHeader(request, "Sapphirewheel-Epoch", -1);
  task.slots = IntHeader(request, "Sapphirewheel-Slots", 1);
  const bool is_job = request.Header("Sapphirewheel-Kind") == "job";
  if (is_job) {
    task.job = request.Header("Sapphirewheel-Job");
    task.job_epoch = IntHeader(request, "Sapphirewheel-Job-Epoch", 0);
    task.checkpoint = request.Header("Sapphirewheel-Checkpoint");
  }
  if (const std::string code = Refusal(task); !code.empty()) {
    LogTask("refuse", task, {{"code", code}});
    HttpResponse refusal = JsonResponse(409, {{"code", code}});
    refusal.headers["Sapphirewheel-Task"] = task.id;
    return respond(std::move(refusal));
  }
  const auto spec = ParseObject(request.body);
  const json::object body = spec ? spec.value() : json::object();
  task.echo = TextField(body, "echo");
  task.request = TextField(body, "id", task.echo);
  task.fail = !spec || BoolField(body, "fail") || fail_all_;
  task.total_ms = fail_all_ ? 0 : static_cast<double>(IntField(body, "run_ms"));
  task.millicores = IntField(body, "use_millicores", 1000);
  task.seq = next_seq_++;
  task.accepted = task.progress_at = MonotonicClock::now();
  task.lease_until = task.accepted + options_.task_lease;
  task.timer.emplace(io_);
  if (!is_job) task.respond = respond;
  if (is_job) job_epochs_[task.job] = task.job_epoch;
  LogTask("start", task);
  HttpResponse accepted = JsonResponse(202, {});
  accepted.headers["Sapphirewheel-Task"] = task.id;
  tasks_.push_back(std::move(task));
  RecordUsage();
  if (is_job) respond(std::move(accepted));
  Task& stored = tasks_.back();
  return stored.checkpoint.empty() ? BeginTask(stored) : LoadCheckpoint(stored.seq);
}

Worker::Task* Worker::FindTask(std::uint64_t seq) {
  for (Task& task : tasks_) {
    if (task.seq == seq) return &task;
  }
  return nullptr;
}

// The job keeps its slot while it waits; the load is retried until the object store responds.
void Worker::LoadCheckpoint(std::uint64_t seq) {
  Task* task = FindTask(seq);
  if (task == nullptr || task->state != "running") return;
  const HttpRequest call{"GET", "/v1/objects/" + task->checkpoint, "", {}};
  AsyncHttpCall(io_, options_.platform, call, kPlatformTimeout, [this, seq](HttpOutcome outcome) {
    RunOrDefer([this, seq, outcome = std::move(outcome)]() {
      Task* waiting = FindTask(seq);
      if (waiting == nullptr || waiting->state != "running") return;
      const bool found = outcome.ok() && outcome.response.status == 200;
      if (!found && outcome.response.status != 404) {
        return After(io_, kCheckpointRetry, [this, seq]() { LoadCheckpoint(seq); });
      }
      const auto saved = ParseObject(found ? outcome.response.body : "{}");
      const double progress = saved ? DoubleField(saved.value(), "progress") : 0;
      waiting->done_ms = progress * waiting->total_ms;
      LogTask("resume", *waiting, {{"progress", progress}});
      BeginTask(*waiting);
    });
  });
}

void Worker::BeginTask(Task& task) {
  task.started = true;
  task.progress_at = MonotonicClock::now();
  ArmTimer(task);
}

void Worker::UpdateProgress(Task& task) {
  const auto now = MonotonicClock::now();
  if (task.state == "running" && task.started) {
    const double passed =
        ElapsedMs(task.progress_at, now) * static_cast<double>(task.percent) / 100;
    task.done_ms = std::min(task.total_ms, task.done_ms + passed);
  }
  task.progress_at = now;
}

void Worker::ArmTimer(Task& task) {
  const double left = (task.total_ms - task.done_ms) * 100 / static_cast<double>(task.percent);
  task.timer->expires_after(std::chrono::microseconds(static_cast<std::int64_t>(left * 1000) + 1));
  task.timer->async_wait([this, seq = task.seq](const boost::system::error_code& ec) {
    if (ec) return;
    RunOrDefer([this, seq]() {
      Task* due = FindTask(seq);
      if (due == nullptr || due->state != "running") return;
      UpdateProgress(*due);
      if (due->done_ms < due->total_ms) return ArmTimer(*due);
      EndTask(*due, due->fail ? "failed" : "done", due->fail ? "the task failed" : "");
    });
  });
}

void Worker::EndTask(Task& task, const std::string& state, const std::string& reason) {
  task.state = state;
  task.reason = reason;
  task.result = state == "done"
                    ? json::serialize(json::object{{"echo", task.echo}, {"task", task.id}})
                    : json::serialize(json::object{{"reason", reason}, {"task", task.id}});
  task.timer->cancel();
  LogTask("end", task, {{"outcome", state}, {"reason", reason}});
  RecordUsage();
  if (!task.respond) return;
  HttpResponse response{.status = state == "done" ? 200 : 500, .body = task.result};
  response.headers["Sapphirewheel-Task"] = task.id;
  response.headers["Sapphirewheel-Digest"] = Digest(task.result);
  const HttpRespond respond = std::move(task.respond);
  tasks_.remove_if([seq = task.seq](const Task& other) { return other.seq == seq; });
  Deliver(std::move(response), respond);
}

void Worker::Deliver(HttpResponse response, HttpRespond respond) {
  if (response_mode_.empty() || !response_fault_.Fires()) return respond(std::move(response));
  if (response_mode_ == "swapped") return SwapResponses(std::move(response), std::move(respond));
  if (response_mode_ == "truncated") response.delivery = Delivery::kTruncate;
  if (response_mode_ == "duplicated") response.delivery = Delivery::kDuplicate;
  if (response_mode_ == "dropped") response.delivery = Delivery::kDrop;
  const milliseconds delay = response_mode_ == "late" ? response_delay_ : milliseconds(0);
  After(io_, delay,
        [response = std::move(response), respond = std::move(respond)]() { respond(response); });
}

// Swaps the responses of two requests. When no second response arrives within kSwapTimeout, the
// response goes to its own request.
void Worker::SwapResponses(HttpResponse response, HttpRespond respond) {
  if (held_response_) {
    const HeldResponse other = *std::exchange(held_response_, std::nullopt);
    respond(other.response);
    return other.respond(std::move(response));
  }
  const std::string digest = response.headers["Sapphirewheel-Digest"];
  held_response_ = HeldResponse{std::move(response), std::move(respond)};
  After(io_, kSwapTimeout, [this, digest]() {
    if (!held_response_ || held_response_->response.headers["Sapphirewheel-Digest"] != digest) {
      return;
    }
    const HeldResponse own = *std::exchange(held_response_, std::nullopt);
    own.respond(own.response);
  });
}

void Worker::ControlTask(const HttpRequest& request, const HttpRespond& respond) {
  const std::size_t start = std::string("/v1/tasks/").size();
  const std::size_t slash = request.target.rfind('/');
  const std::string id = PercentDecode(request.target.substr(start, slash - start));
  const std::string verb = request.target.substr(slash + 1);
  const auto it = std::find_if(tasks_.begin(), tasks_.end(), [&id](const Task& task) {
    return task.id == id && task.state == "running";
  });
  if (verb == "stop") {
    stopped_.insert(id);
    if (it != tasks_.end()) EndTask(*it, "failed", "stopped");
    return respond(JsonResponse(200, {}));
  }
  if (it == tasks_.end()) return respond(JsonResponse(404, {}));
  if (verb == "throttle") {
    const std::int64_t percent = IntField(ParseOrThrow(request.body), "percent", 100);
    UpdateProgress(*it);
    it->percent = std::clamp<std::int64_t>(percent, 1, 100);
    if (it->started) ArmTimer(*it);
    RecordUsage();
    respond(JsonResponse(200, {}));
  } else if (verb == "checkpoint" && !it->job.empty()) {
    Checkpoint(*it, respond);
  } else {
    respond(JsonResponse(404, {}));
  }
}

void Worker::Checkpoint(Task& task, const HttpRespond& respond) {
  UpdateProgress(task);
  if (!task.started) return respond(JsonResponse(200, {{"checkpoint", task.checkpoint}}));
  const double progress = task.total_ms > 0 ? task.done_ms / task.total_ms : 1;
  const std::string name = ObjectName(task.job, task.job_epoch, next_seq_++);
  const json::object saved{{"job", task.job}, {"progress", progress}};
  HttpRequest call{"PUT", "/v1/objects/" + name, json::serialize(saved), {}};
  AsyncHttpCall(io_, options_.platform, std::move(call), kPlatformTimeout,
                [this, respond, name, seq = task.seq](HttpOutcome outcome) {
                  RunOrDefer([this, respond, name, seq, outcome = std::move(outcome)]() {
                    const bool stored = outcome.ok() && outcome.response.status == 200;
                    if (!stored) return respond(JsonResponse(503, {}));
                    if (Task* now = FindTask(seq)) now->checkpoint = name;
                    respond(JsonResponse(200, {{"checkpoint", name}}));
                  });
                });
}

}  // namespace sapphirewheel::testing
