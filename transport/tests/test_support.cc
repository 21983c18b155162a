#include "transport/tests/test_support.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <memory>

// The header of the leak check needs the types of TestHarness.h.
// clang-format off
#include "CppUTest/TestHarness.h"
#include "CppUTest/MemoryLeakWarningPlugin.h"
// clang-format on

namespace sapphirewheel {
namespace {

sockaddr_in Loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}

int Listen(std::uint16_t& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = Loopback(0);
  socklen_t size = sizeof(address);
  ::bind(fd, reinterpret_cast<sockaddr*>(&address), size);
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  constexpr int kBacklog = 256;
  ::listen(fd, kBacklog);
  return fd;
}

}  // namespace

void EnableThreadSafeLeakCheck() { MemoryLeakWarningPlugin::turnOnThreadSafeNewDeleteOverloads(); }

std::unique_ptr<TestSocket> TestSocket::Connect(const Endpoint& peer) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval timeout{kWaitTimeout.count(), 0};
  ::setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
  sockaddr_in address = Loopback(peer.port);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0) {
    ::close(fd);
    return std::make_unique<TestSocket>(-1);
  }
  return std::make_unique<TestSocket>(fd);
}

void TestSocket::Send(const std::string& text) const {
  std::size_t sent = 0;
  while (sent < text.size()) {
    const auto n = ::send(fd_, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return;
    sent += static_cast<std::size_t>(n);
  }
}

bool TestSocket::Fill() {
  char bytes[16384];
  const auto n = ::recv(fd_, bytes, sizeof(bytes), 0);
  if (n <= 0) return false;
  input_.append(bytes, static_cast<std::size_t>(n));
  return true;
}

std::string TestSocket::ReadMessage() {
  std::size_t end = std::string::npos;
  while ((end = input_.find("\r\n\r\n")) == std::string::npos) {
    if (!Fill()) return std::exchange(input_, "");
  }
  end += 4;
  const std::string name = "Content-Length: ";
  const auto at = input_.find(name);
  const std::size_t length =
      at < end ? std::strtoul(input_.c_str() + at + name.size(), nullptr, 10) : 0;
  while (input_.size() < end + length) {
    if (!Fill()) return std::exchange(input_, "");
  }
  std::string message = input_.substr(0, end + length);
  input_.erase(0, end + length);
  return message;
}

std::string TestSocket::ReadAll() {
  while (Fill()) {
  }
  return std::exchange(input_, "");
}

bool TestSocket::AwaitReset() {
  char bytes[16384];
  ssize_t n = 0;
  while ((n = ::recv(fd_, bytes, sizeof(bytes), 0)) > 0) {
  }
  return n < 0 && errno == ECONNRESET;
}

void TestSocket::Close() {
  if (fd_ >= 0) ::close(fd_);
  fd_ = -1;
}

void TestSocket::Reset() {
  const linger abort{1, 0};
  ::setsockopt(fd_, SOL_SOCKET, SO_LINGER, &abort, sizeof(abort));
  Close();
}

FakeServer::FakeServer(Script script) : script_(std::move(script)) {
  listener_ = Listen(port_);
  acceptor_ = std::thread([this] { Accept(); });
}

void FakeServer::Accept() {
  while (!stopping_) {
    const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) return;
    const int number = connections_++;
    threads_.emplace_back([this, fd, number] {
      TestSocket socket(fd);
      script_(socket, number);
    });
  }
}

FakeServer::~FakeServer() {
  stopping_ = true;
  ::shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  ::close(listener_);
  for (auto& thread : threads_) thread.join();
}

std::string HttpResponseText(int status, const std::string& body, const std::string& header_lines) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + header_lines +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

Endpoint ClosedEndpoint() {
  Endpoint endpoint{"127.0.0.1", 0};
  ::close(Listen(endpoint.port));
  return endpoint;
}

bool WaitFor(const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kWaitTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > deadline) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

}  // namespace sapphirewheel
