#include <memory>
#include <vector>

#include "sapphirewheel/coordination/claim_log.h"
#include "sapphirewheel/coordination/job_manager.h"
#include "sapphirewheel/state/schema.h"
#include "tools/capacity/fixtures.h"
#include "tools/capacity/roles.h"

namespace sapphirewheel::capacity {
namespace {

// Assumes one running job per two workers.
constexpr double kJobsPerNode = kWorkers / 2.0 / kDaemons;

// Submits claims at a steady rate (claims per second) to a node that owns `ranges` ranges. Claims
// are retained for only 5 s, so that the deletion of old rows is part of the steady state.
std::vector<double> MeasureClaims(std::uint64_t seed, int ranges, double rate,
                                  Millis group_interval = Millis(5)) {
  constexpr int kSeconds = 20;
  FakeTable table(seed);
  ClaimLog::Settings settings;
  settings.self = NodeId("entry-1#1");
  settings.ranges = ranges;
  settings.retention = Millis(5000);
  settings.group_interval = group_interval;
  ClaimLog log(settings, {table.Hooks(), table.random(), table.clock()});
  log.OnLiveNodes({settings.self});
  std::int64_t claims = 0;
  std::int64_t granted = 0;
  double claims_due = 0;
  const auto tick = [&](MonotonicTime now) {
    log.Tick(now);
    claims_due += rate * static_cast<double>(kCoreTick.count()) / 1000;
    for (; claims_due >= 1; claims_due -= 1) {
      const ClaimKey key{TeamName(0), RequestId("request-" + std::to_string(++claims))};
      log.Claim(key, settings.self, [&, key](const ClaimReply& reply) {
        if (reply.verdict == ClaimVerdict::kGranted) ++granted;
        log.RecordOutcome(key, settings.self, ClaimOutcome::kDone, std::nullopt);
      });
    }
  };
  RunTicks(table, Millis(8000), kCoreTick, tick);
  const std::int64_t reads = table.row_reads();
  const std::int64_t writes = table.row_writes();
  const std::int64_t before = granted;
  const double start = CpuSeconds();
  RunTicks(table, Millis(kSeconds * 1000), kCoreTick, tick);
  const double cpu_seconds = CpuSeconds() - start;
  return {static_cast<double>(granted - before) / kSeconds,
          static_cast<double>(table.row_writes() - writes) / kSeconds,
          static_cast<double>(table.row_reads() - reads) / kSeconds, cpu_seconds / kSeconds * 100};
}

// Measures the heap of retained claims, including their rows in the fake table.
std::vector<double> MeasureRetainedClaims(std::uint64_t seed, double retained) {
  FakeTable table(seed);
  ClaimLog::Settings settings;
  settings.self = NodeId("entry-1#1");
  settings.ranges = 1;
  const double heap = HeapBytes();
  ClaimLog log(settings, {table.Hooks(), table.random(), table.clock()});
  log.OnLiveNodes({settings.self});
  RunTicks(table, Millis(2000), kCoreTick, [&](MonotonicTime now) { log.Tick(now); });
  for (int i = 0; i < static_cast<int>(retained); ++i) {
    const ClaimKey key{TeamName(0), RequestId("request-" + std::to_string(i))};
    log.Claim(key, settings.self, [](const ClaimReply&) {});
    if (i % 100 == 99) {
      RunTicks(table, Millis(40), kCoreTick, [&](MonotonicTime now) { log.Tick(now); });
    }
  }
  RunTicks(table, Millis(1000), kCoreTick, [&](MonotonicTime now) { log.Tick(now); });
  return {(HeapBytes() - heap) / 1e6};
}

// Jobs that run at one node, each with a new checkpoint once a minute.
class JobLoad {
 public:
  explicit JobLoad(std::uint64_t seed) : table_(seed) {
    JobManager::Settings settings;
    settings.self = NodeId("entry-1#1");
    MemberRecord member;
    member.vm = VmId("entry-1");
    member.data_centre = DataCentreId("dc1");
    table_.Put(schema::MemberRow(settings.self), EncodeMember(member));
    JobManager::Hooks hooks{table_.Hooks(), table_.random(), table_.clock(), {}, {}, {}, {}};
    hooks.enqueue = [this](const JobRecord& record, const TaskId& task) {
      started_tasks_.emplace_back(record.id, task);
      return true;
    };
    hooks.stop = [](const TaskId&) {};
    hooks.acknowledge = [](const TaskId&) {};
    hooks.could_ever_fit = [](const ServiceId&, Slots) { return true; };
    jobs_ = std::make_unique<JobManager>(settings, hooks);
  }

