#include <CLI/CLI.hpp>
#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json.hpp>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>
#include <utility>
#include <vector>

#include "sapphirewheel/state/json.h"
#include "sapphirewheel/transport/endpoint.h"
#include "tests/standins/support.h"

namespace sapphirewheel::testing {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using asio::ip::tcp;
using std::chrono::milliseconds;
using TimePoint = MonotonicClock::time_point;

constexpr std::size_t kChunkBytes = 16U << 10U;
// A reader pauses above this size, so that a held direction applies back pressure like a full TCP
// window.
constexpr std::size_t kMaxBufferedBytes = 256U << 10U;

struct Rule {
  std::string id;
  // Prefixes of the listener's name and of the destination "ip:port".
  std::string source;
  std::string destination;
  // cut: bytes and new connections wait until the rule ends. blackhole: bytes are discarded, and
  // the connection is reset when the rule ends. reset: connections are reset and new ones refused.
  // truncate: connections are closed after `bytes` more bytes. delay: bytes arrive `delay` later.
  std::string action;
  // "out" (away from the source), "back" or "both".
  std::string direction;
  milliseconds delay{0};
  std::size_t bytes = 0;
};

// The effect of all matching rules on one direction of a tunnel.
struct Policy {
  bool held = false;
  bool discarded = false;
  bool reset = false;
  milliseconds delay{0};
  const Rule* truncate = nullptr;
};

// One direction of a tunnel. A reader appends to `chunks`, with the time of arrival, and a writer
// takes from it. The timers `data_available` and `space_available` are cancelled to wake them.
struct Pipe {
  Pipe(tcp::socket& source, tcp::socket& sink, const char* name)
      : from(source),
        to(sink),
        direction(name),
        data_available(source.get_executor()),
        space_available(source.get_executor()) {}
  tcp::socket& from;
  tcp::socket& to;
  std::string direction;
  std::deque<std::pair<TimePoint, std::string>> chunks;
  std::size_t buffered_bytes = 0;
  bool ended = false;
  bool finished = false;
  bool has_discarded_bytes = false;
  std::string truncate_rule;
  std::size_t truncate_left = 0;
  asio::steady_timer data_available;
  asio::steady_timer space_available;
};

struct Tunnel {
  Tunnel(tcp::socket socket, std::string name)
      : source(std::move(name)),
        client(std::move(socket)),
        server(client.get_executor()),
        out(client, server, "out"),
        back(server, client, "back") {}
  std::string source;
  std::string destination;
  tcp::socket client;
  tcp::socket server;
  Pipe out;
  Pipe back;

  void Wake() {
    for (auto* timer :
         {&out.data_available, &out.space_available, &back.data_available, &back.space_available}) {
      timer->cancel();
    }
  }
  void Close(bool reset) {
    boost::system::error_code ec;
    for (auto* socket : {&client, &server}) {
      if (reset) socket->set_option(asio::socket_base::linger(true, 0), ec);
      socket->close(ec);
    }
    out.ended = back.ended = true;
    Wake();
  }
};

struct Traffic {
  std::int64_t connections = 0;
  std::int64_t out = 0;
  std::int64_t back = 0;
};

asio::awaitable<void> WaitFor(asio::steady_timer& timer, TimePoint until) {
  boost::system::error_code ec;
  timer.expires_at(until);
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
}

class Proxy {
 public:
  explicit Proxy(asio::io_context& io) : io_(io) {}

  // Accepts tunnels of one source and returns the actual address.
  std::string Listen(const std::string& name, const std::string& address) {
    const Endpoint wanted = ParseEndpoint(address).value();
    auto acceptor = std::make_shared<tcp::acceptor>(
        io_, tcp::endpoint(asio::ip::make_address(wanted.address), wanted.port));
    const Endpoint actual{wanted.address, acceptor->local_endpoint().port()};
    asio::co_spawn(io_, Accept(acceptor, name), asio::detached);
    return actual.str();
  }

  // Operations: add (the fields of Rule, with the delay as "ms"; replaces a rule with the same id),
  // remove (id), clear, status.
  json::object Control(const json::object& body) {
    const std::string op = TextField(body, "op");
    if (op == "add") {
      AddRule(body);
    } else if (op == "remove") {
      rules_.remove_if([&body](const Rule& rule) { return rule.id == TextField(body, "id"); });
    } else if (op == "clear") {
      rules_.clear();
    } else if (op == "status") {
      return Status();
    } else {
      throw std::invalid_argument("unknown operation \"" + op + "\"");
    }
    const auto open = tunnels_;
    for (const auto& tunnel : open) ApplyRules(*tunnel);
    return {};
  }

 private:
  void AddRule(const json::object& body) {
    Rule rule{TextField(body, "id"),
              TextField(body, "source"),
              TextField(body, "destination"),
              TextField(body, "action"),
              TextField(body, "direction", "both"),
              milliseconds(IntField(body, "ms")),
              static_cast<std::size_t>(IntField(body, "bytes"))};
    static const std::set<std::string> actions = {"cut", "blackhole", "reset", "truncate", "delay"};
    static const std::set<std::string> directions = {"both", "out", "back"};
    if (actions.count(rule.action) == 0 || directions.count(rule.direction) == 0) {
      throw std::invalid_argument("unknown action \"" + rule.action + "\" or direction \"" +
                                  rule.direction + "\"");
    }
    rules_.remove_if([&rule](const Rule& other) { return other.id == rule.id; });
    rules_.push_back(std::move(rule));
  }

