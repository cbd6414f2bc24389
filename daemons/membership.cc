#include "membership.h"

#include <string_view>
#include <utility>

#include "retry_pause.h"
#include "tarragon/core/log.h"

namespace tarragon::daemons {
namespace {

constexpr char kTable[] = "members";
constexpr std::string_view kEntryPrefix = "entry/";
constexpr std::string_view kGatePrefix = "gate/";

const core::Log& MemberLog() {
  static const core::Log log("membership");
  return log;
}

std::string KeyOf(MemberKind kind, const core::Address& address) {
  const std::string_view prefix =
      kind == MemberKind::kEntry ? kEntryPrefix : kGatePrefix;
  return std::string(prefix) + address.value();
}

}  // namespace

Membership::Membership(boost::asio::io_context& io,
                       platform::StoreClient* store, MemberKind kind,
                       core::Address self, Found found)
    : store_(store),
      kind_(kind),
      self_(std::move(self)),
      found_(std::move(found)),
      timer_(io) {}

void Membership::Start() { Register(); }

void Membership::Register() {
  store_->Put(kTable, KeyOf(kind_, self_), "1",
              [this](platform::StoreError error) {
                if (error != platform::StoreError::kNone) {
                  return RetryLater("register", error);
                }
                registered_ = true;
                Read("");
              });
}

void Membership::Read(const std::string& from) {
  store_->ReadFrom(kTable, from,
                   [this](const std::optional<platform::StorePage>& page,
                          platform::StoreError error) {
                     if (!page.has_value()) return RetryLater("read", error);
                     Report(*page);
                     if (page->has_more && !page->rows.empty()) {
                       // The first key behind the last one that was read.
                       return Read(page->rows.back().key + '\0');
                     }
                     MemberLog().Info("Registered and read the members.",
                                      {{"revision", page->revision}});
                   });
}

void Membership::Report(const platform::StorePage& page) {
  for (const platform::StoreRow& row : page.rows) {
    const std::string_view key = row.key;
    if (key.starts_with(kEntryPrefix)) {
      found_(MemberKind::kEntry,
             core::Address(std::string(key.substr(kEntryPrefix.size()))));
    } else if (key.starts_with(kGatePrefix)) {
      found_(MemberKind::kGate,
             core::Address(std::string(key.substr(kGatePrefix.size()))));
    }
  }
}

void Membership::RetryLater(const char* call, platform::StoreError error) {
  MemberLog().Warn("The store did not answer the membership call.",
                   {{"call", call}, {"error", platform::Name(error)}});
  timer_.expires_after(RetryPause());
  timer_.async_wait([this](const boost::system::error_code& failure) {
    if (failure) return;
    if (registered_) {
      Read("");
    } else {
      Register();
    }
  });
}

}  // namespace tarragon::daemons
