#include "sapphirewheel/coordination/config_log.h"

#include <algorithm>
#include <cstdint>
#include <utility>

#include "sapphirewheel/state/json.h"
#include "sapphirewheel/state/schema.h"

namespace sapphirewheel {
namespace {

// Maximum number of log rows read by one scan.
constexpr int kScanRows = 500;
// Number of rounds without progress after which a pull fails. Trimming may remove rows between the
// read of the head and the scan; reading the snapshot row again resolves that.
constexpr int kMaxRoundsWithoutProgress = 3;

std::uint64_t VersionField(const Row& row, std::string_view name) {
  if (row.revision.count() == 0) return 0;
  auto object = ParseObject(row.value);
  return object ? static_cast<std::uint64_t>(IntField(object.value(), name)) : 0;
}

Error Gap(ConfigVersion version) {
  return Error{ErrorKind::kInternal,
               "configuration log has no entry after version " + std::to_string(version.count()) +
                   " and no newer snapshot",
               "check tables config and config_head", RunState::kNotRun, Millis(1000)};
}

std::string SnapshotName(std::uint64_t version) {
  return "config-snapshot-" + std::to_string(version);
}

}  // namespace

ConfigLog::ConfigLog(Settings settings, Hooks hooks)
    : settings_(settings), hooks_(std::move(hooks)) {}

void ConfigLog::Tick(MonotonicTime now) {
  if (now >= next_pull_) PullNow(now);
}

void ConfigLog::PullNow(MonotonicTime now) {
  if (pulling_) return;
  pulling_ = true;
  next_pull_ = now + settings_.pull_interval;
  CatchUp([this](const Result<Head>& head) {
    pulling_ = false;
    if (head) MaintainLog(head.value());
  });
}

void ConfigLog::Apply(const ConfigEntry& entry) {
  if (!ApplyEntry(config_, entry)) return;
  recent_entries_.push_back(entry);
  if (recent_entries_.size() > settings_.max_recent_entries) recent_entries_.pop_front();
  if (hooks_.changed) hooks_.changed(config_);
}

void ConfigLog::LoadSnapshot(FleetConfig snapshot) {
  if (snapshot.version <= config_.version) return;
  config_ = std::move(snapshot);
  recent_entries_.clear();
  if (hooks_.changed) hooks_.changed(config_);
}

void ConfigLog::NotePlatformAsOf(MonotonicTime time) {
  platform_as_of_ = std::max(platform_as_of_.value_or(time), time);
}

ConfigVersion ConfigLog::OnDelta(const ConfigDelta& delta) {
  if (delta.snapshot) LoadSnapshot(*delta.snapshot);
  for (const ConfigEntry& entry : delta.entries) {
    if (entry.version <= config_.version) continue;
    if (entry.version.count() != config_.version.count() + 1) break;
    Apply(entry);
  }
  return config_.version;
}

ConfigDelta ConfigLog::DeltaAfter(ConfigVersion after) const {
  ConfigDelta delta;
  if (after >= config_.version) return delta;
  if (recent_entries_.empty() || recent_entries_.front().version.count() > after.count() + 1) {
    delta.snapshot = config_;
    return delta;
  }
  std::size_t bytes = 0;
  for (const ConfigEntry& entry : recent_entries_) {
    if (entry.version <= after) continue;
    bytes += EncodeEntry(entry).size();
    if (bytes > settings_.max_delta_bytes && !delta.entries.empty()) break;
    delta.entries.push_back(entry);
  }
  return delta;
}

void ConfigLog::CatchUp(HeadCallback done) {
  const MonotonicTime sent = hooks_.clock();
  hooks_.table.read({schema::ConfigHead(), schema::ConfigSnapshotRow()},
                    [this, sent, done = std::move(done)](const Result<std::vector<Row>>& rows) {
                      if (!rows) return done(rows.error());
                      const Row& row = rows.value().at(0);
                      const Row& snapshot = rows.value().at(1);
                      Head head;
                      head.version = ConfigVersion(VersionField(row, "version"));
                      head.revision = row.revision;
                      head.snapshot = ConfigVersion(VersionField(snapshot, "version"));
                      head.trim_to = ConfigVersion(VersionField(snapshot, "previous"));
                      head.snapshot_revision = snapshot.revision;
                      ApplyUpTo(head, sent, kMaxRoundsWithoutProgress, done);
                    });
}

void ConfigLog::ApplyUpTo(Head head, MonotonicTime sent, int rounds, HeadCallback done) {
  if (config_.version >= head.version) {
    NotePlatformAsOf(sent);
    return done(head);
  }
  if (rounds == 0) return done(Gap(config_.version));
  ScanRequest request;
  request.table = schema::kConfig;
  request.first = schema::PaddedNumber(config_.version.count() + 1);
  request.last = schema::PaddedNumber(UINT64_MAX);
  request.limit = kScanRows;
  hooks_.table.scan(request, [this, head, sent, rounds,
                              done = std::move(done)](const Result<std::vector<Row>>& rows) {
    if (!rows) return done(rows.error());
    const ConfigVersion before = config_.version;
    auto applied = ApplyRows(rows.value());
    if (!applied) return done(applied.error());
    if (config_.version > before) return ApplyUpTo(head, sent, kMaxRoundsWithoutProgress, done);
    FetchSnapshot([this, head, sent, rounds, done](const Result<void>& fetched) {
      if (!fetched) return done(fetched.error());
      ApplyUpTo(head, sent, rounds - 1, done);
    });
  });
}

Result<void> ConfigLog::ApplyRows(const std::vector<Row>& rows) {
  for (const Row& row : rows) {
    BOOST_OUTCOME_TRY(auto entry, DecodeEntry(row.value));
    if (entry.version <= config_.version) continue;
    if (entry.version.count() != config_.version.count() + 1) break;
    Apply(entry);
  }
  return boost::outcome_v2::success();
}

void ConfigLog::FetchSnapshot(std::function<void(Result<void>)> done) {
  hooks_.table.read({schema::ConfigSnapshotRow()}, [this, done = std::move(done)](
                                                       const Result<std::vector<Row>>& rows) {
    if (!rows) return done(rows.error());
    const std::uint64_t version = VersionField(rows.value().at(0), "version");
    // The caller scans again, because the missing entries may have been written in the meantime.
    if (version <= config_.version.count()) return done(boost::outcome_v2::success());
    hooks_.table.get_object(SnapshotName(version), [this, done](const Result<std::string>& text) {
      if (!text) return done(text.error());
      auto snapshot = DecodeConfig(text.value());
      if (!snapshot) return done(snapshot.error());
      LoadSnapshot(std::move(snapshot.value()));
      done(boost::outcome_v2::success());
    });
  });
}

}  // namespace sapphirewheel
