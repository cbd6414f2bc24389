#ifndef TARRAGON_NOTES_HTTP_TABLE_H_
#define TARRAGON_NOTES_HTTP_TABLE_H_

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/http/client.h"
#include "tarragon/http/message.h"
#include "tarragon/notes/table.h"

namespace tarragon::notes {

/// Address and limits of the client of the platform's table.
struct HttpTableSettings {
  core::Address address;
  /// Time limit from the call to the complete response.
  core::Duration timeout{std::chrono::seconds(2)};
  /// Limit of outstanding calls. Calls beyond it end as kUnavailable at once.
  std::size_t max_outstanding = 64;
};

/// The client of the platform's table over HTTP. Sends each call once, without
/// retries. Must be used on the thread of the io_context.
class HttpTable : public Table {
 public:
  HttpTable(boost::asio::io_context& io, HttpTableSettings settings);
  /// Drops the outstanding calls; their callbacks are not called.
  ~HttpTable() override;
  HttpTable(const HttpTable&) = delete;
  HttpTable& operator=(const HttpTable&) = delete;

  void Read(const std::string& table, const std::string& key,
            std::uint64_t known_version, Callback done) override;
  void Insert(const std::string& table, const std::string& key,
              std::string value, Callback done) override;
  void Replace(const std::string& table, const std::string& key,
               std::string value, std::uint64_t expected_version,
               Callback done) override;
  void Delete(const std::string& table, const std::string& key,
              std::uint64_t expected_version, Callback done) override;

  /// The number of calls without a reply yet.
  std::size_t outstanding() const;

 private:
  using ReplyParser =
      std::function<TableReply(const std::optional<http::Response>& response,
                               const http::HttpError& error)>;

  void Send(http::Request request, ReplyParser parse_reply, Callback done);
  void PostReply(TableReply reply, Callback done);

  boost::asio::io_context& io_;
  HttpTableSettings settings_;
  std::size_t outstanding_ = 0;
  /// Expires with this object, so that replies posted to the io_context are
  /// dropped afterwards.
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
  http::Client client_;
};

}  // namespace tarragon::notes

#endif  // TARRAGON_NOTES_HTTP_TABLE_H_
