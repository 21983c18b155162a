#include "sapphirewheel/protocol/problem.h"

#include <boost/json/serialize.hpp>

#include "sapphirewheel/state/json.h"

namespace sapphirewheel {

std::string EncodeProblem(const Error& error) {
  const std::string code = ErrorCode(error.kind);
  return boost::json::serialize(boost::json::object{
      {"type", "urn:sapphirewheel:problem:" + code},
      {"title", code},
      {"status", HttpStatus(error.kind)},
      {"detail", error.message},
      {"code", code},
      {"remedy", error.remedy},
      {"run", RunStateName(error.run)},
  });
}

std::string RetryAfterSeconds(const Error& error) {
  if (!error.retry_after) return "";
  constexpr std::int64_t kMillisPerSecond = 1000;
  const std::int64_t ms = error.retry_after->count();
  return std::to_string((ms + kMillisPerSecond - 1) / kMillisPerSecond);
}

}  // namespace sapphirewheel
