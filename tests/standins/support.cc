#include "tests/standins/support.h"

#include <sys/resource.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json/array.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <memory>
#include <utility>

#include "sapphirewheel/state/json.h"

namespace sapphirewheel::testing {

std::int64_t MonotonicMicros() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             MonotonicClock::now().time_since_epoch())
      .count();
}

void RunUntilSignal(boost::asio::io_context& io) {
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  setrlimit(RLIMIT_NOFILE, &files);
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&io](const boost::system::error_code&, int) { io.stop(); });
  io.run();
}

void AnnounceListening(const std::string& name, const std::string& address) {
  std::printf("listening %s %s\n", name.c_str(), address.c_str());
  std::fflush(stdout);
}

void After(boost::asio::io_context& io, std::chrono::milliseconds delay,
           std::function<void()> action) {
  if (delay.count() <= 0) return action();
  auto timer = std::make_shared<boost::asio::steady_timer>(io, delay);
  timer->async_wait([timer, action = std::move(action)](const boost::system::error_code& ec) {
    if (!ec) action();
  });
}

HttpResponse JsonResponse(int status, const boost::json::object& body) {
  return {.status = status, .body = boost::json::serialize(body)};
}

HttpResponse HandleControl(
    const HttpRequest& request,
    const std::function<boost::json::object(const boost::json::object&)>& handler) {
  try {
    return JsonResponse(200, handler(ParseOrThrow(request.body)));
  } catch (const std::exception& e) {
    return JsonResponse(400, {{"error", e.what()}});
  }
}

boost::json::object ParseOrThrow(const std::string& text) {
  return boost::json::parse(text).as_object();
}

std::string TextOrThrow(const boost::json::object& object, const char* name) {
  return std::string(object.at(name).as_string());
}

std::string PercentDecode(std::string_view text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned value = 0;
    if (text[i] == '%' && i + 2 < text.size() &&
        std::from_chars(&text[i + 1], &text[i + 1] + 2, value, 16).ec == std::errc()) {
      out += static_cast<char>(value);
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

void FaultTrigger::Set(const boost::json::object& fields) {
  next_ = IntField(fields, "next");
  probability_ = DoubleField(fields, "probability");
  random_.seed(static_cast<std::uint64_t>(IntField(fields, "seed", 1)));
}

bool FaultTrigger::Fires() {
  if (next_ > 0) {
    --next_;
    return true;
  }
  return probability_ > 0 && std::uniform_real_distribution<>(0, 1)(random_) < probability_;
}

void TokenBucket::SetRate(double rate) {
  rate_ = rate;
  tokens_ = rate;
  filled_ = MonotonicClock::now();
}

bool TokenBucket::Take(double units) {
  const auto now = MonotonicClock::now();
  const double passed = std::chrono::duration<double>(now - filled_).count();
  tokens_ = std::min(rate_, tokens_ + rate_ * passed);
  filled_ = now;
  if (tokens_ < units) return false;
  tokens_ -= units;
  return true;
}

void EventLog::Add(boost::json::object event) {
  event["at_us"] = MonotonicMicros();
  event["seq"] = events_.size();
  events_.push_back(boost::json::serialize(event));
}

boost::json::object EventLog::Show(std::size_t after, std::size_t limit) const {
  boost::json::array shown;
  std::size_t i = after;
  for (; i < events_.size() && shown.size() < limit; ++i) {
    shown.push_back(boost::json::parse(events_[i]));
  }
  return {{"events", std::move(shown)}, {"next", i}};
}

}  // namespace sapphirewheel::testing
