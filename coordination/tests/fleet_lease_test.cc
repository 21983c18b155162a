#include "sapphirewheel/coordination/fleet_lease.h"

#include "CppUTest/TestHarness.h"

using namespace sapphirewheel;  // NOLINT(google-build-using-namespace)

namespace {

MonotonicTime At(int ms) { return MonotonicTime(Millis(ms)); }

FleetLease NewLease(const char* self) {
  FleetLease::Settings settings;
  settings.self = NodeId(self);
  settings.lease = Millis(2000);
  settings.renew_interval = Millis(500);
  settings.takeover_margin = Millis(300);
  return FleetLease(settings);
}

OwnerRow Row(const char* holder, std::uint64_t token) {
  return OwnerRow{NodeId(holder), Epoch(token), false, UnixMillis(1000)};
}

}  // namespace

TEST_GROUP(FleetLease){};

// Guards against orders that outlive the ownership in which they were given: a permit moves with
// the renewals of its ownership and ends with it, also when the same node takes the next one.
TEST(FleetLease, PermitsOfAnOwnershipEndWithIt) {
  FleetLease lease = NewLease("a#1");
  CHECK(lease.permit().ends() <= At(0));
  lease.Observe(std::nullopt, Revision(), At(10));
  const auto claim = lease.Claim(At(10));
  lease.OnWriteSucceeded(claim->row, Revision(5), At(10));
  const OrderPermit first = lease.permit();
  CHECK(first.token() == Epoch(1));
  CHECK(first.ends() == At(2010));
  lease.OnWriteSucceeded(*lease.row(), Revision(6), At(600));
  CHECK(first.ends() == At(2600));
  lease.StepDown();
  CHECK(first.ends() <= At(0));
  lease.Observe(Row("b#1", 2), Revision(9), At(700));
  const auto next = lease.Claim(At(9000));
  CHECK(next.has_value());
  lease.OnWriteSucceeded(next->row, Revision(12), At(9000));
  CHECK(lease.permit().token() == Epoch(3));
  CHECK(lease.permit().ends() == At(11000));
  CHECK(first.ends() <= At(0));
}

// Guards against a takeover from a holder that could not renew only because the table service was
// away: all nodes see the service return at the same time.
TEST(FleetLease, TheHolderHasTimeToRenewAfterAnOutage) {
  FleetLease lease = NewLease("a#1");
  lease.Observe(Row("b#1", 4), Revision(9), At(100));
  lease.OnUnreadable();
  CHECK_FALSE(lease.Claim(At(1000)).has_value());
  lease.Observe(Row("b#1", 4), Revision(9), At(5000));
  CHECK_FALSE(lease.Claim(At(5600)).has_value());
  CHECK(lease.Claim(At(5700)).has_value());
}

// Guards against orders to VMs of an owner that cannot store them.
TEST(FleetLease, ARenewalIsRecentForHalfOfTheLease) {
  FleetLease lease = NewLease("a#1");
  lease.Observe(std::nullopt, Revision(), At(10));
  CHECK_FALSE(lease.RenewedRecently(At(10)));
  lease.OnWriteSucceeded(lease.Claim(At(10))->row, Revision(5), At(10));
  CHECK(lease.RenewedRecently(At(1000)));
  CHECK_FALSE(lease.RenewedRecently(At(1010)));
  lease.OnWriteSucceeded(*lease.row(), Revision(6), At(1500));
  CHECK(lease.RenewedRecently(At(2400)));
}

// Guards against orders that are still under way when the ownership is given back.
TEST(FleetLease, PermitsEndWithARelease) {
  FleetLease lease = NewLease("a#1");
  lease.Observe(std::nullopt, Revision(), At(10));
  lease.OnWriteSucceeded(lease.Claim(At(10))->row, Revision(5), At(10));
  const OrderPermit permit = lease.permit();
  lease.OnWriteSucceeded(lease.Release().row, Revision(6), At(200));
  CHECK(permit.ends() <= At(0));
}

// Guards against a permit that outlives an ownership that another node has taken.
TEST(FleetLease, PermitsEndWhenAnotherHolderIsSeen) {
  FleetLease lease = NewLease("a#1");
  lease.Observe(std::nullopt, Revision(), At(10));
  lease.OnWriteSucceeded(lease.Claim(At(10))->row, Revision(5), At(10));
  const OrderPermit permit = lease.permit();
  lease.Observe(Row("b#1", 2), Revision(9), At(300));
  CHECK(permit.ends() <= At(0));
}

