#ifndef TARRAGON_HTTP_CONVERT_H_
#define TARRAGON_HTTP_CONVERT_H_

#include <optional>
#include <string>

#include "net.h"
#include "tarragon/http/message.h"

/// Turns Beast's messages into those of this library and back.

namespace tarragon::http {

using BeastRequest = beast_http::request<beast_http::string_body>;
using BeastResponse = beast_http::response<beast_http::string_body>;

/// The received request, or nothing if its target is malformed.
std::optional<Request> ToRequest(BeastRequest&& message,
                                 const std::string& peer);

/// The request to send, or nothing if its method or a header is malformed.
std::optional<BeastRequest> ToBeast(const Request& request,
                                    const core::Address& host);

/// The received response.
Response ToResponse(BeastResponse&& message);

/// The response to send. Malformed header fields are left out.
BeastResponse ToBeast(Response&& response, unsigned version, bool keep_alive);

/// Whether the stated length of a response is that of its body.
bool LengthMatches(const BeastResponse& message);

}  // namespace tarragon::http

#endif  // TARRAGON_HTTP_CONVERT_H_
