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

/// The role of a process.
enum class MemberKind : std::uint8_t { kEntry, kGate };

/// Registers a process and discovers its peers, once at its start: writes the
/// process's address into the platform's store, then reads the addresses of all
/// other processes. Writing first ensures that of two processes that start at
/// the same time at least one finds the other. After that, peers remember each
/// other. Retries each of the two calls until it succeeds.
class Membership {
 public:
  /// Called for each process found, the own one included.
  using MemberCallback = std::function<void(MemberKind, const core::Address&)>;

  Membership(boost::asio::io_context& io, platform::StoreClient* store,
             MemberKind kind, core::Address self_address,
             MemberCallback on_member);

  void Start();

 private:
  void RegisterSelf();
  void ReadMembers(const std::string& from);
  void ReportMembers(const platform::StorePage& page);
  void ReportMember(MemberKind kind, std::string_view text);
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
