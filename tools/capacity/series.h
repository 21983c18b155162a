#pragma once

#include <cstddef>
#include <functional>
#include <ostream>
#include <string>
#include <vector>

namespace sapphirewheel::capacity {

// A straight line fitted by least squares.
struct Line {
  double intercept = 0;
  double slope = 0;
  // Coefficient of determination; 1 when the points lie on the line.
  double r_squared = 1;
  [[nodiscard]] double At(double x) const noexcept { return intercept + slope * x; }
};

[[nodiscard]] Line FitLine(const std::vector<double>& x, const std::vector<double>& y);

// Figures measured at several sizes, and the size to which they are extrapolated.
struct Series {
  std::string title;
  // Name of the quantity in `x`.
  std::string x_label;
  // Size to which the figures are extrapolated, in the unit of `x`.
  double target = 0;
  std::vector<std::string> columns;
  std::vector<double> x;
  // One row for each value of `x`, with the figures in the order of `columns`.
  std::vector<std::vector<double>> rows;
  // False if the figures do not follow a straight line; then only the points are printed.
  bool linear = true;

  [[nodiscard]] Line Fit(std::size_t column) const;
  // Returns the measured figure if the target size was measured, otherwise the value of the fitted
  // line, but at least 0.
  [[nodiscard]] double AtTarget(std::size_t column) const;
};

// Calls `measure` for each of `sizes`; it returns one figure per column.
[[nodiscard]] Series MeasureSeries(std::string title, std::string x_label, double target,
                                   std::vector<std::string> columns, std::vector<double> sizes,
                                   const std::function<std::vector<double>(double)>& measure);

// Formats a number with about three significant digits.
[[nodiscard]] std::string FormatNumber(double value);
// Prints the points, the fitted lines and the extrapolation as a Markdown table.
void Print(std::ostream& out, const Series& series);

}  // namespace sapphirewheel::capacity
