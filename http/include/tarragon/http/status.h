#ifndef TARRAGON_HTTP_STATUS_H_
#define TARRAGON_HTTP_STATUS_H_

/// Status codes of HTTP (RFC 9110) that the programs send or look for.

namespace tarragon::http {

inline constexpr int kStatusOk = 200;
inline constexpr int kStatusNotModified = 304;
inline constexpr int kStatusBadRequest = 400;
inline constexpr int kStatusUnauthorized = 401;
inline constexpr int kStatusNotFound = 404;
inline constexpr int kStatusMethodNotAllowed = 405;
inline constexpr int kStatusPreconditionFailed = 412;
inline constexpr int kStatusServerError = 500;
inline constexpr int kStatusUnavailable = 503;

}  // namespace tarragon::http

#endif  // TARRAGON_HTTP_STATUS_H_
