#ifndef TARRAGON_DAEMONS_TARGET_REPORT_STORE_H_
#define TARRAGON_DAEMONS_TARGET_REPORT_STORE_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>

#include "tarragon/coordinator/message.h"
#include "tarragon/platform/store_client.h"

namespace tarragon::daemons {

/// Persists the last report about a gate's target in the platform's store, so
/// that a gate that starts after the loss of all processes knows its target
/// before the target announces itself again. Written when the id, address or
/// start time of the target changes; read once at the start.
class TargetReportStore {
 public:
  /// Called with the loaded report.
  using ReportCallback = std::function<void(const coordinator::TargetReport&)>;

  /// `self_address` is the gate's address for peers and the key of its row.
  TargetReportStore(boost::asio::io_context& io, platform::StoreClient* store,
                    core::Address self_address,
                    ReportCallback on_report_loaded);

  /// Reads the report that an earlier process at this address saved. Retries
  /// until the store answers or Save was called.
  void Load();
  /// Writes the report, and retries until the store has accepted it or a later
  /// one.
  void Save(const coordinator::TargetReport& report);

 private:
  void WritePending();
  void RetryLater(const char* call, platform::StoreError error,
                  std::function<void()> retry);

  platform::StoreClient* store_;
  core::Address self_address_;
  ReportCallback on_report_loaded_;
  boost::asio::steady_timer timer_;
  /// Encoded report whose write has not begun or must be retried.
  std::optional<std::string> pending_value_;
  bool write_in_progress_ = false;
  bool save_requested_ = false;
};

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_TARGET_REPORT_STORE_H_
