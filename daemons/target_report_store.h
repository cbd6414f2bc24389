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

/// Keeps a gate's target in the platform's store, so that the gate finds it
/// again when all processes were lost, before the target's next announcement.
/// Written when the target's name, address or life changes; read once.
class TargetReportStore {
 public:
  using ReportCallback = std::function<void(const coordinator::TargetReport&)>;

  /// `self` is the gate's address for peers; the row bears it.
  TargetReportStore(boost::asio::io_context& io, platform::StoreClient* store,
                    core::Address self, ReportCallback found);

  /// Reads what an earlier process at this address has kept. Tries again while
  /// the store does not answer, unless something was kept meanwhile.
  void Load();
  /// Writes it, and again until the store has taken it.
  void Save(const coordinator::TargetReport& target);

 private:
  void WritePending();
  void RetryLater(const char* call, platform::StoreError error,
                  std::function<void()> again);

  platform::StoreClient* store_;
  core::Address self_address_;
  ReportCallback on_report_loaded_;
  boost::asio::steady_timer timer_;
  /// Encoded target that the store has not taken yet.
  std::optional<std::string> pending_value_;
  bool write_in_progress_ = false;
  bool save_requested_ = false;
};

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_TARGET_REPORT_STORE_H_
