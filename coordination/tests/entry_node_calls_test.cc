#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "sapphirewheel/coordination/entry_node.h"
#include "sapphirewheel/coordination/job_progress.h"
#include "sapphirewheel/coordination/stored_job.h"

#include "CppUTest/TestHarness.h"

using namespace sapphirewheel;  // NOLINT(google-build-using-namespace)

namespace {

constexpr const char* kOperatorTable = "operator";
constexpr const char* kHost = "jobs.example";
const JobId kJob("00000000000000a1");
constexpr std::size_t kPayloadBytes = 4000;

// A table service that carries out each call when the test asks for it, the oldest read first.
class SteppedStore final : public RowStore {
 public:
  std::map<RowAddress, std::string> rows;
  // Transactions that wait for CommitOldest or LoseOldest.
  std::deque<std::pair<RowTransaction, RowsCallback>> transactions;

  void Commit(const RowTransaction& tx, Millis, RowsCallback done) override {
    transactions.emplace_back(tx, std::move(done));
  }
  void ListParts(const std::string&, const std::string&, const ReplyLimits&,
                 PartsCallback) override {}
  void Follow(const std::string&, Revision, Millis, const ReplyLimits&, RowsCallback) override {}
  void Read(const RowRange& range, const ReplyLimits&, RowsCallback done) override {
    reads_.emplace_back(range, std::move(done));
  }

  // Carries out the oldest read; false if none is waiting.
  bool ServeOne() {
    if (reads_.empty()) return false;
    const auto [range, done] = std::move(reads_.front());
    reads_.pop_front();
    RowsReply reply;
    reply.outcome = StoreOutcome::kDone;
    for (const auto& [at, value] : rows) {
      const bool inside = at.table == range.table && at.part == range.part &&
                          at.key >= range.from && (range.to.empty() || at.key < range.to);
      if (inside) reply.rows.push_back(StoredRow{at, value, RevisionOf(at), false});
    }
    done(reply);
    return true;
  }
  // Carries out all reads and transactions.
  void ServeAll() {
    while (ServeOne() || CommitOldest()) {
    }
  }
  // Carries out the oldest transaction; false if none is waiting.
  bool CommitOldest() {
    if (transactions.empty()) return false;
    const auto [tx, done] = std::move(transactions.front());
    transactions.pop_front();
    done(Apply(tx));
    return true;
  }
  // Tells the sender of the oldest transaction that its outcome is unknown, and returns it.
  RowTransaction LoseOldest() {
    const auto [tx, done] = std::move(transactions.front());
    transactions.pop_front();
    done(RowsReply{});
    return tx;
  }
  RowsReply Apply(const RowTransaction& tx) {
    RowsReply reply;
    reply.outcome = StoreOutcome::kDone;
    for (const auto& [at, revision] : tx.expected) {
      if (RevisionOf(at) != revision) reply.outcome = StoreOutcome::kConflict;
      if (const auto it = rows.find(at); it != rows.end()) {
        reply.rows.push_back(StoredRow{at, it->second, RevisionOf(at), false});
      }
    }
    if (reply.outcome == StoreOutcome::kConflict) return reply;
    reply.rows.clear();
    ++newest_;
    for (const auto& [at, value] : tx.writes) {
      rows[at] = value;
      revisions_[at] = Revision(newest_);
    }
    for (const RowAddress& at : tx.removes) rows.erase(at);
    return reply;
  }

 private:
  std::deque<std::pair<RowRange, RowsCallback>> reads_;
  // Rows that a test has put there have the first revision.
  Revision RevisionOf(const RowAddress& at) const {
    if (rows.count(at) == 0) return Revision();
    const auto it = revisions_.find(at);
    return it == revisions_.end() ? Revision(1) : it->second;
  }

