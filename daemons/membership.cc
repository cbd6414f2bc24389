#include "membership.h"

#include <string_view>
#include <utility>

#include "store_retry_delay.h"
#include "tarragon/core/log.h"
#include "tarragon/http/endpoint.h"

namespace tarragon::daemons {
namespace {

constexpr char kTable[] = "members";
constexpr std::string_view kEntryPrefix = "entry/";
constexpr std::string_view kGatePrefix = "gate/";

const core::Log& MemberLog() {
  static const core::Log log("membership");
  return log;
}

std::string MemberKey(MemberKind kind, const core::Address& address) {
  const std::string_view prefix =
      kind == MemberKind::kEntry ? kEntryPrefix : kGatePrefix;
  return std::string(prefix) + address.value();
}

}  // namespace

Membership::Membership(boost::asio::io_context& io,
                       platform::StoreClient* store, MemberKind kind,
                       core::Address self_address, MemberCallback on_member)
    : store_(store),
      kind_(kind),
      self_address_(std::move(self_address)),
      on_member_(std::move(on_member)),
      timer_(io) {}

void Membership::Start() { RegisterSelf(); }

void Membership::RegisterSelf() {
  store_->Put(kTable, MemberKey(kind_, self_address_), "1",
              [this](platform::StoreError error) {
                if (error != platform::StoreError::kNone) {
                  return RetryLater("register", error);
                }
                registered_ = true;
                ReadMembers("");
              });
}

void Membership::ReadMembers(const std::string& from) {
  store_->ReadFrom(kTable, from,
                   [this](const std::optional<platform::StorePage>& page,
                          platform::StoreError error) {
                     if (!page.has_value()) return RetryLater("read", error);
                     ReportMembers(*page);
                     if (page->has_more && !page->last_key.empty()) {
                       // The smallest key after the last one that was read.
                       return ReadMembers(page->last_key + '\0');
                     }
                     MemberLog().Info(
                         "Registered this process and read all members.",
                         {{"revision", page->revision}});
                   });
}

void Membership::ReportMembers(const platform::StorePage& page) {
  for (const std::string& error : page.row_errors) {
    MemberLog().Warn("Skipped an invalid row of the members' table.",
                     {{"fault", error}});
  }
  for (const platform::StoreRow& row : page.rows) {
    const std::string_view key = row.key;
    if (key.starts_with(kEntryPrefix)) {
      ReportMember(MemberKind::kEntry, key.substr(kEntryPrefix.size()));
    } else if (key.starts_with(kGatePrefix)) {
      ReportMember(MemberKind::kGate, key.substr(kGatePrefix.size()));
    }
  }
}

void Membership::ReportMember(MemberKind kind, std::string_view text) {
  const core::Address address{std::string(text)};
  if (http::IsEndpoint(address)) return on_member_(kind, address);
  MemberLog().Warn("Skipped a member whose address is invalid.",
                   {{"address", address}});
}

void Membership::RetryLater(const char* call, platform::StoreError error) {
  MemberLog().Warn("A membership call to the store failed.",
                   {{"call", call}, {"error", platform::Name(error)}});
  timer_.expires_after(RandomStoreRetryDelay());
  timer_.async_wait([this](const boost::system::error_code& failure) {
    if (failure) return;
    if (registered_) {
      ReadMembers("");
    } else {
      RegisterSelf();
    }
  });
}

}  // namespace tarragon::daemons
