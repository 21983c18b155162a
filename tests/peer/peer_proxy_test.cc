#include <atomic>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <memory>
#include <string>
#include <vector>

#include "peer_fixture.h"

#include "CppUTest/TestHarness.h"

using namespace sapphirewheel;  // NOLINT(google-build-using-namespace)
using sapphirewheel::testing::Awaited;
using sapphirewheel::testing::kLongTimeout;
using sapphirewheel::testing::StartServer;
using sapphirewheel::testing::TaskThread;

namespace {

namespace asio = boost::asio;
using Socket = asio::ip::tcp::socket;

// An HTTP proxy that serves CONNECT and can block all connections.
class ConnectProxy {
 public:
  ConnectProxy() : acceptor_(context_, {asio::ip::make_address("127.0.9.1"), 0}) {
    asio::co_spawn(context_, Accept(), asio::detached);
    thread_ = std::thread([this] { context_.run(); });
  }
  ~ConnectProxy() {
    context_.stop();
    thread_.join();
  }
  ConnectProxy(const ConnectProxy&) = delete;
  ConnectProxy& operator=(const ConnectProxy&) = delete;

  [[nodiscard]] std::string address() const {
    return "127.0.9.1:" + std::to_string(acceptor_.local_endpoint().port());
  }
  [[nodiscard]] int tunnels() const { return tunnels_; }
  // Closes all tunnels and refuses new ones, or accepts new ones again.
  void SetBlocked(bool blocked) {
    asio::post(context_, [this, blocked] {
      blocked_ = blocked;
      if (!blocked) return;
      for (const auto& socket : sockets_) {
        boost::system::error_code ignored;
        if (auto held = socket.lock()) held->close(ignored);
      }
    });
  }

 private:
  asio::awaitable<void> Accept() {
    while (true) {
      auto socket = std::make_shared<Socket>(co_await acceptor_.async_accept(asio::use_awaitable));
      if (blocked_) continue;
      asio::co_spawn(context_, Serve(std::move(socket)), asio::detached);
    }
  }

  // An Asio exception ends the coroutine and with it the tunnel.
  asio::awaitable<void> Serve(std::shared_ptr<Socket> client) {
    std::string head;
    const std::size_t n = co_await asio::async_read_until(*client, asio::dynamic_buffer(head),
                                                          "\r\n\r\n", asio::use_awaitable);
    const std::string target = head.substr(8, head.find(' ', 8) - 8);
    if (head.rfind("CONNECT ", 0) != 0) co_return;
    const auto colon = target.rfind(':');
    auto server = std::make_shared<Socket>(context_);
    co_await server->async_connect(
        {asio::ip::make_address(target.substr(0, colon)),
         static_cast<unsigned short>(std::stoi(target.substr(colon + 1)))},
        asio::use_awaitable);
    ++tunnels_;
    sockets_.push_back(client);
    sockets_.push_back(server);
    const std::string ok = "HTTP/1.1 200 OK\r\n\r\n";
    co_await asio::async_write(*client, asio::buffer(ok), asio::use_awaitable);
    co_await asio::async_write(*server, asio::buffer(head.substr(n)), asio::use_awaitable);
    asio::co_spawn(context_, Pump(client, server), asio::detached);
    asio::co_spawn(context_, Pump(server, client), asio::detached);
  }

  static asio::awaitable<void> Pump(std::shared_ptr<Socket> from, std::shared_ptr<Socket> to) {
    std::vector<char> buf(65536);
    boost::system::error_code ec;
    while (!ec) {
      const std::size_t n = co_await from->async_read_some(
          asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
      if (ec) break;
      co_await asio::async_write(*to, asio::buffer(buf.data(), n),
                                 asio::redirect_error(asio::use_awaitable, ec));
    }
    boost::system::error_code ignored;
    from->close(ignored);
    to->close(ignored);
  }

  asio::io_context context_;
  asio::ip::tcp::acceptor acceptor_;
  std::vector<std::weak_ptr<Socket>> sockets_;
  bool blocked_ = false;
  std::atomic<int> tunnels_{0};
  std::thread thread_;
};

}  // namespace

// clang-format off
TEST_GROUP(PeerProxy) {
  TaskThread* tasks = nullptr;
  ConnectProxy* proxy = nullptr;

  void setup() override {
    tasks = new TaskThread;
    proxy = new ConnectProxy;
  }
  void teardown() override {
    delete proxy;
    delete tasks;
  }
  PeerHandlers Handlers() const {
    PeerHandlers handlers;
    handlers.exchange = [](const PeerReport& report, const auto& reply) { reply(report); };
    return handlers;
  }
  PeerResult<PeerReport> Exchange(PeerClient& client, const std::string& address) {
    Awaited<PeerResult<PeerReport>> result;
    client.Exchange(address, PeerReport(), kLongTimeout, result.setter());
    auto value = result.Wait();
    CHECK_TRUE(value.has_value());
    return *value;
  }
};
// clang-format on

// Guards against channels that bypass the proxy, and against channels that do not recover when the
// proxy blocks them for a time.
TEST(PeerProxy, ChannelsPassThroughTheProxy) {
  auto server = StartServer(Handlers(), tasks->post());
  PeerClient::Settings settings;
  settings.proxy = proxy->address();
  PeerClient client(settings, tasks->post());
  const std::string address = server->endpoint().str();
  CHECK_TRUE(Exchange(client, address).has_value());
  CHECK_EQUAL(1, proxy->tunnels());
  proxy->SetBlocked(true);
  // The first failures may still occur on the old connection.
  bool refused = false;
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(20);
  while (!refused && std::chrono::steady_clock::now() < end) {
    auto result = Exchange(client, address);
    refused = !result && result.error().delivery == Delivery::kNotDelivered;
  }
  CHECK_TRUE(refused);
  proxy->SetBlocked(false);
  bool reached = false;
  while (!reached && std::chrono::steady_clock::now() < end) {
    reached = Exchange(client, address).has_value();
  }
  CHECK_TRUE(reached);
  CHECK_TRUE(proxy->tunnels() >= 2);
}

// Guards against using a proxy although the settings name none.
TEST(PeerProxy, NoProxyWithoutSetting) {
  auto server = StartServer(Handlers(), tasks->post());
  PeerClient client({}, tasks->post());
  CHECK_TRUE(Exchange(client, server->endpoint().str()).has_value());
  CHECK_EQUAL(0, proxy->tunnels());
}
