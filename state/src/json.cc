#include "sapphirewheel/state/json.h"

#include <algorithm>
#include <boost/json/stream_parser.hpp>
#include <cmath>
#include <limits>

namespace sapphirewheel {
namespace {

Error Invalid(std::string message, std::string remedy) {
  return Error{ErrorKind::kInvalidArgument, std::move(message), std::move(remedy),
               RunState::kNotRun, std::nullopt};
}

}  // namespace

Result<boost::json::object> ParseObject(std::string_view text) {
  boost::json::stream_parser parser;
  boost::json::error_code ec;
  const std::size_t n = parser.write_some(text.data(), text.size(), ec);
  if (!ec && n < text.size()) ec = boost::json::make_error_code(boost::json::error::extra_data);
  if (!ec) parser.finish(ec);
  if (ec) {
    return Invalid("invalid JSON at byte " + std::to_string(n) + ": " + ec.message(),
                   "send one JSON object");
  }
  boost::json::value value = parser.release();
  if (!value.is_object()) return Invalid("JSON value is not an object", "send one JSON object");
  return std::move(value.get_object());
}

std::string TextField(const boost::json::object& object, std::string_view name,
                      std::string_view fallback) {
  const auto* value = object.if_contains(name);
  if (value == nullptr || !value->is_string()) return std::string(fallback);
  return std::string(value->get_string());
}

std::int64_t IntField(const boost::json::object& object, std::string_view name,
                      std::int64_t fallback) {
  const auto* value = object.if_contains(name);
  if (value == nullptr || !value->is_number()) return fallback;
  boost::json::error_code ec;
  const auto n = value->to_number<std::int64_t>(ec);
  return ec ? fallback : n;
}

int NearestInt(std::int64_t n) {
  using Limits = std::numeric_limits<int>;
  return static_cast<int>(std::clamp<std::int64_t>(n, Limits::min(), Limits::max()));
}

std::int64_t TruncatedInt(double n) {
  using Limits = std::numeric_limits<std::int64_t>;
  // Exact as a floating-point number, unlike the largest integer.
  constexpr double kLimit = 9223372036854775808.0;
  if (std::isnan(n)) return 0;
  if (n >= kLimit) return Limits::max();
  if (n < -kLimit) return Limits::min();
  return static_cast<std::int64_t>(n);
}

int SmallIntField(const boost::json::object& object, std::string_view name, int fallback) {
  return NearestInt(IntField(object, name, fallback));
}

double DoubleField(const boost::json::object& object, std::string_view name, double fallback) {
  const auto* value = object.if_contains(name);
  if (value == nullptr || !value->is_number()) return fallback;
  boost::json::error_code ec;
  const auto n = value->to_number<double>(ec);
  return ec ? fallback : n;
}

bool BoolField(const boost::json::object& object, std::string_view name, bool fallback) {
  const auto* value = object.if_contains(name);
  return value != nullptr && value->is_bool() ? value->get_bool() : fallback;
}

Result<std::string> RequireText(const boost::json::object& object, std::string_view name) {
  const auto* value = object.if_contains(name);
  if (value == nullptr || !value->is_string() || value->get_string().empty()) {
    return Invalid("field \"" + std::string(name) + "\" is missing or not a non-empty string",
                   "set it to a non-empty string");
  }
  return std::string(value->get_string());
}

Result<std::int64_t> RequireInt(const boost::json::object& object, std::string_view name,
                                std::int64_t min, std::int64_t max) {
  const auto* value = object.if_contains(name);
  boost::json::error_code ec;
  const std::int64_t n =
      value != nullptr && value->is_number() ? value->to_number<std::int64_t>(ec) : 0;
  const bool valid = value != nullptr && value->is_number() && !ec && n >= min && n <= max;
  if (!valid) {
    return Invalid(
        "field \"" + std::string(name) + "\" is missing or out of range",
        "set it to an integer from " + std::to_string(min) + " to " + std::to_string(max));
  }
  return n;
}

}  // namespace sapphirewheel
