#ifndef TARRAGON_DAEMONS_STORE_RETRY_DELAY_H_
#define TARRAGON_DAEMONS_STORE_RETRY_DELAY_H_

#include "tarragon/core/clock.h"

namespace tarragon::daemons {

/// Pause before a call of the platform's store is tried again: between 250 and
/// 750 ms at random, so that all processes are back within two seconds of the
/// store's return without calling it at the same moment.
core::Duration RandomStoreRetryDelay();

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_STORE_RETRY_DELAY_H_
