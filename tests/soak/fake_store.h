#ifndef TARRAGON_TESTS_SOAK_FAKE_STORE_H_
#define TARRAGON_TESTS_SOAK_FAKE_STORE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

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
  /// Answers after this time.
  void SetDelay(std::chrono::milliseconds delay) { delay_ = delay; }
  /// Carries out calls but does not answer them.
  void SetDroppingAnswers(bool dropping) { dropping_answers_ = dropping; }
  std::size_t CountRows(const std::string& table) const;
  /// Writes that were carried out for the programs.
  int writes() const { return writes_; }
  int refusals() const { return refusals_; }
  /// Forgets which rows have changed.
  void DiscardHistory();

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

  void Handle(const http::Request& request, const http::Responder& done);
  /// The answer as it goes out while the store is slow or loses answers.
  http::Responder WithInjectedFault(const http::Responder& answer);
  void HandleTransaction(const http::Request& request,
                         const http::Responder& answer);
  void HandleGet(const http::Request& request, const http::Responder& answer);
  void HandleFeed(const http::Request& request, const http::Responder& answer,
                  int polls_left);
  std::string SerializeRows(const std::string& table, std::uint64_t after,
                            const std::string& from, std::size_t limit) const;

  boost::asio::io_context& io_;
  http::Server server_;
  std::string address_;
  std::map<std::string, std::map<std::string, std::string>> tables_;
  std::deque<Change> changes_;
  std::uint64_t revision_ = 1;
  std::uint64_t discarded_until_revision_ = 0;
  bool refusing_ = false;
  bool dropping_answers_ = false;
  std::vector<http::Responder> unanswered_;
  std::chrono::milliseconds delay_{0};
  int writes_ = 0;
  int refusals_ = 0;
};

}  // namespace tarragon::soak

#endif  // TARRAGON_TESTS_SOAK_FAKE_STORE_H_
