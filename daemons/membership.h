#ifndef TARRAGON_DAEMONS_MEMBERSHIP_H_
#define TARRAGON_DAEMONS_MEMBERSHIP_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <string>

#include "tarragon/core/ids.h"
#include "tarragon/platform/store_client.h"

namespace tarragon::daemons {

/// What a process is to the others.
enum class MemberKind : std::uint8_t { kEntry, kGate };

/// Makes a process known to the others once, at its start: it writes its
/// address into the platform's store and then reads those of all others. Of two
/// processes that start at once, at least one so learns of the other. From then
/// on peers remember each other. Repeats until both calls have succeeded.
class Membership {
 public:
  using MemberCallback = std::function<void(MemberKind, const core::Address&)>;

  Membership(boost::asio::io_context& io, platform::StoreClient* store,
             MemberKind kind, core::Address self, MemberCallback found);

  void Start();

 private:
  void RegisterSelf();
  void ReadMembers(const std::string& from);
  void ReportMembers(const platform::StorePage& page);
  void RetryLater(const char* call, platform::StoreError error);

  platform::StoreClient* store_;
  MemberKind kind_;
  core::Address self_address_;
  MemberCallback on_member_;
  boost::asio::steady_timer timer_;
  bool registered_ = false;
};

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_MEMBERSHIP_H_
