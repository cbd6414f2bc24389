#ifndef TARRAGON_METRICS_EXPOSITION_H_
#define TARRAGON_METRICS_EXPOSITION_H_

#include <string>

#include "tarragon/metrics/registry.h"

namespace tarragon::metrics {

/// All families that have a series, in the Prometheus text format.
std::string WriteExposition(const Families& families);

}  // namespace tarragon::metrics

#endif  // TARRAGON_METRICS_EXPOSITION_H_
