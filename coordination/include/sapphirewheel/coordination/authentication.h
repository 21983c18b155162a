#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "sapphirewheel/coordination/clock_and_random.h"
#include "sapphirewheel/state/error.h"
#include "sapphirewheel/state/fleet_config.h"

namespace sapphirewheel {

// A new key: the token is shown to the operator once, only its hash is stored.
struct GeneratedKey {
  // "swk_<key id>_<secret>", the bearer token.
  std::string token;
  std::string secret_sha256;
};

// Makes the token of a key from 32 random bytes of `random`, which must be cryptographically
// strong outside tests.
[[nodiscard]] GeneratedKey GenerateKey(const KeyId& key, const RandomSource& random);

// How up to date a node's configuration is.
struct Freshness {
  // Latest time at which nothing newer existed at the platform or at all peers; none at the start.
  std::optional<MonotonicTime> as_of;
  Millis max_age{3000};
};

// Finds the team for work on a service. `token` is the bearer token, empty when none came. Work
// without a token is accepted only for open services. A constant-time comparison of the hash
// protects the secret. Errors: kUnauthenticated (unknown, malformed or withdrawn key), kNotFresh
// (the node cannot know whether the key was withdrawn and its isolation grace is over).
[[nodiscard]] Result<TeamId> Authenticate(std::string_view token, const ServiceId& service,
                                          const FleetConfig& config, const Freshness& freshness,
                                          MonotonicTime now);

}  // namespace sapphirewheel