  std::map<RowAddress, Revision> revisions_;
  std::uint64_t newest_ = 1;
};

class NoBackends final : public BackendServers {
 public:
  void Start(const StartOrder&, const OrderPermit&,
             std::function<void(const OrderReply&)>) override {}
  void Stop(const StopOrder&, const OrderPermit&, std::function<void(const OrderReply&)>) override {
  }
  void Poll(const PollOrder&, const OrderPermit&, std::function<void(const PollReply&)>) override {}
  void Pace(const PaceOrder&, const OrderPermit&, std::function<void(const OrderReply&)>) override {
  }
};

// Knows one queue, which is open to all.
class OneQueueCodec final : public PlatformCodec {
 public:
  OneQueueCodec() { spec.steps.resize(1); }
  // What each call submits.
  WorkSpec spec;
  std::string OperatorTable() const override { return kOperatorTable; }
  std::string RegistryTable() const override { return "registry"; }
  std::optional<DispatchConfig> Config(const StoredRow& row) const override {
    if (row.at.table != kOperatorTable) return std::nullopt;
    DispatchConfig config;
    config.version = ConfigVersion(1);
    QueuePolicy queue{QueueId("press"), kHost, "/press/", PoolId("press")};
    queue.open = true;
    config.queues = {queue};
    return config;
  }
  std::optional<WaveOrder> Wave(const StoredRow&) const override { return std::nullopt; }
  std::optional<BackendReport> Backend(const StoredRow&) const override { return std::nullopt; }
  std::optional<EvacuationRow> Evacuation(const StoredRow&) const override { return std::nullopt; }
  Result<WorkSpec> Submission(const std::string&) const override { return spec; }
  std::pair<RowAddress, std::string> WaveStatus(std::int64_t, bool) const override { return {}; }
};

std::string CompletedProgress() {
  JobProgress progress;
  progress.outcome = JobOutcome::kCompleted;
  return progress.Encode();
}

}  // namespace