  std::vector<double> Measure(int count) {
    constexpr int kSeconds = 60;
    const double heap = HeapBytes();
    for (int i = 0; i < count; ++i) {
      JobSpec spec;
      spec.team = TeamName(0);
      spec.service = ServiceName(0);
      spec.body = std::string(200, 'x');
      spec.request = RequestId("job-" + std::to_string(i));
      jobs_->Submit(spec, [](const Result<JobRecord>&) {});
      if (i % 20 == 0) Run(Millis(20));
    }
    Run(Millis(1000));
    for (const auto& [job, task] : started_tasks_) jobs_->OnStarted(task, VmName(1));
    // The warm-up ends between two scans of the index, so that the measured window contains the
    // number of scans that corresponds to its length.
    Run(Millis(25000));
    const double memory = (HeapBytes() - heap) / count;
    const std::int64_t reads = table_.row_reads();
    const std::int64_t writes = table_.row_writes();
    const double start = CpuSeconds();
    for (int second = 0; second < kSeconds; ++second) {
      ReportCheckpoints(second);
      Run(Millis(1000));
    }
    const double cpu_seconds = CpuSeconds() - start;
    return {static_cast<double>(jobs_->Held().size()), cpu_seconds / kSeconds * 100,
            static_cast<double>(table_.row_reads() - reads) / kSeconds,
            static_cast<double>(table_.row_writes() - writes) / kSeconds, memory};
  }

 private:
  void Run(Millis length) {
    RunTicks(table_, length, kCoreTick, [this](MonotonicTime now) { jobs_->Tick(now); });
  }
  void ReportCheckpoints(int second) {
    for (std::size_t i = 0; i < started_tasks_.size(); ++i) {
      TaskReport report;
      report.job = started_tasks_[i].first;
      report.task = started_tasks_[i].second;
      report.team = TeamName(0);
      // Each job's checkpoint changes once a minute; the changes are spread over the minute.
      const int checkpoint = (second + static_cast<int>(i % 60)) / 60;
      report.checkpoint = "checkpoint-" + std::to_string(checkpoint);
      jobs_->OnReport(report);
    }
  }

  FakeTable table_;
  std::vector<std::pair<JobId, TaskId>> started_tasks_;
  std::unique_ptr<JobManager> jobs_;
};

}  // namespace

std::vector<Series> MeasureClaimsAndJobs(std::uint64_t seed) {
  const std::vector<std::string> columns = {"granted/s", "row writes/s", "row reads/s",
                                            "CPU % of a core"};
  std::vector<Series> series = {
      MeasureSeries("ClaimLog: one range of one owner", "claims/s", 0, columns, {1, 10, 100, 1000},
                    [seed](double rate) { return MeasureClaims(seed, 1, rate); }),
      MeasureSeries("ClaimLog: all 64 ranges of the fleet", "claims/s", 150, columns,
                    {10, 50, 100, 200},
                    [seed](double rate) { return MeasureClaims(seed, 64, rate); }),
      MeasureSeries("ClaimLog: all 64 ranges, 1,000 claims/s, by the time for which claims are "
                    "collected (--claim-group-ms)",
                    "ms", 0, columns, {5, 100, 500, 1000},
                    [seed](double group_interval) {
                      return MeasureClaims(seed, 64, 1000,
                                           Millis(static_cast<std::int64_t>(group_interval)));
                    }),
      MeasureSeries("ClaimLog: kept claims (24 h), with the rows of the fake table", "claims",
                    100000, {"heap MB"}, {1000, 10000, 50000},
                    [seed](double retained) { return MeasureRetainedClaims(seed, retained); }),
      MeasureSeries(
          "JobManager: running jobs of one node, a checkpoint a minute each", "jobs", kJobsPerNode,
          {"held", "CPU % of a core", "row reads/s", "row writes/s",
           "heap bytes/job (with table rows)"},
          {50, 200, 1000},
          [seed](double count) { return JobLoad(seed).Measure(static_cast<int>(count)); }),
  };
  // Not linear: claims are written in batches, which fill up, and the interval only bounds the
  // number of batches.
  series.at(0).linear = false;
  series.at(2).linear = false;
  return series;
}

}  // namespace sapphirewheel::capacity
