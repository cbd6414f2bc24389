#ifndef TARRAGON_HTTP_MESSAGE_H_
#define TARRAGON_HTTP_MESSAGE_H_

#include <cstdint>
#include <map>
#include <string>

namespace tarragon::http {

/// One HTTP request.
struct Request {
  std::string method = "GET";
  /// Path without the query, percent-decoded. Encoded again when sent.
  std::string path = "/";
  /// Parameters of the query, percent-decoded. Of a repeated name the last
  /// value counts.
  std::map<std::string, std::string> query;
  /// Header fields by lower-case name. Repeated fields are joined by ", ".
  std::map<std::string, std::string> headers;
  std::string body;
  /// "IP:port" of the peer; set on requests that a server received.
  std::string peer;
  /// Names the request among all of its server; set by the server.
  std::uint64_t id = 0;
};

/// One HTTP response.
struct Response {
  /// Status code. A server that is given 0 closes the connection without an
  /// answer.
  int status = 200;
  /// Header fields; names are lower-case on responses that a client received.
  /// A server keeps a "content-length" that is given here even if the body has
  /// another length, and then closes the connection.
  std::map<std::string, std::string> headers;
  std::string content_type = "application/json";
  std::string body;
};

/// Why a call of this library failed.
enum class HttpErrorKind : std::uint8_t {
  kNone = 0,
  /// The address is not "IP:port".
  kBadAddress,
  /// The request cannot be sent as it is, such as a line end in a header.
  kBadRequest,
  /// The address cannot be listened on.
  kListenFailed,
  /// Not one byte of the request has reached the peer.
  kNotSent,
  /// The request may have been processed. The connection closed, the time ran
  /// out, or the answer was truncated or malformed.
  kNoAnswer,
  /// The answer exceeds the limit. The request may have been processed.
  kTooLarge,
};

/// An error of this library.
struct HttpError {
  HttpErrorKind kind = HttpErrorKind::kNone;
  /// One sentence for people.
  std::string text;
  /// Nobody listens at the address.
  bool refused = false;
};

}  // namespace tarragon::http

#endif  // TARRAGON_HTTP_MESSAGE_H_
