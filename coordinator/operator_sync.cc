#include "operator_sync.h"

#include <algorithm>
#include <cstddef>

namespace tarragon::coordinator {
namespace {

/// The time over which senders spread a configuration: one millisecond for each
/// of so many bytes. One that takes less than `kMinSpread` is sent at once.
constexpr std::size_t kSpreadBytesPerMs = 128;
constexpr core::Duration kMinSpread = std::chrono::milliseconds(20);
/// What the peer does not show to have after these times is sent again: it may
/// have been lost with a connection whose end was not noticed here.
constexpr core::Duration kDomainsResend = std::chrono::milliseconds(500);
constexpr core::Duration kConfigResend = std::chrono::seconds(3);
/// Encoded size of a queue without its texts.
constexpr std::size_t kQueueBytes = 32;

std::size_t EstimateConfigBytes(const OperatorState& state) {
  std::size_t bytes = 0;
  for (const Queue& queue : state.queues) {
    bytes += queue.name.value().size() + queue.host.size() +
             queue.path_prefix.size() + queue.service.value().size() +
             kQueueBytes;
  }
  return bytes;
}

core::Duration DrawDelay(const OperatorState& state, std::uint64_t random) {
  const core::Duration spread =
      std::chrono::milliseconds(EstimateConfigBytes(state) / kSpreadBytesPerMs);
  if (spread < kMinSpread) return core::Duration(0);
  return core::Duration(static_cast<std::int64_t>(
      random % static_cast<std::uint64_t>(spread.count())));
}

/// True if the drained domains are to be sent now.
bool AreDomainsDue(const OperatorState& own, std::uint64_t domains_digest,
                   const OperatorCopy& peer, core::Time now,
                   OperatorSync* sync) {
  if (peer.domains_digest == domains_digest || peer.revision >= own.revision) {
    sync->domains_sent_at.reset();
    return false;
  }
  return !sync->domains_sent_at.has_value() ||
         now - *sync->domains_sent_at >= kDomainsResend;
}

/// True if the configuration is to be sent now.
bool IsConfigDue(const OperatorState& own, const OperatorCopy& peer,
                 core::Time now, std::uint64_t random, OperatorSync* sync) {
  if (peer.config_version >= own.version) {
    sync->config_due_at.reset();
    sync->config_sent_at.reset();
    return false;
  }
  if (sync->config_sent_at.has_value()) {
    if (now - *sync->config_sent_at < kConfigResend) return false;
    sync->config_sent_at.reset();
  }
  if (!sync->config_due_at.has_value()) {
    sync->config_due_at = now + DrawDelay(own, random);
  }
  return now >= *sync->config_due_at;
}

}  // namespace

void RecordOperatorUpdate(const OperatorUpdate& update, OperatorCopy* copy) {
  if (update.state.revision >= copy->revision) {
    copy->revision = update.state.revision;
    copy->domains_digest = DomainsDigest(update.state.drained);
  }
  if (!update.domains_only) {
    copy->config_version = std::max(copy->config_version, update.state.version);
  }
}

std::optional<OperatorUpdate> NextOperatorUpdate(const OperatorState& own,
                                                 std::uint64_t domains_digest,
                                                 const OperatorCopy& peer,
                                                 core::Time now,
                                                 std::uint64_t random,
                                                 OperatorSync* sync) {
  const bool domains_due = AreDomainsDue(own, domains_digest, peer, now, sync);
  const bool config_due = IsConfigDue(own, peer, now, random, sync);
  if (!config_due && !domains_due) return std::nullopt;
  if (domains_due) sync->domains_sent_at = now;
  if (config_due) {
    sync->config_due_at.reset();
    sync->config_sent_at = now;
    return OperatorUpdate{own, false};
  }
  return OperatorUpdate{{own.revision, 0, {}, own.drained}, true};
}

}  // namespace tarragon::coordinator
