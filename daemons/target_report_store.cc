#include "target_report_store.h"

#include <utility>
#include <variant>

#include "store_retry_delay.h"
#include "tarragon/core/log.h"
#include "tarragon/wire/codec.h"

namespace tarragon::daemons {
namespace {

constexpr char kTable[] = "targets";

const core::Log& MemoryLog() {
  static const core::Log log("target_memory");
  return log;
}

std::optional<coordinator::TargetReport> DecodeTargetReport(
    const std::string& bytes, std::string* reason) {
  wire::WireError error;
  std::optional<dispatch::Message> message = wire::Decode(bytes, &error);
  if (!message.has_value()) {
    *reason = error.detail;
    return std::nullopt;
  }
  auto* hint = std::get_if<coordinator::TargetHint>(&*message);
  if (hint == nullptr) {
    *reason = "The row holds a message of another type than TargetHint.";
    return std::nullopt;
  }
  return std::move(hint->last);
}

}  // namespace

TargetReportStore::TargetReportStore(boost::asio::io_context& io,
                                     platform::StoreClient* store,
                                     core::Address self_address,
                                     ReportCallback on_report_loaded)
    : store_(store),
      self_address_(std::move(self_address)),
      on_report_loaded_(std::move(on_report_loaded)),
      timer_(io) {}

void TargetReportStore::Load() {
  if (save_requested_) return;
  store_->ReadRow(kTable, self_address_.value(),
                  [this](const std::optional<platform::StorePage>& page,
                         platform::StoreError error) {
                    if (!page.has_value()) {
                      return RetryLater("read", error, [this]() { Load(); });
                    }
                    for (const platform::StoreRow& row : page->rows) {
                      if (row.key != self_address_.value() || row.is_deleted ||
                          save_requested_)
                        continue;
                      std::string reason;
                      const std::optional<coordinator::TargetReport> report =
                          DecodeTargetReport(row.value, &reason);
                      if (report.has_value()) return on_report_loaded_(*report);
                      MemoryLog().Warn("The saved target report is invalid.",
                                       {{"id", row.key}, {"why", reason}});
                    }
                  });
}

void TargetReportStore::Save(const coordinator::TargetReport& report) {
  save_requested_ = true;
  pending_value_ = wire::Encode(coordinator::TargetHint{report});
  if (!write_in_progress_) WritePending();
}

void TargetReportStore::WritePending() {
  if (!pending_value_.has_value()) return;
  write_in_progress_ = true;
  const std::string value = std::move(*pending_value_);
  pending_value_.reset();
  store_->Put(kTable, self_address_.value(), value,
              [this, value](platform::StoreError error) {
                if (error == platform::StoreError::kNone) {
                  write_in_progress_ = false;
                  return WritePending();
                }
                if (!pending_value_.has_value()) pending_value_ = value;
                RetryLater("write", error, [this]() { WritePending(); });
              });
}

void TargetReportStore::RetryLater(const char* call, platform::StoreError error,
                                   std::function<void()> retry) {
  MemoryLog().Warn("A store call for the target report failed; retrying.",
                   {{"call", call}, {"error", platform::Name(error)}});
  timer_.expires_after(RandomStoreRetryDelay());
  timer_.async_wait(
      [retry = std::move(retry)](const boost::system::error_code& failure) {
        if (!failure) retry();
      });
}

}  // namespace tarragon::daemons
