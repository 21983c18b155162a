#pragma once

#include <algorithm>
#include <memory>
#include <string>

#include "sapphirewheel/coordination/dispatch_model.h"
#include "sapphirewheel/state/error.h"

namespace sapphirewheel {

// Decides whether this node may serve a call: resolves the queue and the team of the key, and
// checks that the configuration is recent enough for the decision.
class AdmissionController {
 public:
  struct Settings {
    // Maximum age of the configuration at which a key is accepted.
    Millis key_freshness{3500};
    // Maximum age of the configuration at which a call may be refused for an unknown queue or key,
    // and at which it is accepted while a newer configuration is on the way.
    Millis refusal_freshness{1500};
  };
  struct Admission {
    QueueId queue;
    PoolId pool;
    TeamId team;
    // The path after the queue's prefix; empty for calls to the queue itself.
    std::string path_suffix;
  };

  explicit AdmissionController(Settings settings) : settings_(settings) {}

  // Applies a configuration unless its version is not newer than the present one. Returns whether
  // it was applied.
  bool Apply(std::shared_ptr<const DispatchConfig> config);
  // Records that the present configuration was the newest one at `at`. All times are on a clock
  // that continues while the VM is suspended.
  void Confirm(MonotonicTime at) { confirmed_ = at; }
  // While catching up, a newer configuration may be on the way to this node, and calls are accepted
  // only up to Settings::refusal_freshness.
  void SetCatchingUp(bool catching_up) { catching_up_ = catching_up; }
  // Time since the configuration was last confirmed.
  [[nodiscard]] Millis Age(MonotonicTime now) const { return now - confirmed_; }

  // Errors: kNotFresh (the call was not run and may be retried later), kNotFound, kUnauthenticated.
  [[nodiscard]] Result<Admission> Admit(const std::string& host, const std::string& path,
                                        const std::string& key, MonotonicTime now) const;

  [[nodiscard]] bool Ready(MonotonicTime now) const;
  [[nodiscard]] const std::shared_ptr<const DispatchConfig>& config() const { return config_; }

 private:
  [[nodiscard]] Millis MaxAge() const {
    return catching_up_ ? std::min(settings_.refusal_freshness, settings_.key_freshness)
                        : settings_.key_freshness;
  }

  Settings settings_;
  std::shared_ptr<const DispatchConfig> config_;
  MonotonicTime confirmed_;
  bool catching_up_ = false;
};

}  // namespace sapphirewheel
