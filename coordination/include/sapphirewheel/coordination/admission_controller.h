#pragma once

#include <memory>
#include <string>

#include "sapphirewheel/coordination/dispatch_model.h"
#include "sapphirewheel/state/error.h"

namespace sapphirewheel {

// Decides whether a caller's call may be served by this node: which queue it is for, which team's
// key it carries, and whether the configuration is recent enough to say so.
class AdmissionController {
 public:
  struct Settings {
    // Age of the configuration up to which a key is accepted.
    Millis key_freshness{3500};
    // Age up to which a call may be refused for a missing queue or key.
    Millis refusal_freshness{1500};
  };
  struct Admission {
    QueueId queue;
    PoolId pool;
    TeamId team;
    // What follows the queue's prefix; empty for calls to the queue itself.
    std::string rest;
  };

  explicit AdmissionController(Settings settings) : settings_(settings) {}

  // A configuration that was read; older versions are ignored. Returns whether it was taken.
  bool Apply(std::shared_ptr<const DispatchConfig> config);
  // The configuration in force was confirmed to be the newest as of `at`. Times are on a clock that
  // goes on while the VM is suspended.
  void Confirm(MonotonicTime at) { confirmed_ = at; }
  // Time since then.
  [[nodiscard]] Millis Age(MonotonicTime now) const { return now - confirmed_; }

  // Errors: kNotFresh (not run, retry later), kNotFound, kUnauthenticated.
  [[nodiscard]] Result<Admission> Admit(const std::string& host, const std::string& path,
                                        const std::string& key, MonotonicTime now) const;

  [[nodiscard]] bool Ready(MonotonicTime now) const;
  [[nodiscard]] const std::shared_ptr<const DispatchConfig>& config() const { return config_; }

 private:
  Settings settings_;
  std::shared_ptr<const DispatchConfig> config_;
  MonotonicTime confirmed_;
};

}  // namespace sapphirewheel
