#ifndef TARRAGON_CORE_MEMORY_QUOTA_H_
#define TARRAGON_CORE_MEMORY_QUOTA_H_

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <utility>

namespace tarragon::core {

class MemoryAccount;

/// Bound on the memory that several holders, such as the connections of a
/// process, hold together. When the sum exceeds the bound, the holders of the
/// most are told to free theirs, the oldest first among equals. So holders of
/// little are safe from those of much.
///
/// To be used by one thread.
class MemoryQuota {
 public:
  /// `max_bytes` is the most that all holders together may hold.
  explicit MemoryQuota(std::size_t max_bytes) : max_bytes_(max_bytes) {}
  MemoryQuota(const MemoryQuota&) = delete;
  MemoryQuota& operator=(const MemoryQuota&) = delete;

  std::size_t max_bytes() const { return max_bytes_; }
  /// Bytes that all holders hold now.
  std::size_t held_bytes() const { return held_bytes_; }
  /// Holders that were told to free what they held, since the start.
  std::uint64_t reclaims() const { return reclaims_; }

 private:
  friend class MemoryAccount;

  /// The holder of the most has the least rank.
  using Rank = std::pair<std::size_t, std::uint64_t>;

  void Reclaim();

  std::size_t max_bytes_;
  std::size_t held_bytes_ = 0;
  std::uint64_t reclaims_ = 0;
  std::uint64_t last_number_ = 0;
  /// The accounts, that of the most bytes first.
  std::set<std::pair<Rank, MemoryAccount*>> accounts_;
};

/// What one holder holds of a quota.
class MemoryAccount {
 public:
  /// Must free what the holder holds. The account counts as empty before the
  /// call. Runs within Set, also that of another account.
  using Free = std::function<void()>;

  MemoryAccount(std::shared_ptr<MemoryQuota> quota, Free free);
  /// Empties the account.
  ~MemoryAccount();
  MemoryAccount(const MemoryAccount&) = delete;
  MemoryAccount& operator=(const MemoryAccount&) = delete;

  /// Tells what the holder holds now. If all hold too much, calls the `free` of
  /// one or more accounts, which may be this one.
  void Set(std::size_t bytes);

 private:
  friend class MemoryQuota;

  MemoryQuota::Rank RankOf(std::size_t bytes) const;
  void Empty();

  std::shared_ptr<MemoryQuota> quota_;
  Free free_;
  /// Rises from account to account.
  std::uint64_t number_;
  std::size_t bytes_ = 0;
};

}  // namespace tarragon::core

#endif  // TARRAGON_CORE_MEMORY_QUOTA_H_
