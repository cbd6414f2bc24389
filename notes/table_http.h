#ifndef TARRAGON_NOTES_TABLE_HTTP_H_
#define TARRAGON_NOTES_TABLE_HTTP_H_

#include <cstdint>
#include <optional>
#include <string>

#include "tarragon/http/message.h"
#include "tarragon/notes/table.h"

/// The calls of the platform's table as HTTP messages, without any sending.

namespace tarragon::notes {

/// The path of one row. Names stay one segment of the path: a slash, a tilde
/// and a leading dot become a tilde and two hex digits, because proxies may
/// rewrite those even when they are percent-encoded. The client
/// percent-encodes the rest.
std::string FormatRowPath(const std::string& table, const std::string& key);

/// The entity tag of a version: the number in double quotes.
std::string FormatTag(std::uint64_t version);
/// Reads an entity tag; empty for anything but a version above zero.
std::optional<std::uint64_t> ParseTag(const std::string& text);

/// The result of a read that knew `known_version`.
TableReply ParseReadReply(std::uint64_t known_version,
                          const std::optional<http::Response>& response,
                          const http::HttpError& error);
/// The result of an insert or replace.
TableReply ParseWriteReply(const std::optional<http::Response>& response,
                           const http::HttpError& error);
/// The result of a delete.
TableReply ParseDeleteReply(const std::optional<http::Response>& response,
                            const http::HttpError& error);

}  // namespace tarragon::notes

#endif  // TARRAGON_NOTES_TABLE_HTTP_H_
