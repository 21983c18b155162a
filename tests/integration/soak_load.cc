#include "tests/integration/soak_load.h"

#include <boost/json.hpp>
#include <utility>

#include "sapphirewheel/state/json.h"
#include "tests/standins/support.h"

namespace sapphirewheel::testing {
namespace {

namespace json = boost::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr int kRequestCallersPerTeam = 5;
constexpr int kMaxAttempts = 4;
constexpr int kMaxSubmits = 6;
constexpr milliseconds kObserveInterval{150};
constexpr milliseconds kChangeInterval{1500};
// Time for which a caller waits for a response beyond the deadline of its request.
constexpr milliseconds kResponseMargin{1500};

std::int64_t Draw(std::mt19937_64& random, std::int64_t min, std::int64_t max) {
  return std::uniform_int_distribution<std::int64_t>(min, max)(random);
}

// Draws one of the two services; each has a pool of its own.
const char* DrawService(std::mt19937_64& random) {
  return Draw(random, 0, 2) == 0 ? "ship" : "blend";
}

json::object BodyOf(const HttpOutcome& outcome) {
  const auto body = ParseObject(outcome.response.body);
  return outcome.ok() && body ? body.value() : json::object();
}

}  // namespace

void EntryList::Set(std::map<std::string, std::string> addresses) {
  const std::lock_guard<std::mutex> lock(mutex_);
  addresses_.clear();
  for (auto& entry : addresses) addresses_.push_back(std::move(entry.second));
}

std::string EntryList::Any(std::mt19937_64& random) const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return addresses_[static_cast<std::size_t>(Draw(random, 0, 1 << 20)) % addresses_.size()];
}

std::vector<std::string> EntryList::All() const {
  const std::lock_guard<std::mutex> lock(mutex_);
  return addresses_;
}

SoakLoad::SoakLoad(const EntryList& entries, std::vector<SoakTeam> teams, std::uint64_t seed)
    : entries_(entries), teams_(std::move(teams)) {
  for (const SoakTeam& team : teams_) {
    for (int i = 0; i < kRequestCallersPerTeam; ++i) {
      const std::string name = team.name + "-r" + std::to_string(i);
      threads_.emplace_back(
          [this, &team, name, seed = ++seed]() { RequestLoop(team, name, seed); });
    }
    const std::string name = team.name + "-j";
    threads_.emplace_back([this, &team, name, seed = ++seed]() { JobLoop(team, name, seed); });
  }
  threads_.emplace_back([this, seed = ++seed]() { ObserveLoop(seed); });
  threads_.emplace_back([this, seed = ++seed]() { ChangeLoop(seed); });
}

SoakLoad::~SoakLoad() { (void)Finish(); }

CallerLog SoakLoad::Finish() {
  {
    const std::lock_guard<std::mutex> lock(mutex_);
    stop_ = true;
  }
  ended_.notify_all();
  for (auto& thread : threads_) thread.join();
  threads_.clear();
  return std::move(log_);
}

bool SoakLoad::Pause(milliseconds time) {
  std::unique_lock<std::mutex> lock(mutex_);
  return !ended_.wait_for(lock, time, [this]() { return stop_; });
}

void SoakLoad::AddViolation(const std::string& text) {
  const std::lock_guard<std::mutex> lock(mutex_);
  log_.violations.push_back("at_us " + std::to_string(MonotonicMicros()) + ": " + text);
  violated_ = true;
}

void SoakLoad::RequestLoop(const SoakTeam& team, const std::string& name, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  for (int n = 0; Pause(milliseconds(Draw(random, 0, 60))); ++n) {
    SendOne(team, name + "-" + std::to_string(n), random);
  }
}

