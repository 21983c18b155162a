#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "sapphirewheel/coordination/clock_and_random.h"
#include "sapphirewheel/state/error.h"
#include "sapphirewheel/state/fleet_config.h"

namespace sapphirewheel {

// A newly generated key. The token is shown to the operator once; only the hash is stored.
struct GeneratedKey {
  // The bearer token, "swk_<key id>_<secret>".
  std::string token;
  // SHA-256 hash of the secret, in hex.
  std::string secret_sha256;
};

// Generates the token of a key from 32 bytes of `random`, which must be cryptographically strong
// outside tests.
[[nodiscard]] GeneratedKey GenerateKey(const KeyId& key, const RandomSource& random);

// How up to date a node's configuration is.
struct Freshness {
  // Latest time at which the platform, or all peers, are known to have had nothing newer; empty
  // until this is known for the first time.
  std::optional<MonotonicTime> as_of;
  // The configuration counts as fresh while `as_of` is at most this old.
  Millis max_age{3000};
};

// Returns the team on whose behalf work on a service is accepted. `token` is the bearer token, or
// empty if none was sent. Work without a token is accepted only for open services. Hashes are
// compared in constant time, which protects the secret. Errors: kUnauthenticated (unknown,
// malformed or withdrawn key), kNotFresh (the node cannot know whether the key was withdrawn, and
// the key's isolation grace has ended).
[[nodiscard]] Result<TeamId> Authenticate(std::string_view token, const ServiceId& service,
                                          const FleetConfig& config, const Freshness& freshness,
                                          MonotonicTime now);

}  // namespace sapphirewheel
