#include "sapphirewheel/coordination/authentication.h"

#include <string>

#include "CppUTest/TestHarness.h"

using namespace sapphirewheel;  // NOLINT(google-build-using-namespace)

namespace {

const MonotonicTime kNow(Millis(100000));

Freshness FreshFor(Millis age) { return Freshness{kNow - age, Millis(3000)}; }

}  // namespace

// clang-format off
TEST_GROUP(Authentication) {
  FleetConfig config;
  GeneratedKey key;

  void setup() override {
    std::uint64_t n = 1;
    key = GenerateKey(KeyId("brew_1"), [&n] { return n *= 6364136223846793005ULL; });
    Grant(Millis(0));
    PoolChange pool;
    pool.pool = PoolId("p");
    pool.open_services = {ServiceId("public")};
    config.pools[pool.pool] = pool;
  }
  void Grant(Millis grace) {
    config.keys[KeyId("brew_1")] =
        KeyState{{KeyId("brew_1"), TeamId("brewers"), key.secret_sha256, grace}, false};
  }
  Result<TeamId> Check(const std::string& token, Millis age = Millis(100),
                       const std::string& service = "mix") const {
    return Authenticate(token, ServiceId(service), config, FreshFor(age), kNow);
  }
  ErrorKind Refusal(const std::string& token, Millis age = Millis(100)) const {
    auto result = Check(token, age);
    CHECK_FALSE(result.has_value());
    CHECK_TRUE(result.error().run == RunState::kNotRun);
    return result.error().kind;
  }
};
// clang-format on

// Guards against a token that does not authenticate the team of its key.
TEST(Authentication, TokenFindsItsTeam) {
  CHECK_TRUE(key.token.rfind("swk_brew_1_", 0) == 0);
  CHECK_EQUAL(64U, key.secret_sha256.size());
  CHECK_TRUE(key.token.find(key.secret_sha256) == std::string::npos);
  auto team = Check(key.token);
  CHECK_TRUE(team.has_value() && team.value() == TeamId("brewers"));
}

// Guards against tokens that are accepted without the correct secret.
TEST(Authentication, WrongTokensAreRefused) {
  std::string wrong = key.token;
  wrong.back() = wrong.back() == '0' ? '1' : '0';
  for (const std::string& token :
       {wrong, std::string("swk_brew_1_"), std::string("swk_brew_1"), std::string("swk__"),
        std::string("x"), "swk_other_" + key.secret_sha256, key.token + "0",
        "swk_brew_1_" + key.secret_sha256}) {
    CHECK_TRUE(Refusal(token) == ErrorKind::kUnauthenticated);
  }
}

// Guards against a stored key with an empty hash that matches any secret.
TEST(Authentication, EmptyHashMatchesNothing) {
  config.keys[KeyId("brew_1")].grant.secret_sha256 = "";
  CHECK_TRUE(Refusal(key.token) == ErrorKind::kUnauthenticated);
  CHECK_TRUE(Refusal("swk_brew_1_") == ErrorKind::kUnauthenticated);
}

// Guards against a withdrawn key that is still accepted, with or without an isolation grace.
TEST(Authentication, WithdrawnKeyIsRefused) {
  Grant(Millis(60000));
  config.keys[KeyId("brew_1")].withdrawn = true;
  CHECK_TRUE(Refusal(key.token) == ErrorKind::kUnauthenticated);
  CHECK_TRUE(Refusal(key.token, Millis(5000)) == ErrorKind::kUnauthenticated);
}

// Guards against a disconnected daemon that accepts a key which may have been withdrawn.
TEST(Authentication, StaleDaemonRefusesKeysWithoutGrace) {
  CHECK_TRUE(Check(key.token, Millis(3000)).has_value());
  CHECK_TRUE(Refusal(key.token, Millis(3001)) == ErrorKind::kNotFresh);
  const Freshness never{std::nullopt, Millis(3000)};
  CHECK_FALSE(Authenticate(key.token, ServiceId("mix"), config, never, kNow).has_value());
}

// Guards against an isolation grace that lasts longer than the operator confirmed.
TEST(Authentication, GraceEndsOnTime) {
  Grant(Millis(60000));
  CHECK_TRUE(Check(key.token, Millis(60000)).has_value());
  CHECK_TRUE(Refusal(key.token, Millis(60001)) == ErrorKind::kNotFresh);
  // A grace that is shorter than the maximum age of the configuration does not reduce that age.
  Grant(Millis(1));
  CHECK_TRUE(Check(key.token, Millis(2000)).has_value());
}

// Guards against a new key that is reported as unknown by a daemon whose configuration is not
// fresh.
TEST(Authentication, UnknownKeyAtStaleDaemonIsNotFresh) {
  CHECK_TRUE(Refusal("swk_new_00", Millis(4000)) == ErrorKind::kNotFresh);
  CHECK_TRUE(Refusal("swk_new_00") == ErrorKind::kUnauthenticated);
}

// Guards against accepting work without a key on services that are not open.
TEST(Authentication, OnlyOpenServicesNeedNoKey) {
  auto open = Check("", Millis(100), "public");
  CHECK_TRUE(open.has_value() && open.value() == TeamId(kOpenTeam));
  CHECK_TRUE(Refusal("") == ErrorKind::kUnauthenticated);
  CHECK_FALSE(Check("", Millis(4000), "public").has_value());
  auto keyed = Check(key.token, Millis(100), "public");
  CHECK_TRUE(keyed.has_value() && keyed.value() == TeamId("brewers"));
}
