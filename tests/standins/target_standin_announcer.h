#ifndef TARRAGON_TESTS_STANDINS_TARGET_STANDIN_ANNOUNCER_H_
#define TARRAGON_TESTS_STANDINS_TARGET_STANDIN_ANNOUNCER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>

#include "target_standin_options.h"
#include "tarragon/core/ids.h"
#include "tarragon/http/client.h"

namespace tarragon::standin {

/// Announces the target to its agent every second.
class Announcer {
 public:
  /// `running` tells how many tasks run.
  Announcer(boost::asio::io_context& io, TargetOptions options,
            std::function<std::size_t()> running);

  /// Begins to announce that the target listens on `address`.
  void Start(const core::Address& address);
  /// Announces once that the target leaves; then calls `on_sent`, whether the
  /// agent has answered or not.
  void Leave(std::function<void()> on_sent);

 private:
  void Announce();
  void Send(bool leaving, http::Client::Done done);

  TargetOptions options_;
  std::function<std::size_t()> running_;
  http::Client client_;
  boost::asio::steady_timer timer_;
  core::Address address_;
};

}  // namespace tarragon::standin

#endif  // TARRAGON_TESTS_STANDINS_TARGET_STANDIN_ANNOUNCER_H_
