#ifndef TARRAGON_REVIEW_STANDINS_3_STORE_H_
#define TARRAGON_REVIEW_STANDINS_3_STORE_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "record.h"
#include "tarragon/http/server.h"

namespace tarragon::review {

/// The part of the platform's metadata store that the programs use: rows with
/// an empty part, one version counter, and the feed of changes. It keeps its
/// whole history.
class Store {
 public:
  Store(boost::asio::io_context& io, const std::string& ip);

  const std::string& address() const { return address_; }
  /// Writes a row for the operator. `value` is not encoded.
  void Put(const std::string& table, const std::string& key,
           const std::string& value);

 private:
  struct Row {
    std::string value;
    std::uint64_t version = 0;
  };

  void Handle(const http::Request& request, const http::Responder& answer);
  void Transact(const http::Request& request, const http::Responder& answer);
  void Get(const http::Request& request, const http::Responder& answer);
  void Feed(const http::Request& request, const http::Responder& answer,
            Steady::time_point until);

  boost::asio::io_context& io_;
  http::Server server_;
  std::string address_;
  std::uint64_t version_ = 1;
  std::map<std::string, std::map<std::string, Row>> tables_;
};

}  // namespace tarragon::review

#endif  // TARRAGON_REVIEW_STANDINS_3_STORE_H_
