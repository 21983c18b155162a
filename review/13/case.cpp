// The owner is killed after a task that lasts has been restarted more than a thousand times.
#include "../platform3.hpp"

using namespace review;

int main(int argc, char** argv) {
  if (argc < 2) return 2;
  const bool trouble = Trouble();
  constexpr int kRestarts = 1016;
  // LOST: nothing runs for 3 s, from 6 s after the task's last run, and with 4 calm seconds before.
  constexpr double kNothingS = 3, kAfterLastRunS = 6, kCalmS = 4;
  Deployment d(argv[1], 2, 6, {}, 3);
  int starts = 0;
  std::int64_t highest = 0;
  bool fails = true;
  double last_end = 0, next_start = -1, killed_at = -1;
  d.hooks.work = [&](const std::string&, std::int64_t, const std::string& spec) {
    if (spec == "steady") return Work{Ms(0), "", true};
    if (spec == "small") return Work{Ms(60), "done", false};
    // Each run fails at once, until the owner is killed.
    return fails ? Work{Ms(1), "failed", false} : Work{Ms(0), "", true};
  };
  const std::string id = "00000000000000e1";
  d.hooks.started = [&](Executor& at, const std::string& task, std::int64_t run) {
    if (task.rfind(id, 0) != 0) return;
    ++starts;
    highest = std::max(highest, run);
    if (!fails && next_start < 0) next_start = d.record.Now();
    if (starts % 100 == 0 || starts > kRestarts - 5) {
      d.record.Say("start number " + std::to_string(starts) + ": " + task + " run " +
                   std::to_string(run) + " on " + at.settings().id);
    }
  };
  d.hooks.ended = [&](Executor&, const std::string& task, std::int64_t, const std::string&) {
    if (task.rfind(id, 0) == 0) last_end = d.record.Now();
  };
  return d.Run([&]() -> Task<int> {
    d.PutConfig(1);
    for (auto& it : d.daemon) it->Start();
    if (!co_await d.AwaitReady(Ms(10'000))) co_return 2;
    co_await Sleep(Ms(1500));
    // One steady task on each executor, so that each is polled all the time.
    const json::object steady{
        {"spec", "steady"},
        {"steps", json::array{json::object{{"count", 3}, {"cpu", 500}, {"mem_mb", 64},
                                           {"perpetual", true}, {"anti_affinity", 1}}}}};
    CallResult other = co_await d.Ask(http::verb::post, "00000000000000e0",
                                      json::serialize(steady), 10);
    if (other.status != 200) co_return 2;
    co_await Sleep(Ms(500));
    // Small jobs of other clients, for another service.
    const std::string small = json::serialize(json::object{
        {"spec", "small"},
        {"steps", json::array{json::object{
                      {"count", 3}, {"cpu", 500}, {"mem_mb", 64}, {"estimate_ms", 60}}}}});
    asio::co_spawn(
        d.io,
        [&]() -> Task<void> {
          for (int n = 1; fails; ++n) {
            char name[17];
            std::snprintf(name, sizeof name, "%016x", 0x10000 + n);
            asio::co_spawn(
                d.io,
                [&, name = std::string(name)]() -> Task<void> {
                  const std::string front = d.daemon[0]->front;
                  (void)co_await Call(front, d.Make(http::verb::post, name, small, "/second/"),
                                      Ms(3000));
                },
                asio::detached);
            co_await Sleep(Ms(50));
          }
        },
        asio::detached);
    const json::object body{
        {"spec", "lasts"},
        {"steps", json::array{json::object{
                      {"count", 1}, {"cpu", 500}, {"mem_mb", 64}, {"perpetual", true}}}}};
    const CallResult result = co_await d.Ask(http::verb::post, id, json::serialize(body), 10);
    d.record.Say("POST " + id + " " + json::serialize(body) + " -> " +
                 std::to_string(result.status));
    if (result.status != 200) co_return 2;
    while (starts < kRestarts && d.record.Now() < 101) co_await Sleep(Ms(5));
    if (starts < kRestarts) {
      d.record.Say("only " + std::to_string(starts) + " starts in time: could not run");
      co_return 2;
    }
    fails = false;
    const int owner = d.Owner();
    if (owner < 0) co_return 2;
    if (trouble) {
      d.daemon[owner]->Kill();
      killed_at = d.record.Now();
      d.record.Say(d.daemon[owner]->name() + ", the owner, is killed");
      co_await Sleep(Ms(500));
      d.daemon[owner]->Start();
    }
    co_await Sleep(Ms(trouble ? 13'500 : 5000));
    const double until = next_start < 0 ? d.record.Now() : next_start;
    const double from = std::max(last_end + kAfterLastRunS, killed_at + kCalmS);
    d.record.Say("highest run " + std::to_string(highest) + "; nothing ran from " +
                 std::to_string(last_end) + " to " +
                 (next_start < 0 ? "the end, " : "") + std::to_string(until));
    d.record.Say("GET " + id + " -> " + (co_await d.StateOf(id)));
    const bool broken = until - from >= kNothingS;
    d.record.Say(broken ? "broken: the task that lasts does not run for " +
                              std::to_string(until - last_end) + " s, with idle executors"
                        : "held");
    co_return broken ? 1 : 0;
  });
}