  [[nodiscard]] json::object Status() const {
    json::array traffic;
    for (const auto& [path, sum] : traffic_) {
      traffic.push_back({{"source", path.first},
                         {"destination", path.second},
                         {"connections", sum.connections},
                         {"out", sum.out},
                         {"back", sum.back}});
    }
    return {{"open", tunnels_.size()}, {"rules", rules_.size()}, {"traffic", std::move(traffic)}};
  }

  [[nodiscard]] Policy PolicyFor(const Tunnel& tunnel, const std::string& direction) const {
    Policy policy;
    for (const Rule& rule : rules_) {
      const bool matches = tunnel.source.starts_with(rule.source) &&
                           tunnel.destination.starts_with(rule.destination);
      if (!matches || (rule.direction != "both" && rule.direction != direction)) continue;
      if (rule.action == "cut") policy.held = true;
      if (rule.action == "blackhole") policy.discarded = true;
      if (rule.action == "reset") policy.reset = true;
      if (rule.action == "delay") policy.delay += rule.delay;
      if (rule.action == "truncate") policy.truncate = &rule;
    }
    return policy;
  }

  // Applies the current rules to an open tunnel.
  void ApplyRules(Tunnel& tunnel) {
    for (Pipe* pipe : {&tunnel.out, &tunnel.back}) {
      const Policy policy = PolicyFor(tunnel, pipe->direction);
      if (policy.reset || (pipe->has_discarded_bytes && !policy.discarded)) {
        return tunnel.Close(true);
      }
      const std::string id = policy.truncate != nullptr ? policy.truncate->id : "";
      if (pipe->truncate_rule != id && policy.truncate != nullptr) {
        pipe->truncate_left = policy.truncate->bytes;
      }
      pipe->truncate_rule = id;
    }
    tunnel.Wake();
  }

  asio::awaitable<void> Accept(std::shared_ptr<tcp::acceptor> acceptor, std::string name) {
    for (;;) {
      boost::system::error_code ec;
      tcp::socket socket =
          co_await acceptor->async_accept(asio::redirect_error(asio::use_awaitable, ec));
      if (ec) continue;
      auto tunnel = std::make_shared<Tunnel>(std::move(socket), name);
      tunnels_.insert(tunnel);
      asio::co_spawn(io_, Open(tunnel), [this, tunnel](const std::exception_ptr& failure) {
        if (failure) CloseTunnel(tunnel);
      });
    }
  }

  void CloseTunnel(const std::shared_ptr<Tunnel>& tunnel) {
    tunnel->Close(false);
    tunnels_.erase(tunnel);
  }

  static asio::awaitable<void> Reply(Tunnel& tunnel, const char* status) {
    const std::string text = std::string("HTTP/1.1 ") + status + "\r\n\r\n";
    co_await asio::async_write(tunnel.client, asio::buffer(text), asio::use_awaitable);
  }

  // Reads the CONNECT request, keeps the bytes that follow it, and connects to the destination as
  // soon as the rules permit.
  asio::awaitable<void> Open(std::shared_ptr<Tunnel> tunnel) {
    std::string head;
    const std::size_t n = co_await asio::async_read_until(
        tunnel->client, asio::dynamic_buffer(head, kChunkBytes), "\r\n\r\n", asio::use_awaitable);
    std::string method;
    std::istringstream(head) >> method >> tunnel->destination;
    const auto destination = ParseEndpoint(tunnel->destination);
    if (method != "CONNECT" || !destination) {
      co_await Reply(*tunnel, "400 Bad Request");
      throw std::invalid_argument("not a CONNECT request with ip:port");
    }
    if (head.size() > n) Enqueue(tunnel->out, head.substr(n));
    asio::co_spawn(io_, Read(tunnel, tunnel->out), asio::detached);
    co_await AwaitPermission(*tunnel);
    boost::system::error_code ec;
    const auto& target = destination.value();
    co_await tunnel->server.async_connect({asio::ip::make_address(target.address), target.port},
                                          asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      co_await Reply(*tunnel, "502 Bad Gateway");
      throw std::runtime_error("the destination refused the connection");
    }
    tunnel->client.set_option(tcp::no_delay(true));
    tunnel->server.set_option(tcp::no_delay(true));
    co_await Reply(*tunnel, "200 Connection Established");
    ++traffic_[{tunnel->source, tunnel->destination}].connections;
    ApplyRules(*tunnel);
    asio::co_spawn(io_, Read(tunnel, tunnel->back), asio::detached);
    asio::co_spawn(io_, Write(tunnel, tunnel->out), asio::detached);
    asio::co_spawn(io_, Write(tunnel, tunnel->back), asio::detached);
  }

