#ifndef TARRAGON_DAEMONS_OPERATOR_WATCH_H_
#define TARRAGON_DAEMONS_OPERATOR_WATCH_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include "tarragon/core/clock.h"
#include "tarragon/platform/operator_rows.h"
#include "tarragon/platform/store_client.h"

namespace tarragon::daemons {

/// Watches the operators' table in the platform's store: reads it in full once,
/// then long-polls for changes. Reads it in full again when the store no longer
/// has the history since the last known revision.
class OperatorWatch {
 public:
  /// Called with the whole state after each full read and each change.
  using StateCallback = std::function<void(const coordinator::OperatorState&)>;

  OperatorWatch(boost::asio::io_context& io, const core::Clock* clock,
                platform::StoreClient* store, StateCallback on_state);

  void Start();

  /// Time since the store last answered a read; since the start of the watch if
  /// it never has.
  std::chrono::milliseconds answer_age() const {
    return std::chrono::floor<std::chrono::milliseconds>(clock_->Now() -
                                                         answered_at_);
  }
  /// Reads that have failed, in total.
  std::uint64_t failed_reads() const { return failed_reads_; }

 private:
  void ReadAllRows(const std::string& from);
  void WatchChanges();
  void ApplyPage(const platform::StorePage& page);
  void RecordStoreAnswer(const platform::StorePage& page);
  void HandleStoreError(platform::StoreError error);
  void RetryAfter(core::Duration delay);

  const core::Clock* clock_;
  platform::StoreClient* store_;
  StateCallback on_state_;
  boost::asio::steady_timer timer_;
  platform::OperatorRows rows_;
  /// Revision of the store up to which all changes are known. Nothing until a
  /// full read is complete.
  std::optional<std::uint64_t> watched_revision_;
  /// Revision of the store at the first page of the full read in progress.
  std::uint64_t full_read_revision_ = 0;
  core::Time answered_at_;
  std::uint64_t failed_reads_ = 0;
  /// Reads that have failed since the store last answered.
  std::uint64_t failures_in_a_row_ = 0;
  /// Watches that found their history gone since one was last answered.
  std::uint64_t histories_gone_ = 0;
};

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_OPERATOR_WATCH_H_
