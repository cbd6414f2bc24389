#ifndef TARRAGON_NOTES_TABLE_HTTP_H_
#define TARRAGON_NOTES_TABLE_HTTP_H_

#include <cstdint>
#include <optional>
#include <string>

#include "tarragon/http/message.h"
#include "tarragon/notes/table.h"

/// Translates calls of the platform's table to HTTP requests and the responses
/// back. Nothing is sent here.

namespace tarragon::notes {

/// Returns the path of one row, in which each name is a single segment. A
/// slash, a tilde and a leading dot are encoded as a tilde and two hex digits,
/// because proxies may rewrite them even if they are percent-encoded. The
/// client percent-encodes the other characters.
std::string FormatRowPath(const std::string& table, const std::string& key);

/// Formats a version as an entity tag: the number in double quotes.
std::string FormatTag(std::uint64_t version);
/// Parses an entity tag. Returns nothing unless it is a version above zero.
std::optional<std::uint64_t> ParseTag(const std::string& text);

/// Parses the response to a read with `known_version`.
TableReply ParseReadReply(std::uint64_t known_version,
                          const std::optional<http::Response>& response,
                          const http::HttpError& error);
/// Parses the response to an insert or replace.
TableReply ParseWriteReply(const std::optional<http::Response>& response,
                           const http::HttpError& error);
/// Parses the response to a delete.
TableReply ParseDeleteReply(const std::optional<http::Response>& response,
                            const http::HttpError& error);

}  // namespace tarragon::notes

#endif  // TARRAGON_NOTES_TABLE_HTTP_H_
