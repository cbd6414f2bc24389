#include "target_memory.h"

#include <utility>
#include <variant>

#include "retry_pause.h"
#include "tarragon/core/log.h"
#include "tarragon/wire/codec.h"

namespace tarragon::daemons {
namespace {

constexpr char kTable[] = "targets";

const core::Log& MemoryLog() {
  static const core::Log log("target_memory");
  return log;
}

std::optional<coordinator::TargetReport> ReadTarget(const std::string& bytes,
                                                    std::string* reason) {
  wire::WireError error;
  std::optional<dispatch::Message> message = wire::Decode(bytes, &error);
  if (!message.has_value()) {
    *reason = error.detail;
    return std::nullopt;
  }
  auto* hint = std::get_if<coordinator::TargetHint>(&*message);
  if (hint == nullptr) {
    *reason = "The row holds another message.";
    return std::nullopt;
  }
  return std::move(hint->last);
}

}  // namespace

TargetMemory::TargetMemory(boost::asio::io_context& io,
                           platform::StoreClient* store, core::Address self,
                           Found found)
    : store_(store),
      self_(std::move(self)),
      found_(std::move(found)),
      timer_(io) {}

void TargetMemory::Recall() {
  if (kept_) return;
  store_->ReadRow(kTable, self_.value(),
                  [this](const std::optional<platform::StorePage>& page,
                         platform::StoreError error) {
                    if (!page.has_value()) {
                      return Later("read", error, [this]() { Recall(); });
                    }
                    for (const platform::StoreRow& row : page->rows) {
                      if (row.key != self_.value() || row.is_deleted || kept_)
                        continue;
                      std::string reason;
                      const std::optional<coordinator::TargetReport> target =
                          ReadTarget(row.value, &reason);
                      if (target.has_value()) return found_(*target);
                      MemoryLog().Warn("The kept target cannot be read.",
                                       {{"id", row.key}, {"why", reason}});
                    }
                  });
}

void TargetMemory::Keep(const coordinator::TargetReport& target) {
  kept_ = true;
  unwritten_ = wire::Encode(coordinator::TargetHint{target});
  if (!writing_) Write();
}

void TargetMemory::Write() {
  if (!unwritten_.has_value()) return;
  writing_ = true;
  const std::string value = std::move(*unwritten_);
  unwritten_.reset();
  store_->Put(kTable, self_.value(), value,
              [this, value](platform::StoreError error) {
                if (error == platform::StoreError::kNone) {
                  writing_ = false;
                  return Write();
                }
                if (!unwritten_.has_value()) unwritten_ = value;
                Later("write", error, [this]() { Write(); });
              });
}

void TargetMemory::Later(const char* call, platform::StoreError error,
                         std::function<void()> again) {
  MemoryLog().Warn("The store did not answer the call for the target.",
                   {{"call", call}, {"error", platform::Name(error)}});
  timer_.expires_after(RetryPause());
  timer_.async_wait(
      [again = std::move(again)](const boost::system::error_code& failure) {
        if (!failure) again();
      });
}

}  // namespace tarragon::daemons
