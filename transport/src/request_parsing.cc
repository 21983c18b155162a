#include "request_parsing.h"

#include <boost/json/serialize.hpp>
#include <charconv>

#include "sapphirewheel/protocol/problem.h"
#include "sapphirewheel/state/json.h"

namespace sapphirewheel {
namespace {

namespace http = boost::beast::http;

bool Decode(std::string_view text, bool plus_is_space, std::string& out) {
  constexpr std::size_t kDigits = 2;
  constexpr int kBase = 16;
  out.clear();
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      out += plus_is_space && text[i] == '+' ? ' ' : text[i];
      continue;
    }
    const std::string_view digits = text.substr(i + 1, kDigits);
    unsigned byte = 0;
    const auto [end, err] =
        std::from_chars(digits.data(), digits.data() + digits.size(), byte, kBase);
    if (err != std::errc() || digits.size() < kDigits || end != digits.data() + kDigits) {
      return false;
    }
    out += static_cast<char>(byte);
    i += kDigits;
  }
  return true;
}

bool ParseQuery(std::string_view text, HttpRequest& request) {
  while (!text.empty()) {
    const auto end = text.find('&');
    const std::string_view pair = text.substr(0, end);
    text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    if (pair.empty()) continue;
    const auto equals = pair.find('=');
    std::string name;
    std::string value;
    if (!Decode(pair.substr(0, equals), true, name)) return false;
    if (equals != std::string_view::npos && !Decode(pair.substr(equals + 1), true, value)) {
      return false;
    }
    request.query[name] = value;
  }
  return true;
}

// Header fields that must not be repeated, because two parties could use different ones of them.
bool IsSingleton(std::string_view name) {
  constexpr std::string_view kSingletons[] = {
      "authorization", "content-length",  "host",       "transfer-encoding",
      "content-type",  "idempotency-key", "traceparent"};
  constexpr std::string_view kProjectPrefix = "sapphirewheel-";
  for (const auto single : kSingletons) {
    if (boost::beast::iequals(name, single)) return true;
  }
  return boost::beast::iequals(name.substr(0, kProjectPrefix.size()), kProjectPrefix);
}

}  // namespace

std::string FindHeaderError(const http::fields& fields, unsigned version) {
  constexpr unsigned kHttp11 = 11;
  for (const auto& field : fields) {
    if (IsSingleton(field.name_string()) && fields.count(field.name_string()) > 1) {
      return "header " + std::string(field.name_string()) + " is repeated";
    }
  }
  if (version >= kHttp11 && fields.count(http::field::host) == 0) return "header Host is missing";
  const auto encoding = fields.find(http::field::transfer_encoding);
  if (encoding != fields.end()) {
    if (!boost::beast::iequals(encoding->value(), "chunked")) {
      return "the transfer encoding is not supported";
    }
    if (fields.count(http::field::content_length) != 0) {
      return "Content-Length and Transfer-Encoding are mutually exclusive";
    }
  }
  return "";
}

bool ParseTarget(std::string_view target, HttpRequest& request) {
  if (target.empty() || target.front() != '/') return false;
  const auto mark = target.find('?');
  const std::string_view path = target.substr(0, mark);
  if (!Decode(path, false, request.path)) return false;
  std::string_view rest = path;
  for (auto at = rest.find('%'); at != std::string_view::npos; at = rest.find('%', at + 1)) {
    const std::string_view code = rest.substr(at, 3);
    if (boost::beast::iequals(code, "%2f") || code == "%00") return false;
  }
  return mark == std::string_view::npos || ParseQuery(target.substr(mark + 1), request);
}

std::optional<HttpRequest> ToRequest(http::request<http::string_body> message, std::string remote) {
  HttpRequest request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  if (!ParseTarget(request.target, request)) return std::nullopt;
  for (const auto& field : message) {
    auto& value = request.headers[std::string(field.name_string())];
    if (!value.empty()) value += ", ";
    value += std::string(field.value());
  }
  request.body = std::move(message.body());
  request.remote_address = std::move(remote);
  return request;
}

HttpReply ProblemReply(const Error& error) {
  HttpReply reply;
  reply.status = HttpStatus(error.kind);
  reply.content_type = kProblemContentType;
  reply.body = EncodeProblem(error);
  const std::string seconds = RetryAfterSeconds(error);
  if (!seconds.empty()) reply.headers.emplace_back("Retry-After", seconds);
  return reply;
}

HttpReply ProblemReplyWithStatus(int status, std::string message, std::string remedy) {
  HttpReply reply = ProblemReply(Error{ErrorKind::kInvalidArgument, std::move(message),
                                       std::move(remedy), RunState::kNotRun, std::nullopt});
  reply.status = status;
  auto document = ParseObject(reply.body);
  if (document) {
    document.value()["status"] = status;
    reply.body = boost::json::serialize(document.value());
  }
  return reply;
}

}  // namespace sapphirewheel
