#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

#include "request_parsing.h"

namespace sapphirewheel {

// The reply that a connection waits for.
struct PendingReply {
  bool ready = false;
  HttpReply reply;
  // Cancelled to wake up the connection; null once it no longer waits. Used on the server's thread
  // only.
  boost::asio::steady_timer* wakeup_timer = nullptr;
};

// Passes the reply from any thread to the server's thread.
class Responder {
 public:
  Responder(std::shared_ptr<boost::asio::io_context> context, std::shared_ptr<PendingReply> pending)
      : context_(std::move(context)), pending_(std::move(pending)) {}
  ~Responder() {
    if (used_) return;
    Send(ProblemReply(Error{ErrorKind::kInternal, "the request was dropped without a reply",
                            "check the outcome before repeating the request", RunState::kUnknown,
                            std::nullopt}));
  }
  Responder(const Responder&) = delete;
  Responder& operator=(const Responder&) = delete;

  void Send(HttpReply reply) {
    if (used_.exchange(true)) return;
    boost::asio::post(*context_, [pending = pending_, reply = std::move(reply)]() mutable {
      pending->reply = std::move(reply);
      pending->ready = true;
      if (pending->wakeup_timer != nullptr) pending->wakeup_timer->cancel();
    });
  }

 private:
  // Shared, as the reply may come after the server has been destroyed.
  std::shared_ptr<boost::asio::io_context> context_;
  std::shared_ptr<PendingReply> pending_;
  std::atomic<bool> used_ = false;
};

}  // namespace sapphirewheel