void SoakLoad::SendOne(const SoakTeam& team, const std::string& id, std::mt19937_64& random) {
  SentRequest sent;
  sent.repeatable = Draw(random, 0, 1) == 0;
  const std::int64_t deadline_ms = Draw(random, 300, 4000);
  const std::string padding(static_cast<std::size_t>(Draw(random, 0, 3000)), 'x');
  const std::string echo = id + ":" + padding;
  HttpRequest request{
      "POST", std::string("/v1/services/") + DrawService(random) + "/requests", "", {}};
  request.body =
      json::serialize(json::object{{"id", id}, {"echo", echo}, {"run_ms", Draw(random, 5, 150)}});
  request.headers["Authorization"] = "Bearer " + team.token;
  request.headers["Idempotency-Key"] = id;
  request.headers["Sapphirewheel-Repeatable"] = sent.repeatable ? "true" : "false";
  request.headers["Sapphirewheel-Urgent"] = Draw(random, 0, 4) == 0 ? "true" : "false";
  request.headers["Sapphirewheel-Deadline-Ms"] = std::to_string(deadline_ms);
  for (int n = 0; n < kMaxAttempts; ++n) {
    Attempt attempt;
    attempt.sent_us = MonotonicMicros();
    const std::string entry = entries_.Any(random);
    const HttpOutcome outcome =
        HttpCall({entry, ""}, request, milliseconds(deadline_ms) + kResponseMargin);
    attempt.answered_us = MonotonicMicros();
    const json::object body = BodyOf(outcome);
    attempt.status = outcome.ok() ? outcome.response.status : 0;
    attempt.run = TextField(body, "run");
    attempt.code = TextField(body, "code");
    sent.attempts.push_back(attempt);
    if (attempt.status == 200) {
      if (TextField(body, "echo") != echo) {
        std::string text = "request " + id + " got the response of another request from ";
        text.append(entry).append(": ").append(outcome.response.body.substr(0, 300));
        AddViolation(text);
      }
      break;
    }
    if (!Pause(milliseconds(Draw(random, 10, 400)))) break;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  log_.requests[id] = std::move(sent);
}

void SoakLoad::JobLoop(const SoakTeam& team, const std::string& name, std::uint64_t seed) {
  std::mt19937_64 random(seed);
  for (int n = 0; Pause(milliseconds(Draw(random, 200, 1500))); ++n) {
    SubmitOne(team, name + "-" + std::to_string(n), random);
  }
}

void SoakLoad::SubmitOne(const SoakTeam& team, const std::string& id, std::mt19937_64& random) {
  HttpRequest request{"POST", std::string("/v1/services/") + DrawService(random) + "/jobs", "", {}};
  request.body =
      json::serialize(json::object{{"id", id}, {"echo", id}, {"run_ms", Draw(random, 100, 3000)}});
  request.headers["Authorization"] = "Bearer " + team.token;
  request.headers["Idempotency-Key"] = id;
  for (int n = 0; n < kMaxSubmits; ++n) {
    const HttpOutcome outcome = HttpCall({entries_.Any(random), ""}, request, seconds(5));
    if (outcome.ok() && outcome.response.status == 202) {
      const std::lock_guard<std::mutex> lock(mutex_);
      log_.jobs.push_back({TextField(BodyOf(outcome), "job"), id, team.token});
      return;
    }
    if (!Pause(milliseconds(Draw(random, 100, 1000)))) return;
  }
}

// Reads the configuration version of each node incarnation; it must never decrease.
void SoakLoad::ObserveLoop(std::uint64_t) {
  std::map<std::string, std::int64_t> newest;
  while (Pause(kObserveInterval)) {
    for (const std::string& entry : entries_.All()) {
      const HttpOutcome outcome = HttpCall({entry, ""}, {"GET", "/v1/fleet", "", {}}, seconds(1));
      const json::object body = BodyOf(outcome);
      const std::string node = TextField(body, "node");
      if (node.empty()) continue;
      const std::int64_t version = IntField(body, "config_version");
      std::int64_t& known = newest[node];
      if (version < known) {
        AddViolation("configuration at " + node + " went from version " + std::to_string(known) +
                     " back to " + std::to_string(version));
      }
      known = std::max(known, version);
      const std::lock_guard<std::mutex> lock(mutex_);
      ++log_.config_reads;
    }
  }
}

// Changes shares of teams, so that the configuration version keeps increasing during the run.
void SoakLoad::ChangeLoop(std::uint64_t seed) {
  std::mt19937_64 random(seed);
  while (Pause(kChangeInterval)) {
    const SoakTeam& team =
        teams_[static_cast<std::size_t>(Draw(random, 0, 1 << 20)) % teams_.size()];
    const json::object intent{{"kind", "team"},
                              {"team", team.name},
                              {"share", Draw(random, 1, 4)},
                              {"upper_limit", team.limit}};
    const std::string entry = entries_.Any(random);
    const HttpOutcome plan =
        HttpCall({entry, ""}, {"POST", "/v1/intents", json::serialize(intent), {}}, seconds(3));
    const std::string id = TextField(BodyOf(plan), "plan");
    if (id.empty()) continue;
    (void)HttpCall({entry, ""}, {"POST", "/v1/plans/" + id + "/confirm", "{}", {}}, seconds(3));
  }
}

}  // namespace sapphirewheel::testing