// Guards against an owner that takes the row again at once after it gave it back because it could
// not load; the row counts such owners, so that later ones get more time.
TEST(FleetLease, CountsOwnersThatDidNotLoadAndBacksOff) {
  FleetLease lease = NewLease("a#1");
  lease.Observe(std::nullopt, Revision(), At(0));
  const auto first = lease.Claim(At(0));
  LONGS_EQUAL(1, first->row.loads_failed);
  lease.OnWriteSucceeded(first->row, Revision(5), At(0));
  lease.BackOff(At(9000));
  lease.OnWriteSucceeded(lease.Release().row, Revision(6), At(4000));
  CHECK_FALSE(lease.Claim(At(8999)).has_value());
  const auto again = lease.Claim(At(9000));
  CHECK(again.has_value());
  LONGS_EQUAL(2, again->row.loads_failed);
  LONGS_EQUAL(2, OwnerRow::Decode(again->row.Encode()).value().loads_failed);
  lease.OnWriteSucceeded(again->row, Revision(9), At(9000));
  lease.MarkLoaded();
  LONGS_EQUAL(0, lease.Renewal().row.loads_failed);
}

// Guards against a weak VM that keeps the ownership while strong ones are up: they ask for it, and
// the one that the released row names claims it first.
TEST(FleetLease, AMoreCapableNodeAsksForTheOwnershipAndClaimsItFirst) {
  FleetLease::Settings settings;
  settings.self = NodeId("strong#1");
  settings.takeover_margin = Millis(300);
  FleetLease strong(settings);
  settings.self = NodeId("other#1");
  FleetLease other(settings);
  OwnerRow row = Row("weak#1", 3);
  row.capability = 24;
  strong.Observe(row, Revision(7), At(0));
  other.Observe(row, Revision(7), At(0));
  // The holder may have failed; a request would delay the takeover.
  CHECK_FALSE(strong.Request(At(400)).has_value());
  strong.Observe(row, Revision(8), At(500));
  const auto request = strong.Request(At(500));
  CHECK(request.has_value());
  CHECK(request->expected == Revision(8));
  CHECK(request->row.holder == row.holder);
  CHECK(request->row.token == row.token);
  CHECK(request->row.successor == NodeId("strong#1"));
  strong.OnRequestWritten(request->row, Revision(9), At(510));
  other.Observe(request->row, Revision(9), At(510));
  CHECK_FALSE(other.Request(At(600)).has_value());
  OwnerRow released = OwnerRow::Decode(request->row.Encode()).value();
  LONGS_EQUAL(24, released.capability);
  released.released = true;
  other.Observe(released, Revision(10), At(700));
  strong.Observe(released, Revision(10), At(700));
  CHECK_FALSE(other.Claim(At(1100)).has_value());
  const auto claim = strong.Claim(At(700));
  CHECK(claim.has_value());
  CHECK(claim->row.successor.empty());
  LONGS_EQUAL(100, claim->row.capability);
  // A successor that has failed meanwhile does not block the others.
  CHECK(other.Claim(At(1200)).has_value());
}

TEST(FleetLease, NodesOfAboutTheSameCapabilityDoNotAskForTheOwnership) {
  FleetLease lease = NewLease("a#1");
  OwnerRow row = Row("b#1", 3);
  row.capability = 80;
  lease.Observe(row, Revision(7), At(0));
  lease.Observe(row, Revision(8), At(500));
  CHECK_FALSE(lease.Request(At(900)).has_value());
}

// Guards against a request that ends or prolongs the holder's ownership by itself.
TEST(FleetLease, ARequestDoesNotChangeTheLeaseOfTheHolder) {
  FleetLease lease = NewLease("a#1");
  lease.Observe(std::nullopt, Revision(), At(10));
  lease.OnWriteSucceeded(lease.Claim(At(10))->row, Revision(5), At(10));
  CHECK_FALSE(lease.asked_to_release());
  OwnerRow asked = *lease.row();
  asked.successor = NodeId("b#1");
  lease.Observe(asked, Revision(6), At(1000));
  CHECK(lease.asked_to_release());
  CHECK(lease.MayAct(At(2009)));
  CHECK_FALSE(lease.MayAct(At(2010)));
  CHECK(lease.Release().row.successor == NodeId("b#1"));
}

