#include "operator_watch.h"

#include <utility>
#include <vector>

#include "retry_pause.h"
#include "tarragon/core/log.h"

namespace tarragon::daemons {
namespace {

const core::Log& WatchLog() {
  static const core::Log log("operator");
  return log;
}

}  // namespace

OperatorWatch::OperatorWatch(boost::asio::io_context& io,
                             platform::StoreClient* store, Changed changed)
    : store_(store), changed_(std::move(changed)), timer_(io) {}

void OperatorWatch::Start() { ReadAll(""); }

void OperatorWatch::ReadAll(const std::string& from) {
  store_->ReadFrom(platform::kOperatorTable, from,
                   [this, from](const std::optional<platform::StorePage>& page,
                                platform::StoreError error) {
                     if (!page.has_value()) return Failed(error);
                     Answered(*page);
                     if (from.empty()) {
                       platform::BeginFullRead(&rows_);
                       position_ = page->revision;
                     }
                     Take(*page);
                     if (page->has_more && !page->rows.empty()) {
                       return ReadAll(page->rows.back().key + '\0');
                     }
                     Wait();
                   });
}

void OperatorWatch::Wait() {
  store_->Watch(platform::kOperatorTable, *position_,
                [this](const std::optional<platform::StorePage>& page,
                       platform::StoreError error) {
                  if (!page.has_value()) return Failed(error);
                  Answered(*page);
                  if (page->revision > *position_) position_ = page->revision;
                  if (!page->rows.empty()) Take(*page);
                  Wait();
                });
}

void OperatorWatch::Take(const platform::StorePage& page) {
  std::vector<std::string> faults;
  platform::ApplyOperatorPage(page, &rows_, &faults);
  for (const std::string& fault : faults) {
    WatchLog().Warn("Left out a row of the operators.", {{"fault", fault}});
  }
  changed_(rows_.state);
}

void OperatorWatch::Answered(const platform::StorePage& page) {
  if (store_answers_) return;
  store_answers_ = true;
  WatchLog().Info("The store answers again.", {{"revision", page.revision}});
}

void OperatorWatch::Failed(platform::StoreError error) {
  if (error == platform::StoreError::kHistoryGone) {
    WatchLog().Info("The store has forgotten its history; reading in full.");
    return ReadAll("");
  }
  if (store_answers_) {
    store_answers_ = false;
    WatchLog().Warn(
        "The store does not answer.",
        {{"error", platform::Name(error)}, {"revision", rows_.state.revision}});
  }
  timer_.expires_after(RetryPause());
  timer_.async_wait([this](const boost::system::error_code& failure) {
    if (failure) return;
    if (position_.has_value()) {
      Wait();
    } else {
      ReadAll("");
    }
  });
}

}  // namespace tarragon::daemons
