#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>

#include "sapphirewheel/coordination/worker_report.h"
#include "sapphirewheel/state/units.h"
#include "sapphirewheel/transport/endpoint.h"

namespace sapphirewheel {

// Speaks the backend servers' interface (docs/workers.md) on a thread of its own.
class WorkerClient {
 public:
  struct Settings {
    // Reaches all workers through this proxy by HTTP CONNECT.
    std::optional<Endpoint> proxy;
    // Limit for all calls but the start of a task, which carries its own.
    Millis control_timeout{1500};
    Millis connect_timeout{500};
    // A worker accepts 64 connections in all, and other nodes need some.
    std::size_t connections_per_worker = 24;
    // Calls in progress; further ones are refused without being sent.
    std::size_t max_in_flight = 8192;
    std::size_t max_response_bytes = 64UL * 1024 * 1024;
  };
  // Runs a task on the thread that drives the parts.
  using Post = std::function<void(std::function<void()>)>;

  WorkerClient(const Settings& settings, Post post);
  // As Stop().
  ~WorkerClient();
  WorkerClient(const WorkerClient&) = delete;
  WorkerClient& operator=(const WorkerClient&) = delete;

  // Valid while the client exists. The functions may be called from any thread; each callback is
  // posted exactly once.
  [[nodiscard]] WorkerHooks hooks();

  // Ends all calls, whose callbacks are still posted, and joins the thread.
  void Stop();

  [[nodiscard]] std::size_t InFlight() const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sapphirewheel
