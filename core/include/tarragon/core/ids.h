#ifndef TARRAGON_CORE_IDS_H_
#define TARRAGON_CORE_IDS_H_

#include <cstdint>
#include <string>

#include "tarragon/core/strong.h"

namespace tarragon::core {

/// Where a process listens for the others: "IP:port".
using Address = Strong<struct AddressTag, std::string>;
/// Random id of one life of one process. Never zero once set.
using Incarnation = Strong<struct IncarnationTag, std::uint64_t>;
/// Name of a failure domain, as in the release note.
using DomainId = Strong<struct DomainTag, std::string>;
/// Name of a region, a group of failure domains.
using RegionId = Strong<struct RegionTag, std::string>;
/// Name of a service, as in the release note.
using ServiceId = Strong<struct ServiceTag, std::string>;
/// Name of the tenant under which limits and histograms are counted.
using TenantId = Strong<struct TenantTag, std::string>;
/// Idempotency key of a job: "<home handle>.<client's suffix>".
using JobKey = Strong<struct JobKeyTag, std::string>;
/// Position of a task in its job, from zero.
using TaskIndex = Strong<struct TaskIndexTag, std::uint32_t>;
/// Number of the placement of a task, from one. A task that was proved not
/// run may be placed again under the next number.
using Attempt = Strong<struct AttemptTag, std::uint32_t>;
/// Version of the accepted release notes; only rises.
using NoteVersion = Strong<struct NoteVersionTag, std::uint64_t>;
/// Operator's id of one release note; makes its submission idempotent.
using NoteId = Strong<struct NoteIdTag, std::string>;

/// One life of one process: a restart changes it even at the same address.
struct NodeId {
  Address address;
  Incarnation incarnation;

  bool operator==(const NodeId&) const = default;
  auto operator<=>(const NodeId&) const = default;
};

/// "IP:port~hex incarnation": the text form of a node id.
std::string ToString(const NodeId& node);

/// Reads the text form. False when `text` is no node id.
bool ParseNodeId(const std::string& text, NodeId* node);

/// A random incarnation, never zero.
Incarnation RandomIncarnation();

}  // namespace tarragon::core

#endif  // TARRAGON_CORE_IDS_H_
