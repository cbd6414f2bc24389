#ifndef TARRAGON_HTTP_URL_H_
#define TARRAGON_HTTP_URL_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace tarragon::http {

/// The target of a request line, decoded.
struct Target {
  std::string path;
  std::map<std::string, std::string> query;
};

/// Reads the target of a request line: "/path?name=value&..." or the absolute
/// form "http://host/path?...". Nothing if it is neither or an escape is bad.
std::optional<Target> ParseTarget(std::string_view text);

/// The target of a request line for a path and a query.
std::string FormatTarget(const std::string& path,
                         const std::map<std::string, std::string>& query);

}  // namespace tarragon::http

#endif  // TARRAGON_HTTP_URL_H_
