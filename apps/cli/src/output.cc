#include "output.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <iostream>
#include <vector>

namespace sapphirewheel {
namespace {

namespace json = boost::json;

std::string FormatScalar(const json::value& value) {
  if (value.is_string()) return std::string(value.get_string());
  if (value.is_null()) return "-";
  return json::serialize(value);
}

bool IsTable(const json::value& value) {
  if (!value.is_array() || value.get_array().empty()) return false;
  return std::all_of(value.get_array().begin(), value.get_array().end(),
                     [](const json::value& it) { return it.is_object(); });
}

// Prints a table with one column for each field of the first row.
void PrintTable(const json::array& rows, const std::string& indent) {
  std::vector<std::string> names;
  for (const auto& it : rows.front().get_object()) names.emplace_back(it.key());
  std::vector<std::vector<std::string>> cells{names};
  for (const auto& row : rows) {
    std::vector<std::string> line;
    for (const std::string& name : names) {
      const auto* cell = row.get_object().if_contains(name);
      line.push_back(cell == nullptr ? "-" : FormatScalar(*cell));
    }
    cells.push_back(std::move(line));
  }
  std::vector<std::size_t> widths(names.size(), 0);
  for (const auto& line : cells) {
    for (std::size_t i = 0; i < line.size(); ++i) widths[i] = std::max(widths[i], line[i].size());
  }
  for (const auto& line : cells) {
    std::cout << indent;
    for (std::size_t i = 0; i < line.size(); ++i) {
      const bool last = i + 1 == line.size();
      std::cout << line[i] << (last ? "" : std::string(widths[i] - line[i].size() + 2, ' '));
    }
    std::cout << "\n";
  }
}

void PrintObject(const json::object& object, const std::string& indent) {
  std::size_t width = 0;
  for (const auto& it : object) width = std::max(width, it.key().size());
  for (const auto& it : object) {
    std::cout << indent << it.key();
    const json::value& value = it.value();
    if (IsTable(value)) {
      std::cout << "\n";
      PrintTable(value.get_array(), indent + "  ");
    } else if (value.is_object() && !value.get_object().empty()) {
      std::cout << "\n";
      PrintObject(value.get_object(), indent + "  ");
    } else {
      std::cout << std::string(width - it.key().size() + 2, ' ') << FormatScalar(value) << "\n";
    }
  }
}

}  // namespace

void PrintValue(const json::value& value, OutputFormat format) {
  if (format == OutputFormat::kJson) {
    std::cout << json::serialize(value) << "\n";
  } else if (value.is_object()) {
    PrintObject(value.get_object(), "");
  } else {
    std::cout << FormatScalar(value) << "\n";
  }
}

}  // namespace sapphirewheel
