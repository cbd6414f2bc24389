#ifndef TARRAGON_DAEMONS_STORE_RETRY_DELAY_H_
#define TARRAGON_DAEMONS_STORE_RETRY_DELAY_H_

#include "tarragon/core/clock.h"

namespace tarragon::daemons {

/// Random delay of 250 to 750 ms before a failed call to the platform's store
/// is retried. All processes have called the store again within two seconds
/// after an outage, but not all at the same moment.
core::Duration RandomStoreRetryDelay();

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_STORE_RETRY_DELAY_H_
