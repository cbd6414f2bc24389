#ifndef TARRAGON_BENCH_HANDLE_BOOK_H_
#define TARRAGON_BENCH_HANDLE_BOOK_H_

#include <map>
#include <optional>
#include <string>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"

namespace tarragon::bench {

/// Keeps the latest handle of each service. A handle is used for the first half
/// of its validity, so that no key is late at its home.
class HandleBook {
 public:
  /// Keeps a handle that came with its validity.
  void Keep(const core::ServiceId& service, const std::string& handle,
            core::Duration valid, core::Time now);
  /// Keeps a handle that came with an answer; it is taken to be valid as long
  /// as the service's last one.
  void Refresh(const core::ServiceId& service, const std::string& handle,
               core::Time now);
  /// Forgets a handle whose home takes no more jobs.
  void Drop(const core::ServiceId& service, const std::string& handle);
  /// The handle to mint a key from; nothing if a new one is to be fetched.
  std::optional<std::string> Find(const core::ServiceId& service,
                                  core::Time now) const;

 private:
  struct Kept {
    std::string handle;
    core::Duration valid{0};
    core::Time since;
  };

  std::map<core::ServiceId, Kept> kept_;
};

}  // namespace tarragon::bench

#endif  // TARRAGON_BENCH_HANDLE_BOOK_H_
