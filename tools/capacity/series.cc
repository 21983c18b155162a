#include "tools/capacity/series.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

namespace sapphirewheel::capacity {

Line FitLine(const std::vector<double>& x, const std::vector<double>& y) {
  const auto n = static_cast<double>(x.size());
  double sum_x = 0;
  double sum_y = 0;
  for (std::size_t i = 0; i < x.size(); ++i) {
    sum_x += x[i];
    sum_y += y[i];
  }
  const double mean_x = sum_x / n;
  const double mean_y = sum_y / n;
  double xx = 0;
  double xy = 0;
  double yy = 0;
  for (std::size_t i = 0; i < x.size(); ++i) {
    xx += (x[i] - mean_x) * (x[i] - mean_x);
    xy += (x[i] - mean_x) * (y[i] - mean_y);
    yy += (y[i] - mean_y) * (y[i] - mean_y);
  }
  Line line;
  line.slope = xx > 0 ? xy / xx : 0;
  line.intercept = mean_y - line.slope * mean_x;
  line.r_squared = xx > 0 && yy > 0 ? xy * xy / (xx * yy) : 1;
  return line;
}

Line Series::Fit(std::size_t column) const {
  std::vector<double> y;
  y.reserve(rows.size());
  for (const auto& row : rows) y.push_back(row.at(column));
  return FitLine(x, y);
}

double Series::AtTarget(std::size_t column) const {
  const auto measured = std::find(x.begin(), x.end(), target);
  if (measured != x.end()) {
    return rows.at(static_cast<std::size_t>(measured - x.begin())).at(column);
  }
  return std::max(0.0, Fit(column).At(target));
}

Series MeasureSeries(std::string title, std::string x_label, double target,
                     std::vector<std::string> columns, std::vector<double> sizes,
                     const std::function<std::vector<double>(double)>& measure) {
  Series series{
      std::move(title), std::move(x_label), target, std::move(columns), std::move(sizes), {}, true};
  for (const double x : series.x) series.rows.push_back(measure(x));
  return series;
}

std::string FormatNumber(double value) {
  char text[64];
  const double magnitude = std::fabs(value);
  const char* format = "%.0f";
  if (magnitude != 0 && magnitude < 0.001) {
    format = "%.1e";
  } else if (magnitude < 1) {
    format = "%.3f";
  } else if (magnitude < 10) {
    format = "%.2f";
  } else if (magnitude < 100) {
    format = "%.1f";
  }
  std::snprintf(text, sizeof text, magnitude == 0 ? "%.0f" : format, value);
  return text;
}

void Print(std::ostream& out, const Series& series) {
  out << "\n#### " << series.title << "\n\n| " << series.x_label;
  for (const std::string& column : series.columns) out << " | " << column;
  out << " |\n|---";
  for (std::size_t i = 0; i < series.columns.size(); ++i) out << "|---";
  out << "|\n";
  for (std::size_t i = 0; i < series.x.size(); ++i) {
    out << "| " << FormatNumber(series.x[i]);
    for (const double y : series.rows[i]) out << " | " << FormatNumber(y);
    out << " |\n";
  }
  if (!series.linear) return;
  out << "| fitted line (R²)";
  for (std::size_t i = 0; i < series.columns.size(); ++i) {
    const Line line = series.Fit(i);
    out << " | " << FormatNumber(line.intercept) << " + " << FormatNumber(line.slope) << " x ("
        << FormatNumber(line.r_squared) << ")";
  }
  out << " |\n| **at " << FormatNumber(series.target) << "**";
  for (std::size_t i = 0; i < series.columns.size(); ++i) {
    out << " | **" << FormatNumber(series.AtTarget(i)) << "**";
  }
  out << " |\n";
}

}  // namespace sapphirewheel::capacity
