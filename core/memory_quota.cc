#include "tarragon/core/memory_quota.h"

#include <limits>

namespace tarragon::core {

void MemoryQuota::Reclaim() {
  while (held_bytes_ > max_bytes_ && !accounts_.empty()) {
    MemoryAccount* account = accounts_.begin()->second;
    account->Empty();
    ++reclaims_;
    // The call may destroy the account.
    const MemoryAccount::Free free = account->free_;
    free();
  }
}

MemoryAccount::MemoryAccount(std::shared_ptr<MemoryQuota> quota, Free free)
    : quota_(std::move(quota)),
      free_(std::move(free)),
      number_(++quota_->last_number_) {}

MemoryAccount::~MemoryAccount() { Empty(); }

MemoryQuota::Rank MemoryAccount::RankOf(std::size_t bytes) const {
  return {std::numeric_limits<std::size_t>::max() - bytes, number_};
}

void MemoryAccount::Empty() {
  if (bytes_ == 0) return;
  quota_->accounts_.erase({RankOf(bytes_), this});
  quota_->held_bytes_ -= bytes_;
  bytes_ = 0;
}

void MemoryAccount::Set(std::size_t bytes) {
  if (bytes == bytes_) return;
  const bool grows = bytes > bytes_;
  Empty();
  bytes_ = bytes;
  if (bytes == 0) return;
  quota_->held_bytes_ += bytes;
  quota_->accounts_.insert({RankOf(bytes), this});
  // Keeps the quota alive if the account itself is destroyed.
  const std::shared_ptr<MemoryQuota> quota = quota_;
  if (grows) quota->Reclaim();
}

}  // namespace tarragon::core
