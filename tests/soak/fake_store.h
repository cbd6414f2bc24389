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

/// Imitates the part of the platform's store that the programs use: tables of
/// rows, one revision counter for all tables, and a long-polled feed of
/// changes. Can refuse, delay or drop answers to imitate outages.
class FakeStore {
 public:
  explicit FakeStore(boost::asio::io_context& io);

  /// "IP:port" where it listens.
  std::string address() const { return address_; }
  /// While true, answers every request with status 503.
  void SetRefusing(bool refusing) { refusing_ = refusing; }
  /// Delays every answer by `delay`.
  void SetDelay(std::chrono::milliseconds delay) { delay_ = delay; }
  /// While true, executes requests but sends no answer.
  void SetDroppingAnswers(bool dropping) { dropping_answers_ = dropping; }
  /// While true, reads of tables answer from a snapshot of when it was set.
  void SetStale(bool stale);
  std::size_t CountRows(const std::string& table) const;
  /// Rows that the programs have written.
  int writes() const { return writes_; }
  /// Reads of tables that were answered.
  int reads() const { return reads_; }
  /// Requests that were answered with 503.
  int refusals() const { return refusals_; }
  /// Discards the change feed: readers that are behind get status 410 and must
  /// read the tables again.
  void DiscardHistory();

  // Operators write rows with these; they do not count as writes().
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
  /// Wraps `answer` so that it is delayed or dropped as currently set.
  http::Responder WithInjectedFault(const http::Responder& answer);
  void HandleTransaction(const http::Request& request,
                         const http::Responder& answer);
  void HandleGet(const http::Request& request, const http::Responder& answer);
  void HandleFeed(const http::Request& request, const http::Responder& answer,
                  int polls_left);
  /// JSON page of at most `limit` rows of the table with keys from `from` on.
  /// If `after` is not 0, only rows that changed after that revision, and an
  /// empty string if there are none.
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
  /// The answers to reads of tables while the store is stale, by table.
  std::map<std::string, std::string> stale_pages_;
  std::vector<http::Responder> unanswered_;
  std::chrono::milliseconds delay_{0};
  int writes_ = 0;
  int refusals_ = 0;
  int reads_ = 0;
};

}  // namespace tarragon::soak

#endif  // TARRAGON_TESTS_SOAK_FAKE_STORE_H_
