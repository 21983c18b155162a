#include "sapphirewheel/coordination/authentication.h"

#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <cstddef>

namespace sapphirewheel {
namespace {

constexpr std::string_view kPrefix = "swk_";
constexpr std::size_t kSecretBytes = 32;
constexpr std::size_t kHashHexDigits = 64;

std::string Hex(const unsigned char* bytes, std::size_t n) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string text;
  text.reserve(2 * n);
  for (std::size_t i = 0; i < n; ++i) {
    text.push_back(kDigits[bytes[i] >> 4]);
    text.push_back(kDigits[bytes[i] & 0x0f]);
  }
  return text;
}

std::string Sha256Hex(std::string_view text) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int n = 0;
  if (EVP_Digest(text.data(), text.size(), digest.data(), &n, EVP_sha256(), nullptr) != 1) {
    return "";
  }
  return Hex(digest.data(), n);
}

// Compares hashes in constant time. An empty or malformed stored hash matches nothing.
bool SameHash(const std::string& a, const std::string& b) {
  return a.size() == kHashHexDigits && b.size() == kHashHexDigits &&
         CRYPTO_memcmp(a.data(), b.data(), kHashHexDigits) == 0;
}

Error Unauthenticated(std::string message, std::string remedy) {
  return Error{ErrorKind::kUnauthenticated, std::move(message), std::move(remedy),
               RunState::kNotRun, std::nullopt};
}

Error NotFresh() {
  return Error{ErrorKind::kNotFresh,
               "this daemon cannot reach the platform or its peers to check for withdrawn keys",
               "retry later, or use an entry VM of another data centre", RunState::kNotRun,
               Millis(1000)};
}

bool IsCurrent(const Freshness& freshness, MonotonicTime now, Millis bound) {
  return freshness.as_of && now - *freshness.as_of <= bound;
}

bool IsOpen(const ServiceId& service, const FleetConfig& config) {
  return std::any_of(config.pools.begin(), config.pools.end(), [&](const auto& it) {
    const auto& open = it.second.open_services;
    return std::find(open.begin(), open.end(), service) != open.end();
  });
}

struct TokenParts {
  KeyId key;
  std::string_view secret;
};

std::optional<TokenParts> ParseToken(std::string_view token) {
  if (token.substr(0, kPrefix.size()) != kPrefix) return std::nullopt;
  token.remove_prefix(kPrefix.size());
  // Key ids may contain '_'; the secret does not.
  const std::size_t split = token.rfind('_');
  if (split == std::string_view::npos || split == 0 || split + 1 == token.size()) {
    return std::nullopt;
  }
  return TokenParts{KeyId(std::string(token.substr(0, split))), token.substr(split + 1)};
}

}  // namespace

GeneratedKey GenerateKey(const KeyId& key, const RandomSource& random) {
  std::array<unsigned char, kSecretBytes> bytes{};
  for (std::size_t i = 0; i < kSecretBytes; i += 8) {
    const std::uint64_t n = random();
    for (std::size_t j = 0; j < 8; ++j) bytes.at(i + j) = static_cast<unsigned char>(n >> (8 * j));
  }
  const std::string secret = Hex(bytes.data(), bytes.size());
  return GeneratedKey{std::string(kPrefix) + key.str() + "_" + secret, Sha256Hex(secret)};
}

Result<TeamId> Authenticate(std::string_view token, const ServiceId& service,
                            const FleetConfig& config, const Freshness& freshness,
                            MonotonicTime now) {
  const bool fresh = IsCurrent(freshness, now, freshness.max_age);
  if (token.empty()) {
    // Without a fresh configuration, the service may have been opened or closed in the meantime.
    if (!fresh) return NotFresh();
    if (IsOpen(service, config)) return TeamId(kOpenTeam);
    return Unauthenticated("service " + service.str() + " requires a key",
                           "send the header Authorization: Bearer <key>");
  }
  const auto parts = ParseToken(token);
  if (!parts) {
    return Unauthenticated("the bearer token is malformed",
                           "send the token exactly as shown when the key was granted");
  }
  const std::string hash = Sha256Hex(parts->secret);
  const auto it = config.keys.find(parts->key);
  // The key may have been granted in a version that is newer than the applied one.
  if (it == config.keys.end() && !fresh) return NotFresh();
  const std::string unknown(kHashHexDigits, '0');
  const bool known = it != config.keys.end();
  if (!SameHash(hash, known ? it->second.grant.secret_sha256 : unknown) || !known) {
    return Unauthenticated("the key is unknown", "ask an operator for a key");
  }
  if (it->second.withdrawn) {
    return Unauthenticated("the key was withdrawn", "ask an operator for a new key");
  }
  const Millis grace = std::max(freshness.max_age, it->second.grant.isolation_grace);
  if (!fresh && !IsCurrent(freshness, now, grace)) return NotFresh();
  return it->second.grant.team;
}

}  // namespace sapphirewheel
