#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <cstdint>
#include <string>
#include <string_view>

#include "sapphirewheel/state/error.h"

namespace sapphirewheel {

// Parses a JSON object. Errors: kInvalidArgument with the byte position of the syntax error.
[[nodiscard]] Result<boost::json::object> ParseObject(std::string_view text);

// Return a field of an object, or the fallback when the field is missing or of another type.
[[nodiscard]] std::string TextField(const boost::json::object& object, std::string_view name,
                                    std::string_view fallback = "");
[[nodiscard]] std::int64_t IntField(const boost::json::object& object, std::string_view name,
                                    std::int64_t fallback = 0);
// The nearest value that an int can hold.
[[nodiscard]] int SmallIntField(const boost::json::object& object, std::string_view name,
                                int fallback = 0);
[[nodiscard]] int NearestInt(std::int64_t n);
// The nearest integer towards zero, limited to the range of the result; 0 for a value that is not a
// number. What a plain conversion of a value out of range yields differs by machine.
[[nodiscard]] std::int64_t TruncatedInt(double n);
[[nodiscard]] double DoubleField(const boost::json::object& object, std::string_view name,
                                 double fallback = 0);
[[nodiscard]] bool BoolField(const boost::json::object& object, std::string_view name,
                             bool fallback = false);

// Return a field that must be present. Errors: kInvalidArgument, naming the field and its expected
// type.
[[nodiscard]] Result<std::string> RequireText(const boost::json::object& object,
                                              std::string_view name);
[[nodiscard]] Result<std::int64_t> RequireInt(const boost::json::object& object,
                                              std::string_view name, std::int64_t min,
                                              std::int64_t max);

}  // namespace sapphirewheel
