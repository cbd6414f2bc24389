#ifndef TARRAGON_TESTS_STANDINS_PLATFORM_STANDIN_TABLE_H_
#define TARRAGON_TESTS_STANDINS_PLATFORM_STANDIN_TABLE_H_

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "tarragon/http/message.h"
#include "tarragon/http/server.h"

namespace tarragon::standins {

/// What the stand-in does to the calls of the table.
enum class FaultMode : std::uint8_t {
  kNone,
  /// Closes the connection; the call has no effect.
  kDown,
  /// Has its effect at once and answers after the delay.
  kSlow,
  /// Has its effect and answers after the delay.
  kLate,
  /// A write has its effect, then the connection closes without an answer.
  kLoseReply,
  /// Answers 503; the call has no effect.
  kRefuse,
};

/// A fault in force. Empty filters match every call.
struct Fault {
  FaultMode mode = FaultMode::kNone;
  std::uint64_t delay_ms = 0;
  /// Calls that it still strikes; empty means until it is changed.
  std::optional<std::uint64_t> count;
  /// The method, such as "PUT".
  std::string only;
  /// Part of the peer's "IP:port".
  std::string caller;
};

/// Reads the body of POST /fault. Empty when it is not one.
std::optional<Fault> ParseFault(const std::string& body);

/// Stands in for the platform's table: rows in memory behind the HTTP calls of
/// docs/INTERFACES.md. Besides, `POST /fault` sets a fault, `GET /stats`
/// counts, and `GET /v1/tables/T/rows` lists rows; faults do not strike these.
class PlatformStandin {
 public:
  struct Stats {
    std::uint64_t reads = 0;
    /// Inserts, replaces and deletes that took effect.
    std::uint64_t writes = 0;
    /// Writes that met another version, or a row that was there.
    std::uint64_t conflicts = 0;
    /// Calls that a fault struck.
    std::uint64_t faults = 0;
  };

  /// Must outlive its use as a handler.
  explicit PlatformStandin(boost::asio::io_context& io) : io_(io) {}

  /// Answers one request; the handler of a http::Server.
  void Handle(const http::Request& request, const http::Responder& respond);

  void SetFault(const Fault& fault) { fault_ = fault; }
  const Stats& stats() const { return stats_; }

 private:
  struct Row {
    std::string value;
    std::uint64_t version = 0;
  };
  using Rows = std::map<std::string, Row>;

  void HandleRow(const std::string& table, const std::string& key,
                 const http::Request& request, const http::Responder& respond);
  /// The fault that strikes this call; counts it.
  Fault TakeFault(const http::Request& request);
  /// Carries a call out.
  http::Response Apply(const std::string& table, const std::string& key,
                       const http::Request& request);
  http::Response Get(const Row* row, const http::Request& request);
  http::Response Put(Rows* rows, const std::string& key,
                     const http::Request& request);
  http::Response Delete(Rows* rows, const std::string& key,
                        const http::Request& request);
  http::Response List(const std::string& table) const;
  http::Response ReadFault(const http::Request& request);
  http::Response StatsPage() const;
  /// Calls `then` after `delay_ms`.
  void After(std::uint64_t delay_ms, std::function<void()> then);

  boost::asio::io_context& io_;
  std::map<std::string, Rows> tables_;
  /// Rises with every write to any row, so that no version comes twice.
  std::uint64_t last_version_ = 0;
  Fault fault_;
  Stats stats_;
};

}  // namespace tarragon::standins

#endif  // TARRAGON_TESTS_STANDINS_PLATFORM_STANDIN_TABLE_H_