  // Waits while the rules hold or discard bytes, then for one round trip of their delays. Throws
  // when the client has closed the connection or a rule refuses it.
  asio::awaitable<void> AwaitPermission(Tunnel& tunnel) {
    std::optional<TimePoint> due;
    for (;;) {
      const Policy out = PolicyFor(tunnel, "out");
      const Policy back = PolicyFor(tunnel, "back");
      if (tunnel.out.ended) throw std::runtime_error("the client closed the connection");
      if (out.reset || back.reset) {
        co_await Reply(tunnel, "502 Bad Gateway");
        throw std::runtime_error("refused by a rule");
      }
      const auto now = MonotonicClock::now();
      if (out.held || back.held || out.discarded || back.discarded) {
        due.reset();
        co_await WaitFor(tunnel.out.data_available, TimePoint::max());
        continue;
      }
      if (!due) due = now + out.delay + back.delay;
      if (*due <= now) co_return;
      co_await WaitFor(tunnel.out.data_available, *due);
    }
  }

  static void Enqueue(Pipe& pipe, std::string bytes) {
    pipe.buffered_bytes += bytes.size();
    pipe.chunks.emplace_back(MonotonicClock::now(), std::move(bytes));
    pipe.data_available.cancel();
  }

  asio::awaitable<void> Read([[maybe_unused]] std::shared_ptr<Tunnel> tunnel, Pipe& pipe) {
    std::array<char, kChunkBytes> buf;
    while (!pipe.ended) {
      if (pipe.buffered_bytes > kMaxBufferedBytes) {
        co_await WaitFor(pipe.space_available, TimePoint::max());
        continue;
      }
      boost::system::error_code ec;
      const std::size_t n = co_await pipe.from.async_read_some(
          asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
      if (n > 0) Enqueue(pipe, std::string(buf.data(), n));
      if (ec) pipe.ended = true;
    }
    pipe.data_available.cancel();
  }

  // Forwards one direction until it has ended. Closes the tunnel when both directions have ended.
  asio::awaitable<void> Write(std::shared_ptr<Tunnel> tunnel, Pipe& pipe) {
    boost::system::error_code ec;
    while (!ec && (!pipe.ended || !pipe.chunks.empty())) {
      const Policy policy = PolicyFor(*tunnel, pipe.direction);
      if (policy.held || pipe.chunks.empty()) {
        if (!pipe.to.is_open()) break;
        co_await WaitFor(pipe.data_available, TimePoint::max());
        continue;
      }
      const TimePoint due = pipe.chunks.front().first + policy.delay;
      if (due > MonotonicClock::now()) {
        co_await WaitFor(pipe.data_available, due);
        continue;
      }
      std::string bytes = std::move(pipe.chunks.front().second);
      pipe.chunks.pop_front();
      pipe.buffered_bytes -= bytes.size();
      pipe.space_available.cancel();
      if (policy.discarded) {
        pipe.has_discarded_bytes = true;
        continue;
      }
      const bool truncated = policy.truncate != nullptr && bytes.size() >= pipe.truncate_left;
      if (truncated) bytes.resize(pipe.truncate_left);
      if (policy.truncate != nullptr) pipe.truncate_left -= bytes.size();
      co_await asio::async_write(pipe.to, asio::buffer(bytes),
                                 asio::redirect_error(asio::use_awaitable, ec));
      Traffic& sum = traffic_[{tunnel->source, tunnel->destination}];
      (pipe.direction == "out" ? sum.out : sum.back) += static_cast<std::int64_t>(bytes.size());
      if (truncated) ec = asio::error::eof;
    }
    if (ec) co_return CloseTunnel(tunnel);
    pipe.to.shutdown(tcp::socket::shutdown_send, ec);
    pipe.finished = true;
    if (tunnel->out.finished && tunnel->back.finished) CloseTunnel(tunnel);
  }

  asio::io_context& io_;
  std::list<Rule> rules_;
  std::set<std::shared_ptr<Tunnel>> tunnels_;
  std::map<std::pair<std::string, std::string>, Traffic> traffic_;
};

}  // namespace
}  // namespace sapphirewheel::testing

int main(int argc, char** argv) {
  using namespace sapphirewheel::testing;  // NOLINT(google-build-using-namespace)
  std::string control = "127.0.0.1:0";
  std::vector<std::string> sources;
  CLI::App app("HTTP CONNECT proxy that injects network faults", "fault_proxy");
  app.add_option("--control", control, "ip:port that serves /control");
  app.add_option("--source", sources, "NAME=ip:port of the listener for a source")->required();
  CLI11_PARSE(app, argc, argv);
  boost::asio::io_context io(1);
  Proxy proxy(io);
  for (const auto& source : sources) {
    const std::size_t split = source.find('=');
    const std::string name = source.substr(0, split);
    AnnounceListening(name, proxy.Listen(name, source.substr(split + 1)));
  }
  HttpServer server(io, [&proxy](const HttpRequest& request, const HttpRespond& respond) {
    respond(HandleControl(request, [&proxy](const auto& body) { return proxy.Control(body); }));
  });
  AnnounceListening("control", server.Listen(control));
  RunUntilSignal(io);
  return 0;
}
