#ifndef TARRAGON_DAEMONS_OPERATOR_WATCH_H_
#define TARRAGON_DAEMONS_OPERATOR_WATCH_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <optional>
#include <string>

#include "tarragon/platform/operator_rows.h"
#include "tarragon/platform/store_client.h"

namespace tarragon::daemons {

/// Follows what the operators write into the platform's store: reads it in full
/// once, then waits for changes. Reads in full again when the store has
/// forgotten its history.
class OperatorWatch {
 public:
  using StateCallback = std::function<void(const coordinator::OperatorState&)>;

  OperatorWatch(boost::asio::io_context& io, platform::StoreClient* store,
                StateCallback changed);

  void Start();

 private:
  void ReadAllRows(const std::string& from);
  void WatchChanges();
  void ApplyPage(const platform::StorePage& page);
  void RecordStoreAnswer(const platform::StorePage& page);
  void HandleStoreError(platform::StoreError error);

  platform::StoreClient* store_;
  StateCallback on_state_;
  boost::asio::steady_timer timer_;
  platform::OperatorRows rows_;
  /// Counter of the store up to which changes are known; nothing before the
  /// first full reading.
  std::optional<std::uint64_t> watched_revision_;
  bool store_available_ = true;
};

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_OPERATOR_WATCH_H_
