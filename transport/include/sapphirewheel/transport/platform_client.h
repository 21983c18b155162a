#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <vector>

#include "sapphirewheel/state/fleet_view.h"
#include "sapphirewheel/state/ids.h"
#include "sapphirewheel/state/table.h"
#include "sapphirewheel/state/units.h"
#include "sapphirewheel/transport/endpoint.h"

namespace sapphirewheel {

// A client of the platform's interface (docs/platform.md) with a thread of its own.
class PlatformClient {
 public:
  struct Settings {
    // At least one; tried in turn.
    std::vector<Endpoint> endpoints;
    std::optional<Endpoint> proxy;
    // Time limit of one attempt of a call.
    Millis call_timeout{2000};
    // Time limit for the repetitions that determine the outcome of a transaction whose response was
    // lost.
    Millis settle_deadline{10000};
    // Maximum number of calls in progress; further ones are refused as unavailable.
    std::size_t max_in_flight = 256;
  };
  // Runs a task on the thread that owns the coordination components.
  using Post = std::function<void(std::function<void()>)>;
  using ListCallback = std::function<void(Result<VmList>)>;

  PlatformClient(Settings settings, Post post);
  // As Stop().
  ~PlatformClient();
  PlatformClient(const PlatformClient&) = delete;
  PlatformClient& operator=(const PlatformClient&) = delete;

  // Valid for the lifetime of the client. The functions are thread-safe, and each callback is
  // posted exactly once. Errors: kPlatformUnavailable, with the run state "unknown" where a write
  // may have taken effect; kNotFound for objects.
  [[nodiscard]] TableHooks hooks();

  void ListVms(ListCallback done);

  // Errors: kNotFound, kPlatformUnavailable (run state "unknown" when the VM may reboot).
  void Reboot(const VmId& vm, DoneCallback done);

  // Ends all calls, still posting their callbacks, and joins the thread.
  void Stop();

  [[nodiscard]] std::size_t InFlight() const noexcept;

 private:
  struct Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace sapphirewheel
