#pragma once

#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "sapphirewheel/transport/http_server.h"

namespace sapphirewheel {

// Checks the header of a request for anything that makes its framing or identity ambiguous. Returns
// a description of the error, or an empty string.
[[nodiscard]] std::string FindHeaderError(const boost::beast::http::fields& fields,
                                          unsigned version);

// Splits a request target into a percent-decoded path and query. Returns false when the target is
// malformed or its path contains a percent-encoded '/' or NUL.
[[nodiscard]] bool ParseTarget(std::string_view target, HttpRequest& request);

// Converts a parsed message to a request; empty when the target is malformed.
[[nodiscard]] std::optional<HttpRequest> ToRequest(
    boost::beast::http::request<boost::beast::http::string_body> message, std::string remote);

// A problem document with a status that no ErrorKind maps to.
[[nodiscard]] HttpReply ProblemReplyWithStatus(int status, std::string message, std::string remedy);

}  // namespace sapphirewheel