// clang-format off
TEST_GROUP(EntryNodeCalls) {
  MonotonicTime now{Millis(10'000)};
  SteppedStore store;
  NoBackends backends;
  OneQueueCodec codec;
  std::unique_ptr<EntryNode> node;
  std::size_t max_row_bytes = kMaxRowBytes;

  void setup() override { MakeNode(0); }
  void MakeNode(std::size_t max_submission_bytes) {
    EntryNode::Settings settings;
    settings.max_submission_bytes = max_submission_bytes;
    settings.owner.max_row_bytes = max_row_bytes;
    settings.self = NodeId("n#1");
    settings.admission = {Millis(3500), Millis(1500)};
    settings.lease.self = settings.self;
    node = std::make_unique<EntryNode>(
        settings, FleetPorts{store, backends, nullptr, nullptr, codec,
                             [] { return UnixMillis(1'700'000'000'000); }, [this] { return now; },
                             nullptr, nullptr});
    store.rows[{kOperatorTable, "", "config"}] = "{}";
    node->Tick(now);
    store.ServeAll();
    CHECK_TRUE(node->Ready(now));
  }
  // The calls' replies, empty while there is none.
  std::shared_ptr<std::optional<CallerReply>> Call(CallKind kind) {
    auto result = std::make_shared<std::optional<CallerReply>>();
    CallerCall call;
    call.kind = kind;
    call.host = kHost;
    call.path = "/press/" + kJob.str();
    node->Handle(call, [result](const CallerReply& reply) { *result = reply; });
    return result;
  }
};
// clang-format on

// Guards against a submission that is repeated until its deadline although the table service
// refuses it for good.
TEST(EntryNodeCalls, ARejectedSubmissionIsAnsweredAtOnce) {
  const auto reply = Call(CallKind::kSubmit);
  RowsReply rejected;
  rejected.outcome = StoreOutcome::kRejected;
  const auto done = std::move(store.transactions.front().second);
  store.transactions.pop_front();
  done(rejected);
  CHECK(reply->has_value() && (*reply)->kind == CallerReply::Kind::kError);
  CHECK((*reply)->error.kind == ErrorKind::kInvalidArgument);
  CHECK((*reply)->error.run == RunState::kNotRun);
}

// Guards against a job that is accepted and cannot be cancelled, because the mark makes its row too
// large, and against one that the table service refuses each time.
TEST(EntryNodeCalls, AJobWhoseRowLeavesNoRoomForTheMarkIsRefused) {
  StoredJob job;
  job.queue = QueueId("press");
  job.accepted_at = UnixMillis(1'700'000'000'000);
  job.spec = codec.spec;
  job.cancelled = true;
  const std::size_t bytes = EncodeStoredJob(job).size();
  codec.spec.payload = "x";
  constexpr std::size_t kEmptyMember = std::string_view(R"("payload":"",)").size();
  codec.spec.payload.resize(kPayloadBytes, 'x');
  max_row_bytes = bytes + kEmptyMember + codec.spec.payload.size();
  MakeNode(0);
  const auto fits = Call(CallKind::kSubmit);
  store.ServeAll();
  CHECK(fits->has_value() && (*fits)->kind == CallerReply::Kind::kAccepted);
  codec.spec.payload += 'x';
  store.rows.erase(rows::Job(kJob));
  const auto refused = Call(CallKind::kSubmit);
  CHECK(refused->has_value() && (*refused)->kind == CallerReply::Kind::kError);
  CHECK((*refused)->error.kind == ErrorKind::kInvalidArgument);
  CHECK((*refused)->error.run == RunState::kNotRun);
}

// Guards against the same for a job that was accepted before.
TEST(EntryNodeCalls, AJobWithoutRoomForTheMarkIsCancelledWithoutItsText) {
  StoredJob job;
  job.id = kJob;
  job.queue = QueueId("press");
  job.spec = codec.spec;
  job.spec.payload = std::string(kPayloadBytes, 'x');
  store.rows[rows::Job(kJob)] = EncodeStoredJob(job);
  max_row_bytes = store.rows[rows::Job(kJob)].size();
  MakeNode(0);
  const auto reply = Call(CallKind::kCancel);
  store.ServeAll();
  CHECK(reply->has_value() && (*reply)->kind == CallerReply::Kind::kCancelled);
  const auto stored = DecodeStoredJob(kJob, store.rows[rows::Job(kJob)]);
  CHECK(stored.has_value() && stored.value().cancelled);
  CHECK(store.rows[rows::Job(kJob)].size() <= max_row_bytes);
}

// Guards against a job of many small steps whose progress outgrows its row before it is done.
TEST(EntryNodeCalls, AJobWhoseProgressCannotBeStoredIsRefused) {
  constexpr std::size_t kSteps = 5000;
  codec.spec.steps.resize(kSteps);
  const auto reply = Call(CallKind::kSubmit);
  CHECK(reply->has_value() && (*reply)->kind == CallerReply::Kind::kError);
  CHECK((*reply)->error.kind == ErrorKind::kInvalidArgument);
  codec.spec.steps.resize(kSteps / 2);
  const auto smaller = Call(CallKind::kSubmit);
  store.ServeAll();
  CHECK(smaller->has_value() && (*smaller)->kind == CallerReply::Kind::kAccepted);
}

// Guards against an accepted job that is answered as gone, because it ends and its row is removed
// between the two reads of its state.
TEST(EntryNodeCalls, AJobThatEndsBetweenTwoReadsOfItsStateIsNotGone) {
  StoredJob job;
  job.id = kJob;
  job.queue = QueueId("press");
  store.rows[rows::Job(kJob)] = EncodeStoredJob(job);
  const auto reply = Call(CallKind::kRead);
  CHECK_TRUE(store.ServeOne());
  CHECK_FALSE(reply->has_value());
  store.rows[rows::Progress(kJob)] = CompletedProgress();
  store.rows.erase(rows::Job(kJob));
  store.ServeAll();
  CHECK_TRUE(reply->has_value());
  CHECK_TRUE((*reply)->kind == CallerReply::Kind::kState);
  STRCMP_EQUAL("completed", (*reply)->state.c_str());
}

// Guards against a job that was never accepted and for which the caller gets no final answer.
TEST(EntryNodeCalls, AJobWithoutAnyRowIsGone) {
  for (const CallKind kind : {CallKind::kRead, CallKind::kCancel}) {
    const auto reply = Call(kind);
    store.ServeAll();
    CHECK_TRUE(reply->has_value());
    CHECK_TRUE((*reply)->kind == CallerReply::Kind::kGone);
  }
}

// Guards against a job that runs although the call that cancelled it was answered: a submission
// without a reply was carried out only after it.
TEST(EntryNodeCalls, ASubmissionThatIsStoredAfterItsCancelDoesNotRun) {
  const auto submitted = Call(CallKind::kSubmit);
  const RowTransaction late = store.LoseOldest();
  store.transactions.clear();
  const auto cancelled = Call(CallKind::kCancel);
  store.ServeAll();
  CHECK_TRUE(cancelled->has_value());
  CHECK_TRUE((*cancelled)->kind == CallerReply::Kind::kGone);
  CHECK_TRUE(store.Apply(late).outcome == StoreOutcome::kConflict);
  const auto row = store.rows.find(rows::Job(kJob));
  if (row != store.rows.end()) CHECK_FALSE(DecodeStoredJob(kJob, row->second).has_value());
}

// Guards against a job that runs because its submission is repeated after it was cancelled.
TEST(EntryNodeCalls, ASubmissionAfterItsCancelIsStoredAsCancelled) {
  Call(CallKind::kCancel);
  store.ServeAll();
  const auto submitted = Call(CallKind::kSubmit);
  store.ServeAll();
  CHECK_TRUE(submitted->has_value());
  CHECK_TRUE((*submitted)->kind == CallerReply::Kind::kAccepted);
  const auto job = DecodeStoredJob(kJob, store.rows.at(rows::Job(kJob)));
  CHECK_TRUE(job.has_value());
  CHECK_TRUE(job.value().cancelled);
  const auto state = Call(CallKind::kRead);
  store.ServeAll();
  CHECK_TRUE(state->has_value());
  STRCMP_EQUAL("cancelled", (*state)->state.c_str());
}

// Guards against a job that nobody has submitted being shown because its id was cancelled.
TEST(EntryNodeCalls, ACancelledIdWithoutASubmissionIsGone) {
  for (const CallKind kind : {CallKind::kCancel, CallKind::kRead, CallKind::kCancel}) {
    const auto reply = Call(kind);
    store.ServeAll();
    CHECK_TRUE(reply->has_value());
    CHECK_TRUE((*reply)->kind == CallerReply::Kind::kGone);
  }
}

// Guards against a cancel that is answered although a submission was stored while it looked.
TEST(EntryNodeCalls, ACancelCancelsAJobThatIsStoredMeanwhile) {
  const auto submitted = Call(CallKind::kSubmit);
  const auto cancelled = Call(CallKind::kCancel);
  CHECK_TRUE(store.ServeOne());
  CHECK_TRUE(store.ServeOne());
  CHECK_TRUE(store.CommitOldest());
  CHECK_TRUE(submitted->has_value());
  store.ServeAll();
  constexpr Millis kRetryTime{200};
  now += kRetryTime;
  node->Tick(now);
  store.ServeAll();
  CHECK_TRUE(cancelled->has_value());
  CHECK_TRUE((*cancelled)->kind == CallerReply::Kind::kCancelled);
  const auto job = DecodeStoredJob(kJob, store.rows.at(rows::Job(kJob)));
  CHECK_TRUE(job.has_value() && job.value().cancelled);
}

// Guards against a node that repeats a write in a busy loop, thousands of times a second, while the
// table service resets its connections at once.
TEST(EntryNodeCalls, PausesBetweenTheAttemptsOfAWriteThatFailsAtOnce) {
  const auto submitted = Call(CallKind::kSubmit);
  int attempts = 0;
  constexpr int kTick = 10;
  constexpr int kSecond = 1000;
  for (int ms = 0; ms < kSecond; ms += kTick) {
    for (int n = 0; n < 100 && !store.transactions.empty(); ++n) {
      store.LoseOldest();
      ++attempts;
    }
    now += Millis(kTick);
    node->Tick(now);
  }
  CHECK_FALSE(submitted->has_value());
  CHECK_TRUE(attempts > 1);
  constexpr int kMostAttempts = 20;
  CHECK_TRUE(attempts <= kMostAttempts);
}

// Guards against submissions that use up the memory while they wait for the table service, and
// against a refused one that is stored.
TEST(EntryNodeCalls, ASubmissionWithoutRoomIsRefusedAndNotStored) {
  MakeNode(1);
  const auto first = Call(CallKind::kSubmit);
  const auto second = Call(CallKind::kSubmit);
  CHECK_TRUE(second->has_value());
  CHECK_TRUE((*second)->kind == CallerReply::Kind::kError);
  CHECK_TRUE((*second)->error.kind == ErrorKind::kOverloaded);
  CHECK_TRUE((*second)->error.run == RunState::kNotRun);
  CHECK_TRUE((*second)->error.retry_after.has_value());
  LONGS_EQUAL(1, store.transactions.size());
  store.ServeAll();
  CHECK_TRUE((*first)->kind == CallerReply::Kind::kAccepted);
  const auto third = Call(CallKind::kSubmit);
  store.ServeAll();
  CHECK_TRUE((*third)->kind == CallerReply::Kind::kAccepted);
}
