#pragma once

#include <boost/json/value.hpp>
#include <string>

namespace sapphirewheel {

enum class OutputFormat { kTable, kJson };

// Prints a JSON value as aligned "name value" lines and tables for people, or as JSON for scripts.
void PrintValue(const boost::json::value& value, OutputFormat format);

}  // namespace sapphirewheel
