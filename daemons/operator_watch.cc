#include "operator_watch.h"

#include <utility>
#include <vector>

#include "store_retry_delay.h"
#include "tarragon/core/log.h"

namespace tarragon::daemons {
namespace {

const core::Log& WatchLog() {
  static const core::Log log("operator");
  return log;
}

}  // namespace

OperatorWatch::OperatorWatch(boost::asio::io_context& io,
                             const core::Clock* clock,
                             platform::StoreClient* store,
                             StateCallback on_state)
    : clock_(clock),
      store_(store),
      on_state_(std::move(on_state)),
      timer_(io),
      answered_at_(clock->Now()) {}

void OperatorWatch::Start() { ReadAllRows(""); }

void OperatorWatch::ReadAllRows(const std::string& from) {
  store_->ReadFrom(platform::kOperatorTable, from,
                   [this, from](const std::optional<platform::StorePage>& page,
                                platform::StoreError error) {
                     if (!page.has_value()) return HandleStoreError(error);
                     RecordStoreAnswer(*page);
                     if (from.empty()) {
                       platform::BeginFullRead(&rows_);
                       watched_revision_.reset();
                       full_read_revision_ = page->revision;
                     }
                     ApplyPage(*page);
                     if (page->has_more && !page->last_key.empty()) {
                       // The smallest key after the last one that was read.
                       return ReadAllRows(page->last_key + '\0');
                     }
                     // Not before the last page: until then drained domains
                     // may be missing.
                     WatchLog().Info(
                         "Read the operators' table in full.",
                         {{"revision", full_read_revision_},
                          {"known_revision", rows_.state.revision}});
                     watched_revision_ = full_read_revision_;
                     on_state_(rows_.state);
                     WatchChanges();
                   });
}

void OperatorWatch::WatchChanges() {
  store_->Watch(platform::kOperatorTable, *watched_revision_,
                [this](const std::optional<platform::StorePage>& page,
                       platform::StoreError error) {
                  if (!page.has_value()) return HandleStoreError(error);
                  RecordStoreAnswer(*page);
                  histories_gone_ = 0;
                  if (page->revision > *watched_revision_)
                    watched_revision_ = page->revision;
                  if (!page->rows.empty()) {
                    ApplyPage(*page);
                    on_state_(rows_.state);
                  }
                  WatchChanges();
                });
}

void OperatorWatch::ApplyPage(const platform::StorePage& page) {
  std::vector<std::string> row_errors;
  platform::ApplyOperatorPage(page, &rows_, &row_errors);
  for (const std::string& error : row_errors) {
    WatchLog().Warn("Skipped an invalid row of the operators' table.",
                    {{"fault", error}});
  }
}

void OperatorWatch::RecordStoreAnswer(const platform::StorePage& page) {
  if (failures_in_a_row_ > 0) {
    WatchLog().Info("The store is available again.",
                    {{"revision", page.revision},
                     {"failed_reads", failures_in_a_row_},
                     {"answer_age", answer_age()}});
  }
  failures_in_a_row_ = 0;
  answered_at_ = clock_->Now();
}

void OperatorWatch::HandleStoreError(platform::StoreError error) {
  if (error == platform::StoreError::kHistoryGone) {
    WatchLog().Info(
        "The store no longer has the history; reading the operators' table in "
        "full.",
        {{"after", watched_revision_.value_or(0)},
         {"revision", rows_.state.revision}});
    watched_revision_.reset();
    // A store whose reads are behind its history would be read without end.
    if (++histories_gone_ == 1) return ReadAllRows("");
    return RetryAfter(RandomStoreRetryDelay());
  }
  ++failed_reads_;
  if (++failures_in_a_row_ == 1) {
    WatchLog().Warn("A read of the operators' table failed; retrying.",
                    {{"error", platform::Name(error)},
                     {"revision", rows_.state.revision},
                     {"answer_age", answer_age()}});
  }
  RetryAfter(DrawReadRetryDelay(error, failures_in_a_row_));
}

void OperatorWatch::RetryAfter(core::Duration delay) {
  timer_.expires_after(delay);
  timer_.async_wait([this](const boost::system::error_code& failure) {
    if (failure) return;
    if (watched_revision_.has_value()) {
      WatchChanges();
    } else {
      ReadAllRows("");
    }
  });
}

}  // namespace tarragon::daemons
