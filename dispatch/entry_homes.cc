#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "entry_parts.h"
#include "placement.h"
#include "tarragon/dispatch/entry.h"
#include "tarragon/dispatch/handle.h"

namespace tarragon::dispatch {
namespace {

using Members = std::vector<const AgentMember*>;

/// Members that can be homes, in the order of the ring.
struct Candidates {
  /// Members whose own target can start tasks of the service.
  std::map<core::ServiceId, Members> offering;
  Members all;
};

Candidates FindCandidates(const EntryBoard& board) {
  Candidates candidates;
  for (const auto& [position, node] : board.ring) {
    const AgentMember& member = board.members.at(node);
    if (member.status.leaving || member.disconnected) continue;
    candidates.all.push_back(&member);
    if (!IsDomainInService(board.world, member.status.domain)) continue;
    for (const core::ServiceId& service : member.status.services) {
      Members& offering = candidates.offering[service];
      const bool named_twice = !offering.empty() && offering.back() == &member;
      if (!named_twice) offering.push_back(&member);
    }
  }
  return candidates;
}

/// Chooses the first members of `from`, so that all entries choose the same
/// ones, and spreads them over as many failure domains as possible.
std::vector<core::NodeId> ChooseHomes(const Policy& policy,
                                      const Members& from) {
  const std::size_t wanted = std::max<std::size_t>(
      policy.min_homes, from.size() / policy.agents_per_home);
  std::vector<core::NodeId> homes;
  Members rest;
  std::set<core::DomainId> domains;
  for (const AgentMember* member : from) {
    if (homes.size() >= wanted) return homes;
    if (domains.insert(member->status.domain).second) {
      homes.push_back(member->status.node);
    } else {
      rest.push_back(member);
    }
  }
  for (const AgentMember* member : rest) {
    if (homes.size() >= wanted) return homes;
    homes.push_back(member->status.node);
  }
  return homes;
}

void UpdateHomeChoice(EntryBoard* board) {
  const Candidates candidates = FindCandidates(*board);
  HomeChoice choice;
  choice.candidates_version = board->candidates_version;
  choice.note_version = board->world.version;
  for (const auto& [service, members] : candidates.offering) {
    choice.by_service[service] = ChooseHomes(board->policy, members);
  }
  choice.for_other_services = ChooseHomes(board->policy, candidates.all);
  board->home_choice = std::move(choice);
}

/// The homes for new jobs of `service`. A service that no agent offers is not
/// cached, because clients may send any name.
const std::vector<core::NodeId>& HomesForService(
    EntryBoard* board, const core::ServiceId& service) {
  const bool current =
      board->home_choice.candidates_version == board->candidates_version &&
      board->home_choice.note_version == board->world.version;
  if (!current) UpdateHomeChoice(board);
  const auto found = board->home_choice.by_service.find(service);
  if (found == board->home_choice.by_service.end())
    return board->home_choice.for_other_services;
  return found->second;
}

}  // namespace

std::optional<std::string> MintHandle(EntryBoard* board,
                                      const core::ServiceId& service) {
  const std::vector<core::NodeId>& homes = HomesForService(board, service);
  if (homes.empty()) return std::nullopt;
  // Round robin.
  const core::NodeId& chosen = homes[board->next_home++ % homes.size()];
  const AgentStatus& status = board->members.at(chosen).status;
  return ToString(Handle{chosen, status.handle_epoch});
}

}  // namespace tarragon::dispatch
