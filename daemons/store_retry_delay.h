#ifndef TARRAGON_DAEMONS_STORE_RETRY_DELAY_H_
#define TARRAGON_DAEMONS_STORE_RETRY_DELAY_H_

#include <cstdint>

#include "tarragon/core/clock.h"
#include "tarragon/platform/store_client.h"

namespace tarragon::daemons {

/// Random delay of 250 to 750 ms before a failed call to the platform's store
/// is retried. All processes have called the store again within two seconds
/// after an outage, but not all at the same moment.
core::Duration RandomStoreRetryDelay();

/// Delay before a read that has failed `failures` times in a row with `error`
/// is retried. None after the first lost answer: the connection may have been
/// dead while the store is well, and the time until a change must be in force
/// has been running since.
core::Duration DrawReadRetryDelay(platform::StoreError error,
                                  std::uint64_t failures);

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_STORE_RETRY_DELAY_H_
