#include <boost/json.hpp>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "sapphirewheel/state/json.h"
#include "tests/integration/fleet.h"
#include "tests/standins/support.h"

#include "CppUTest/TestHarness.h"

namespace json = boost::json;
using sapphirewheel::TextField;
using namespace std::chrono_literals;    // NOLINT(google-build-using-namespace)
using namespace sapphirewheel::testing;  // NOLINT(google-build-using-namespace)

namespace {

constexpr const char* kCallerSpan = "00f067aa0ba902b7";
constexpr const char* kBodySecret = "body-that-no-log-may-hold";

struct Span {
  std::string process;
  std::string name;
  std::string id;
  std::string parent;
};

FleetOptions TwoDaemonsOneWorker() {
  FleetOptions options;
  options.data_centres = 1;
  options.entries = 2;
  options.workers = 1;
  options.start_daemons = false;
  return options;
}

std::string ReadFile(const std::filesystem::path& path) {
  std::ifstream file(path);
  return {std::istreambuf_iterator<char>(file), {}};
}

// A temporary folder with one trace file per daemon; the destructor removes it.
class TraceFolder {
 public:
  TraceFolder() {
    std::string pattern = (std::filesystem::temp_directory_path() / "trace-XXXXXX").string();
    if (mkdtemp(pattern.data()) == nullptr) FAIL("cannot create a folder");
    path_ = pattern;
  }
  ~TraceFolder() {
    std::error_code ec;
    std::filesystem::remove_all(path_, ec);
  }
  TraceFolder(const TraceFolder&) = delete;
  TraceFolder& operator=(const TraceFolder&) = delete;

  [[nodiscard]] std::filesystem::path FileOf(const std::string& vm) const { return path_ / vm; }

  // The spans of all daemons that belong to a trace. Skips incomplete last lines.
  [[nodiscard]] std::vector<Span> SpansOf(const std::string& trace) const {
    std::vector<Span> spans;
    for (const auto& file : std::filesystem::directory_iterator(path_)) {
      std::ifstream lines(file.path());
      for (std::string line; std::getline(lines, line) && !lines.eof();) {
        const json::object span = ParseOrThrow(line);
        if (TextField(span, "traceId") != trace) continue;
        spans.push_back({file.path().filename().string(), TextField(span, "name"),
                         TextField(span, "spanId"), TextField(span, "parentSpanId")});
      }
    }
    return spans;
  }

 private:
  std::filesystem::path path_;
};

// The span with this name and parent, or null.
const Span* FindChild(const std::vector<Span>& spans, const std::string& name,
                      const std::string& parent) {
  for (const Span& it : spans) {
    if (it.name == name && it.parent == parent) return &it;
  }
  return nullptr;
}

// Whether the spans show a request that one daemon forwarded to another one, which called the
// backend server.
bool ShowsForwardedRequest(const std::vector<Span>& spans) {
  const Span* request = FindChild(spans, "request", kCallerSpan);
  if (request == nullptr || FindChild(spans, "answer", request->id) == nullptr) return false;
  const Span* forward = FindChild(spans, "forward to peer", request->id);
  if (forward == nullptr) return false;
  const Span* received = FindChild(spans, "forwarded request", forward->id);
  if (received == nullptr || received->process == request->process) return false;
  const Span* backend = FindChild(spans, "call backend server", received->id);
  if (backend == nullptr || backend->process != received->process) return false;
  return FindChild(spans, "claim at platform", received->id) != nullptr ||
         FindChild(spans, "claim at peer", received->id) != nullptr;
}

std::string TraceId(int n) {
  const std::string digits = std::to_string(n);
  return std::string(32 - digits.size(), 'a') + digits;
}

HttpRequest TracedRequest(const std::string& token, int n) {
  const std::string body =
      json::serialize(json::object{{"run_ms", 1}, {"echo", kBodySecret}, {"id", "x"}});
  return {"POST",
          "/v1/services/blend/requests",
          body,
          {{"Authorization", "Bearer " + token},
           // Short, as the first requests may arrive before the worker is in its pool.
           {"Sapphirewheel-Deadline-Ms", "1000"},
           {"Idempotency-Key", "trace-" + std::to_string(n)},
           {"traceparent", "00-" + TraceId(n) + "-" + kCallerSpan + "-01"}}};
}

std::string SetUpFleet(Fleet& fleet) {
  fleet.Apply("dc1-e1", {{"kind", "pool"},
                         {"pool", "blending"},
                         {"services", json::array{"blend"}},
                         {"size", 1},
                         {"max_out", 1},
                         {"max_out_per_rack", 1}});
  fleet.Apply("dc1-e1", {{"kind", "team"}, {"team", "brewers"}, {"share", 1}, {"upper_limit", 8}});
  const HttpOutcome plan = fleet.Call(
      "dc1-e1", {"POST", "/v1/intents", R"({"kind":"key-grant","key":"k1","team":"brewers"})", {}});
  const json::object view = ParseOrThrow(plan.response.body);
  (void)fleet.Call("dc1-e1",
                   {"POST", "/v1/plans/" + TextOrThrow(view, "plan") + "/confirm", "{}", {}});
  return TextOrThrow(view, "token");
}

}  // namespace

