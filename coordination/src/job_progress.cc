#include "sapphirewheel/coordination/job_progress.h"

#include <algorithm>
#include <boost/json.hpp>
#include <limits>
#include <string>
#include <string_view>
#include <utility>

#include "sapphirewheel/state/json.h"

namespace sapphirewheel {
namespace {

namespace json = boost::json;

constexpr JobOutcome kOutcomes[] = {JobOutcome::kOpen, JobOutcome::kCompleted, JobOutcome::kFailed,
                                    JobOutcome::kCancelled};

// Above this number of done or failed tasks a row has them as bitmaps, so that it stays below the
// size of a row of the table service for the largest job.
constexpr std::size_t kMaxListedTasks = 1000;
constexpr int kBitsPerDigit = 4;
// Largest index in a bitmap, against malformed rows.
constexpr std::size_t kMaxDigits = 25'000;
constexpr const char* kDigits = "0123456789abcdef";

// Hexadecimal digits; the lowest index is the lowest bit of the first digit.
std::string EncodeBitmap(const std::set<int>& indices) {
  std::string digits;
  for (const int it : indices) {
    const auto at = static_cast<std::size_t>(it / kBitsPerDigit);
    if (digits.size() <= at) digits.resize(at + 1, '\0');
    digits[at] = static_cast<char>(digits[at] | (1 << (it % kBitsPerDigit)));
  }
  for (char& it : digits) it = kDigits[static_cast<unsigned char>(it)];
  return digits;
}

// Absent for anything that EncodeBitmap does not produce.
std::optional<std::set<int>> DecodeBitmap(std::string_view digits) {
  if (digits.size() > kMaxDigits) return std::nullopt;
  std::set<int> indices;
  const std::string_view all(kDigits);
  for (std::size_t at = 0; at < digits.size(); ++at) {
    const auto value = all.find(digits[at]);
    if (value == std::string_view::npos) return std::nullopt;
    for (int bit = 0; bit < kBitsPerDigit; ++bit) {
      if ((value >> bit & 1U) == 0) continue;
      indices.insert(static_cast<int>(at) * kBitsPerDigit + bit);
    }
  }
  return indices;
}

// The bitmap at `position` of an entry, and the numbers of the entry without it; absent if there is
// no bitmap there or the entry is malformed.
struct BitmapEntry {
  std::vector<std::int64_t> numbers;
  std::set<int> indices;
};
std::optional<BitmapEntry> DecodeBitmapEntry(const json::value& value, std::size_t position) {
  if (!value.is_array()) return std::nullopt;
  const json::array& fields = value.get_array();
  if (fields.size() <= position || !fields[position].is_string()) return std::nullopt;
  auto indices = DecodeBitmap(fields[position].get_string());
  if (!indices) return std::nullopt;
  BitmapEntry entry;
  entry.indices = std::move(*indices);
  for (std::size_t n = 0; n < fields.size(); ++n) {
    if (n == position) continue;
    if (!fields[n].is_int64()) return std::nullopt;
    entry.numbers.push_back(fields[n].get_int64());
  }
  return entry;
}

Error Malformed(const std::string& what) {
  return Error{ErrorKind::kInvalidArgument, "the progress row has no valid " + what,
               "restore the row or cancel the job", RunState::kNotRun, std::nullopt};
}

// Reads an array of at least `min_size` integers; returns an empty list for anything else.
std::vector<std::int64_t> Numbers(const json::value& value, std::size_t min_size) {
  std::vector<std::int64_t> numbers;
  if (!value.is_array()) return {};
  for (const json::value& it : value.get_array()) {
    if (!it.is_int64()) return {};
    numbers.push_back(it.get_int64());
  }
  return numbers.size() >= min_size ? numbers : std::vector<std::int64_t>{};
}

// Size of the list of finished occurrences in a row, in bytes.
std::size_t ListBytes(const boost::icl::interval_set<int>& finished) {
  std::size_t bytes = std::string_view(R"(,"finished":[])").size();
  for (const auto& range : finished) {
    const std::int64_t first = boost::icl::first(range);
    const std::int64_t last = boost::icl::last(range);
    // A digit and a comma each, and a further digit from each power of ten on.
    bytes += 2 * static_cast<std::size_t>(last - first + 1);
    constexpr std::int64_t kBase = 10;
    for (std::int64_t power = kBase; power <= last; power *= kBase) {
      bytes += static_cast<std::size_t>(last - std::max(first, power) + 1);
    }
  }
  return bytes;
}

// Adds the occurrences of a range, [first, last]. Returns whether it is one that Encode produces.
bool AddRange(const json::value& value, boost::icl::interval_set<int>& occurrences) {
  const auto numbers = Numbers(value, 2);
  if (numbers.size() != 2) return false;
  const std::int64_t first = numbers[0];
  const std::int64_t last = numbers[1];
  if (first < 0 || last < first || last >= std::numeric_limits<int>::max()) return false;
  occurrences.add(
      boost::icl::interval<int>::closed(static_cast<int>(first), static_cast<int>(last)));
  return true;
}

}  // namespace

const char* OutcomeName(JobOutcome outcome) noexcept {
  switch (outcome) {
    case JobOutcome::kOpen:
      return "queued";
    case JobOutcome::kCompleted:
      return "completed";
    case JobOutcome::kFailed:
      return "failed";
    case JobOutcome::kCancelled:
      return "cancelled";
  }
  return "queued";
}

bool JobProgress::MarkDone(const TaskKey& task) {
  if (IsFinished(task.occurrence)) return false;
  failures_.erase({task.occurrence, task.step, task.index});
  return done_[{task.occurrence, task.step}].insert(task.index).second;
}

bool JobProgress::IsDone(const TaskKey& task) const {
  if (IsFinished(task.occurrence)) return true;
  const auto it = done_.find({task.occurrence, task.step});
  return it != done_.end() && it->second.count(task.index) > 0;
}

int JobProgress::DoneCount(int occurrence, int step) const {
  const auto it = done_.find({occurrence, step});
  return it == done_.end() ? 0 : static_cast<int>(it->second.size());
}

int JobProgress::CountFailure(const TaskKey& task, RunNumber run) {
  auto& runs = failures_[{task.occurrence, task.step, task.index}];
  runs.insert(run);
  return static_cast<int>(runs.size());
}

int JobProgress::FailureCount(const TaskKey& task) const {
  const auto it = failures_.find({task.occurrence, task.step, task.index});
  return it == failures_.end() ? 0 : static_cast<int>(it->second.size());
}

std::vector<TaskKey> JobProgress::TasksWithFailures(const JobId& job, int runs) const {
  std::vector<TaskKey> tasks;
  for (const auto& [task, failed_runs] : failures_) {
    const auto& [occurrence, step, index] = task;
    const bool enough = static_cast<int>(failed_runs.size()) >= runs;
    if (enough) tasks.push_back(TaskKey{job, occurrence, step, index});
  }
  return tasks;
}

void JobProgress::FinishOccurrence(int occurrence) {
  finished_.add(occurrence);
  std::erase_if(done_, [&](const auto& row) { return row.first.first == occurrence; });
  std::erase_if(failures_, [&](const auto& row) { return std::get<0>(row.first) == occurrence; });
}

std::size_t JobProgress::MaxOccurrenceBytes(const WorkSpec& spec) {
  const auto digits = [](std::size_t n) { return std::to_string(n).size(); };
  const std::size_t occurrence = digits(static_cast<std::size_t>(std::max(spec.repetitions, 1)));
  // [first,last], of the finished occurrences before it.
  constexpr std::size_t kRangePunctuation = 4;
  std::size_t bytes = 2 * occurrence + kRangePunctuation;
  for (std::size_t n = 0; n < spec.steps.size(); ++n) {
    // [occurrence,step,"bitmap"],
    constexpr std::size_t kStepPunctuation = 7;
    const auto tasks = static_cast<std::size_t>(std::max(spec.steps[n].count, 1));
    bytes += occurrence + digits(n) + kStepPunctuation + (tasks - 1) / kBitsPerDigit + 1;
  }
  return bytes;
}

json::array JobProgress::EncodeFailureBitmaps() const {
  // Most tasks that failed did so in runs with the same numbers.
  std::map<std::tuple<int, int, std::set<RunNumber>>, std::set<int>> groups;
  for (const auto& [task, runs] : failures_) {
    const auto& [occurrence, step, index] = task;
    groups[{occurrence, step, runs}].insert(index);
  }
  json::array failures;
  for (const auto& [key, indices] : groups) {
    const auto& [occurrence, step, runs] = key;
    json::array entry{occurrence, step, EncodeBitmap(indices)};
    for (const RunNumber run : runs) entry.emplace_back(run.count());
    failures.emplace_back(std::move(entry));
  }
  return failures;
}

std::string JobProgress::Encode(std::size_t max_bytes) const {
  json::object row;
  row["outcome"] = static_cast<int>(outcome);
  // Nothing of an ended job is started any more.
  if (outcome != JobOutcome::kOpen) return json::serialize(row);
  if (reserved_runs > RunNumber()) row["reserved_runs"] = reserved_runs.count();
  std::size_t tasks = failures_.size();
  for (const auto& [step, indices] : done_) tasks += indices.size();
  const bool compact = tasks > kMaxListedTasks;
  json::array done;
  for (const auto& [step, indices] : done_) {
    json::array entry{step.first, step.second};
    if (compact) {
      entry.emplace_back(EncodeBitmap(indices));
    } else {
      entry.insert(entry.end(), indices.begin(), indices.end());
    }
    done.emplace_back(std::move(entry));
  }
  if (!done.empty()) row["done"] = std::move(done);
  json::array failures = compact ? EncodeFailureBitmaps() : json::array();
  for (const auto& [task, it] : failures_) {
    if (compact) break;
    const auto& [occurrence, step, index] = task;
    json::array entry{occurrence, step, index};
    for (const RunNumber run : it) entry.emplace_back(run.count());
    failures.emplace_back(std::move(entry));
  }
  if (!failures.empty()) row["failures"] = std::move(failures);
  std::string text = json::serialize(row);
  if (finished_.empty()) return text;
  // Older versions read only the list.
  if (text.size() + ListBytes(finished_) <= max_bytes) {
    row["finished"] =
        json::array(boost::icl::elements_begin(finished_), boost::icl::elements_end(finished_));
  } else {
    json::array ranges;
    for (const auto& range : finished_) {
      ranges.emplace_back(json::array{boost::icl::first(range), boost::icl::last(range)});
    }
    row["finished_ranges"] = std::move(ranges);
  }
  return json::serialize(row);
}

Result<JobProgress> JobProgress::Decode(std::string_view text) {
  BOOST_OUTCOME_TRY(const json::object row, ParseObject(text));
  JobProgress progress;
  const auto number = IntField(row, "outcome", -1);
  if (number < 0 || number >= static_cast<std::int64_t>(std::size(kOutcomes))) {
    return Malformed("outcome");
  }
  progress.outcome = kOutcomes[number];
  progress.reserved_runs = RunNumber(std::max<std::int64_t>(IntField(row, "reserved_runs"), 0));
  if (const auto* done = row.if_contains("done"); done != nullptr && done->is_array()) {
    for (const json::value& entry : done->get_array()) {
      if (auto bitmap = DecodeBitmapEntry(entry, 2); bitmap && bitmap->numbers.size() == 2) {
        const StepKey step(static_cast<int>(bitmap->numbers[0]),
                           static_cast<int>(bitmap->numbers[1]));
        progress.done_[step] = std::move(bitmap->indices);
        continue;
      }
      const auto numbers = Numbers(entry, 2);
      if (numbers.empty()) return Malformed("list of done tasks");
      auto& indices = progress.done_[{static_cast<int>(numbers[0]), static_cast<int>(numbers[1])}];
      for (std::size_t n = 2; n < numbers.size(); ++n) indices.insert(static_cast<int>(numbers[n]));
    }
  }
  if (const auto* failures = row.if_contains("failures");
      failures != nullptr && failures->is_array()) {
    constexpr std::size_t kTaskFields = 3;
    for (const json::value& entry : failures->get_array()) {
      if (const auto bitmap = DecodeBitmapEntry(entry, 2); bitmap && bitmap->numbers.size() >= 2) {
        for (const int index : bitmap->indices) {
          auto& runs = progress.failures_[{static_cast<int>(bitmap->numbers[0]),
                                           static_cast<int>(bitmap->numbers[1]), index}];
          for (std::size_t n = 2; n < bitmap->numbers.size(); ++n) {
            runs.insert(RunNumber(bitmap->numbers[n]));
          }
        }
        continue;
      }
      const auto numbers = Numbers(entry, kTaskFields);
      if (numbers.empty()) return Malformed("list of failures");
      auto& runs = progress.failures_[{static_cast<int>(numbers[0]), static_cast<int>(numbers[1]),
                                       static_cast<int>(numbers[2])}];
      for (std::size_t n = kTaskFields; n < numbers.size(); ++n) runs.insert(RunNumber(numbers[n]));
    }
  }
  if (const auto* finished = row.if_contains("finished"); finished != nullptr) {
    for (const std::int64_t n : Numbers(*finished, 0)) {
      progress.finished_.add(static_cast<int>(n));
    }
  }
  if (const auto* ranges = row.if_contains("finished_ranges"); ranges != nullptr) {
    if (!ranges->is_array()) return Malformed("list of finished occurrences");
    for (const json::value& it : ranges->get_array()) {
      if (!AddRange(it, progress.finished_)) return Malformed("list of finished occurrences");
    }
  }
  return progress;
}

}  // namespace sapphirewheel