TEST(FleetLease, TakesAnAbsentRowAtOnceAndActsForTheLease) {
  FleetLease lease = NewLease("a#1");
  CHECK_FALSE(lease.Claim(At(0)).has_value());
  lease.Observe(std::nullopt, Revision(), At(10));
  const auto claim = lease.Claim(At(10));
  CHECK(claim.has_value());
  CHECK(claim->expected == Revision());
  CHECK(claim->row.token == Epoch(1));
  lease.OnWriteSucceeded(claim->row, Revision(5), At(10));
  CHECK(lease.MayAct(At(2009)));
  CHECK_FALSE(lease.MayAct(At(2010)));
  CHECK(lease.RenewalDue(At(510)));
}

TEST(FleetLease, WaitsForTheLeaseOfAnotherVm) {
  FleetLease lease = NewLease("b#1");
  lease.Observe(Row("a#1", 3), Revision(7), At(100));
  CHECK_FALSE(lease.Claim(At(2399)).has_value());
  // A renewal changes the revision and restarts the wait.
  lease.Observe(Row("a#1", 3), Revision(8), At(2000));
  CHECK_FALSE(lease.Claim(At(4299)).has_value());
  const auto claim = lease.Claim(At(4300));
  CHECK(claim.has_value());
  CHECK(claim->row.token == Epoch(4));
  CHECK(claim->expected == Revision(8));
}

TEST(FleetLease, ReadingTheSameRevisionAgainDoesNotProlongTheWait) {
  FleetLease lease = NewLease("b#1");
  lease.Observe(Row("a#1", 3), Revision(7), At(100));
  CHECK(lease.Claim(At(2400)).has_value());
  lease.OnWriteFailed();
  CHECK_FALSE(lease.Claim(At(2450)).has_value());
  lease.Observe(Row("a#1", 3), Revision(7), At(2460));
  CHECK(lease.Claim(At(2460)).has_value());
}

TEST(FleetLease, TakesOverAtOnceFromAnEarlierProcessOfItsVm) {
  FleetLease lease = NewLease("a#2");
  lease.Observe(Row("a#1", 3), Revision(7), At(100));
  const auto claim = lease.Claim(At(100));
  CHECK(claim.has_value());
  CHECK(claim->row.token == Epoch(4));
}

TEST(FleetLease, TakesAReleasedRow) {
  FleetLease lease = NewLease("b#1");
  OwnerRow row = Row("a#1", 3);
  row.released = true;
  lease.Observe(row, Revision(7), At(100));
  // This node started before the holder, so younger nodes claim first.
  CHECK_FALSE(lease.Claim(At(100)).has_value());
  CHECK(lease.Claim(At(250)).has_value());
}

TEST(FleetLease, YoungerNodesClaimFirstAfterARelease) {
  FleetLease::Settings settings;
  settings.self = NodeId("c#1");
  settings.started = UnixMillis(5000);
  FleetLease lease(settings);
  OwnerRow row = Row("a#1", 3);
  row.released = true;
  lease.Observe(row, Revision(7), At(100));
  CHECK(lease.Claim(At(100)).has_value());
}

// While the table service is slow, renewals are read late.
TEST(FleetLease, WaitsLongerWhileTheStoreIsSlow) {
  FleetLease lease = NewLease("b#1");
  lease.Observe(Row("a#1", 3), Revision(7), At(0));
  CHECK_FALSE(lease.Claim(At(3000), Millis(300)).has_value());
  CHECK(lease.Claim(At(3200), Millis(300)).has_value());
}

TEST(FleetLease, StopsActingWhenAnotherHolderIsSeen) {
  FleetLease lease = NewLease("a#1");
  lease.Observe(std::nullopt, Revision(), At(0));
  lease.OnWriteSucceeded(lease.Claim(At(0))->row, Revision(5), At(0));
  lease.Observe(Row("b#1", 2), Revision(9), At(100));
  CHECK_FALSE(lease.MayAct(At(100)));
  CHECK_FALSE(lease.owner());
}

TEST(FleetLease, RowRoundTrips) {
  OwnerRow row = Row("a#1", 12);
  row.released = true;
  const auto again = OwnerRow::Decode(row.Encode());
  CHECK(again.has_value());
  CHECK(again.value().holder == row.holder);
  CHECK(again.value().token == Epoch(12));
  CHECK(again.value().released);
  CHECK_FALSE(OwnerRow::Decode("{}").has_value());
  CHECK_FALSE(OwnerRow::Decode(R"({"holder":"a#1","token":1,"capability":"much"})").has_value());
}