// clang-format off
TEST_GROUP(Trace) {
  TraceFolder folder;
};
// clang-format on

// Guards against a hop that loses the caller's trace context, and against secrets or bodies of
// callers in logs, spans or metrics.
TEST(Trace, FollowsOneRequestFromCallerToBackendServer) {
  Fleet fleet(TwoDaemonsOneWorker());
  for (const std::string& vm : fleet.entries()) {
    setenv("SAPPHIREWHEEL_TRACE_FILE", folder.FileOf(vm).c_str(), 1);
    fleet.Start(vm);
  }
  unsetenv("SAPPHIREWHEEL_TRACE_FILE");
  CHECK_TRUE(fleet.AwaitReady(60s));
  const std::string token = SetUpFleet(fleet);

  // One daemon owns the only worker, so the other one forwards requests once it knows the load of
  // its peer.
  int n = 0;
  std::optional<int> followed;
  const bool found = WaitUntil(
      [&]() {
        for (const std::string& vm : fleet.entries()) {
          (void)fleet.Call(vm, TracedRequest(token, ++n));
        }
        for (int it = 1; it <= n && !followed; ++it) {
          if (ShowsForwardedRequest(folder.SpansOf(TraceId(it)))) followed = it;
        }
        return followed.has_value();
      },
      60s);
  CHECK_TRUE(found);

  const HttpOutcome metrics = fleet.Call("dc1-e1", {"GET", "/metrics", "", {}});
  for (const char* name :
       {"sapphirewheel_requests_total{", "sapphirewheel_request_duration_seconds_bucket{",
        "sapphirewheel_queue_length", "sapphirewheel_running_tasks", "sapphirewheel_tokens_held{",
        "sapphirewheel_tokens_free{", "sapphirewheel_config_version",
        "sapphirewheel_config_age_seconds", "sapphirewheel_live_peers 1",
        "sapphirewheel_pool_moves_total", "sapphirewheel_waves",
        "sapphirewheel_platform_calls_total{"}) {
    STRCMP_CONTAINS(name, metrics.response.body.c_str());
  }
  const std::string secret = token.substr(token.rfind('_') + 1);
  for (const std::string& vm : fleet.entries()) {
    CHECK_TRUE(fleet.Stop(vm, 60s) == 0);
    const std::string log = fleet.Daemon(vm).Output("err");
    for (const char* event : {"name=started", "name=ready", "name=config-applied", "name=peer-seen",
                              "name=stopping", "name=stopped"}) {
      STRCMP_CONTAINS(event, log.c_str());
    }
    const std::string all =
        log + fleet.Daemon(vm).Output("out") + ReadFile(folder.FileOf(vm)) + metrics.response.body;
    CHECK_TRUE(all.find(secret) == std::string::npos);
    CHECK_TRUE(all.find(kBodySecret) == std::string::npos);
  }
  STRCMP_CONTAINS("name=config-confirmed", fleet.Daemon("dc1-e1").Output("err").c_str());
}
