#pragma once

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "sapphirewheel/coordination/clock_and_random.h"
#include "sapphirewheel/state/fleet_config.h"
#include "sapphirewheel/state/table.h"

namespace sapphirewheel {

// Log entries, preceded by a snapshot if the receiver is behind the oldest entry in memory.
struct ConfigDelta {
  std::optional<FleetConfig> snapshot;
  std::vector<ConfigEntry> entries;
};

// Replicated configuration log. Appends entries at the platform, applies them in order, and never
// returns to an older version. The object must outlive all pending calls of its hooks.
class ConfigLog {
 public:
  struct Settings {
    Millis pull_interval{1000};
    // Number of versions between snapshots. Rows up to the previous snapshot are deleted, so that
    // the log keeps at most twice as many rows.
    std::uint64_t snapshot_every = 1000;
    // Maximum number of entries kept in memory to answer peers.
    std::size_t max_recent_entries = 1000;
    // Maximum encoded size of the entries in one delta; the receiver requests the rest separately.
    std::size_t max_delta_bytes = 196'608;
    // Maximum number of queued appends on this node; further ones fail with kOverloaded.
    std::size_t max_waiting_appends = 100;
    // Maximum number of log rows deleted after a pull, so that trimming does not use up the
    // platform's write rate.
    int trim_batch = 100;
  };
  struct Hooks {
    TableHooks table;
    RandomSource random;
    Clock clock;
    // Called after each applied entry and once after a snapshot was loaded.
    std::function<void(const FleetConfig&)> changed;
  };
  // Decides, given the newest configuration, whether an entry may still be appended.
  using Precondition = std::function<Result<void>(const FleetConfig&)>;
  using AppendCallback = std::function<void(Result<ConfigVersion>)>;
  // Returns further writes of the transaction; called for each attempt with the version that the
  // attempt would write.
  using WriteSource = std::function<std::vector<RowWrite>(ConfigVersion)>;

  ConfigLog(Settings settings, Hooks hooks);

  [[nodiscard]] const FleetConfig& config() const noexcept { return config_; }
  [[nodiscard]] ConfigVersion version() const noexcept { return config_.version; }

  // Starts a pull if one is due.
  void Tick(MonotonicTime now);
  // Starts a pull unless one is in progress.
  void PullNow(MonotonicTime now);

  // Applies a peer's delta as far as it continues the applied version; returns the applied version.
  ConfigVersion OnDelta(const ConfigDelta& delta);
  // The delta for a peer at version `after`; empty if the peer is up to date.
  [[nodiscard]] ConfigDelta DeltaAfter(ConfigVersion after) const;

  // Appends a change. Checks the precondition against the newest configuration, then commits the
  // entry together with `checks` and `writes`. Retries if another append wins the race for the
  // head. Errors: kPlanOutdated if one of `checks` fails, kOutcomeUnknown with run `unknown` if the
  // result cannot be determined.
  void Append(PlanId plan, ConfigChange change, Precondition precondition,
              std::vector<RowCheck> checks, std::vector<RowWrite> writes, AppendCallback done);
  // Like Append, with writes that depend on the version of the entry.
  void AppendWith(PlanId plan, ConfigChange change, Precondition precondition,
                  std::vector<RowCheck> checks, WriteSource writes, AppendCallback done);

  // Latest time at which the platform is known to have had nothing newer than the applied version,
  // which is when the read or commit that proved it was sent; empty until then.
  [[nodiscard]] std::optional<MonotonicTime> platform_as_of() const noexcept {
    return platform_as_of_;
  }

 private:
  // The head of the log and the newest snapshot, as returned by one read.
  struct Head {
    ConfigVersion version;
    Revision revision;
    ConfigVersion snapshot;
    // Version of the snapshot before the newest; log rows up to it may be deleted.
    ConfigVersion trim_to;
    Revision snapshot_revision;
  };
  struct PendingAppend {
    PlanId plan;
    ConfigChange change;
    Precondition precondition;
    std::vector<RowCheck> checks;
    WriteSource writes;
    AppendCallback done;
    // Number of lost races for the head so far.
    int races = 0;
  };
  // One transaction of an append; the same transaction is sent again until its outcome is known.
  struct AppendAttempt {
    Transaction transaction;
    ConfigEntry entry;
    Revision head_revision;
    MonotonicTime sent{};
    int sends = 0;
  };
  using HeadCallback = std::function<void(Result<Head>)>;

  void Apply(const ConfigEntry& entry);
  void LoadSnapshot(FleetConfig snapshot);
  void NotePlatformAsOf(MonotonicTime time);

  // Reads the head and applies all entries up to it.
  void CatchUp(HeadCallback done);
  void ApplyUpTo(Head head, MonotonicTime sent, int rounds, HeadCallback done);
  Result<void> ApplyRows(const std::vector<Row>& rows);
  void FetchSnapshot(std::function<void(Result<void>)> done);

  void StartNextAppend();
  void PrepareAppend();
  void SendAppend(const std::shared_ptr<AppendAttempt>& attempt);
  void OnAppendResult(const std::shared_ptr<AppendAttempt>& attempt, const TransactResult& result);
  void OnAppendConflict(const AppendAttempt& attempt, const TransactResult& result);
  void FinishAppend(Result<ConfigVersion> result);

  void MaintainLog(const Head& head);
  void WriteSnapshot(const Head& head);
  void TrimBatch(ConfigVersion last);

  Settings settings_;
  Hooks hooks_;
  FleetConfig config_;
  std::deque<ConfigEntry> recent_entries_;
  std::optional<MonotonicTime> platform_as_of_;
  MonotonicTime next_pull_{};
  bool pulling_ = false;
  // The front element is in progress while `appending_` is set.
  std::deque<PendingAppend> appends_;
  bool appending_ = false;
  bool writing_snapshot_ = false;
  bool trimming_ = false;
  ConfigVersion trimmed_to_;
};

}  // namespace sapphirewheel
