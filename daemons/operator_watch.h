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
  using Changed = std::function<void(const coordinator::OperatorState&)>;

  OperatorWatch(boost::asio::io_context& io, platform::StoreClient* store,
                Changed changed);

  void Start();

 private:
  void ReadAll(const std::string& from);
  void Wait();
  void Take(const platform::StorePage& page);
  void Answered(const platform::StorePage& page);
  void Failed(platform::StoreError error);

  platform::StoreClient* store_;
  Changed changed_;
  boost::asio::steady_timer timer_;
  platform::OperatorRows rows_;
  /// Counter of the store up to which changes are known; nothing before the
  /// first full reading.
  std::optional<std::uint64_t> position_;
  bool store_answers_ = true;
};

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_OPERATOR_WATCH_H_
