#ifndef TARRAGON_TESTS_SOAK_FAKE_STORE_H_
#define TARRAGON_TESTS_SOAK_FAKE_STORE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "tarragon/http/server.h"

namespace tarragon::soak {

/// The platform's store as far as the programs use it: rows of tables with one
/// rising counter, a feed of changes, and outages.
class FakeStore {
 public:
  explicit FakeStore(boost::asio::io_context& io);

  std::string address() const { return address_; }
  /// Refuses all calls with 503 until it is turned off.
  void SetRefusing(bool refusing) { refusing_ = refusing; }
  /// Forgets which rows have changed.
  void ForgetHistory();

  // What operators write.
  void Put(const std::string& table, const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);

 private:
  struct Change {
    std::uint64_t revision = 0;
    std::string table;
    std::string key;
  };

  void Handle(const http::Request& request, const http::Responder& answer);
  void Transact(const http::Request& request, const http::Responder& answer);
  void Get(const http::Request& request, const http::Responder& answer);
  void Feed(const http::Request& request, const http::Responder& answer,
            int waits_left);
  std::string Rows(const std::string& table, std::uint64_t after) const;

  boost::asio::io_context& io_;
  http::Server server_;
  std::string address_;
  std::map<std::string, std::map<std::string, std::string>> tables_;
  std::deque<Change> changes_;
  std::uint64_t revision_ = 1;
  std::uint64_t forgotten_ = 0;
  bool refusing_ = false;
};

}  // namespace tarragon::soak

#endif  // TARRAGON_TESTS_SOAK_FAKE_STORE_H_
