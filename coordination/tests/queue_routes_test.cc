#include "sapphirewheel/coordination/queue_routes.h"

#include "CppUTest/TestHarness.h"

using namespace sapphirewheel;  // NOLINT(google-build-using-namespace)

namespace {

const QueueId kQueue("q");
const PoolId kFirst("p1");
const PoolId kSecond("p2");

}  // namespace

TEST_GROUP(QueueRoutes){};

TEST(QueueRoutes, KeepsTheCommonOnes) {
  QueueRoutes a;
  a.Add(kQueue, kFirst);
  a.Add(kQueue, kSecond);
  a.Add(QueueId("r"), kFirst);
  QueueRoutes b;
  b.Add(kQueue, kSecond);
  a.Intersect(b);
  CHECK(a == b);
  CHECK(a.Contains(kQueue, kSecond));
  CHECK_FALSE(a.Contains(kQueue, kFirst));
  CHECK(a.PoolsOf(QueueId("r")).empty());
}

TEST(QueueRoutes, ARecordIsReadAsItWasWritten) {
  RouteRecord record;
  record.token = Epoch(7);
  record.routes.Add(kQueue, kFirst);
  record.routes.Add(kQueue, kSecond);
  const auto read = RouteRecord::Decode(record.Encode());
  CHECK(read.has_value());
  CHECK(read->token == Epoch(7));
  CHECK(read->routes == record.routes);
}

TEST(QueueRoutes, ARecordIsNotCompleteIfALaterOwnerStoredAHorizonOnly) {
  RouteRecord record;
  record.token = Epoch(7);
  CHECK(record.IsComplete(Epoch(7)));
  CHECK(record.IsComplete(std::nullopt));
  CHECK_FALSE(record.IsComplete(Epoch(8)));
}

// A row that cannot be read must not look like one without routes: runs may be anywhere.
TEST(QueueRoutes, AMalformedRecordIsAbsent) {
  for (const char* it : {"", "[]", "{}", R"({"token":1})", R"({"token":0,"queues":{}})",
                         R"({"token":1,"queues":[]})", R"({"token":1,"queues":{"q":"p1"}})",
                         R"({"token":1,"queues":{"q":[1]}})"}) {
    CHECK_FALSE(RouteRecord::Decode(it).has_value());
  }
}
