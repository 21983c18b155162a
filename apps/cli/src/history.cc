#include "history.h"

#include <algorithm>
#include <cmath>
#include <fstream>
#include <iomanip>
#include <istream>
#include <optional>
#include <ostream>
#include <sstream>

namespace sapphirewheel {
namespace {

constexpr int kNoLines = 1;
constexpr int kUnreadable = 2;

struct HistoryLine {
  // Seconds since the start of the month, from the time in the line.
  double at = 0;
  std::string text;
};

// Parses "time=YYYY-MM-DDTHH:MM:SS.mmmZ" in a line. Returns nullopt when the line has no such time.
std::optional<double> TimeOf(const std::string& line) {
  const auto start = line.find("time=");
  if (start == std::string::npos) return std::nullopt;
  int year = 0;
  int month = 0;
  int day = 0;
  int hour = 0;
  int minute = 0;
  double second = 0;
  char sep = 0;
  std::istringstream text(line.substr(start + 5));
  text >> year >> sep >> month >> sep >> day >> sep >> hour >> sep >> minute >> sep >> second;
  if (!text) return std::nullopt;
  constexpr double kMinute = 60;
  constexpr double kHour = 60 * kMinute;
  constexpr double kDay = 24 * kHour;
  // The dashes before month and day are parsed as signs.
  return std::abs(day) * kDay + hour * kHour + minute * kMinute + second;
}

// Returns the line without its time, which is printed relative to the first line instead.
std::string WithoutTime(const std::string& line) {
  const auto start = line.find("time=");
  const auto end = line.find(' ', start);
  return end == std::string::npos ? line : line.substr(0, start) + line.substr(end + 1);
}

void Collect(const std::string& job, std::istream& in, std::vector<HistoryLine>& lines) {
  std::string line;
  while (std::getline(in, line)) {
    if (line.find(job) == std::string::npos) continue;
    if (const auto at = TimeOf(line)) lines.push_back({*at, WithoutTime(line)});
  }
}

}  // namespace

int PrintHistory(const std::string& job, const std::vector<std::string>& files, std::istream& input,
                 std::ostream& out, std::ostream& err) {
  std::vector<HistoryLine> lines;
  for (const std::string& name : files) {
    std::ifstream file(name);
    if (!file) {
      err << "sapphirewheel: cannot read " << name << "; pass a file with log lines of daemons\n";
      return kUnreadable;
    }
    Collect(job, file, lines);
  }
  if (files.empty()) Collect(job, input, lines);
  if (lines.empty()) {
    err << "sapphirewheel: no line names " << job
        << "; pass the logs of all entry VMs, because any of them may have accepted the job\n";
    return kNoLines;
  }
  std::stable_sort(lines.begin(), lines.end(),
                   [](const auto& a, const auto& b) { return a.at < b.at; });
  out << std::fixed << std::setprecision(3);
  for (const HistoryLine& it : lines) out << it.at - lines.front().at << " s  " << it.text << "\n";
  return 0;
}

}  // namespace sapphirewheel
