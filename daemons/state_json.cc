#include "state_json.h"

#include <boost/json.hpp>

#include "job_json.h"
#include "tarragon/dispatch/entry.h"
#include "tarragon/http/status.h"

namespace tarragon::daemons {
namespace {

namespace json = boost::json;
using dispatch::NoteState;

json::array ToJsonArray(const std::vector<core::ServiceId>& services) {
  json::array names;
  for (const core::ServiceId& service : services) {
    names.emplace_back(service.value());
  }
  return names;
}

json::object ToJson(const dispatch::Service& service) {
  return {{"idempotent", service.idempotent},
          {"max_run_ms", core::Millis(service.max_run)},
          {"max_cores", service.max_cores},
          {"max_memory_mb", service.max_memory_mb}};
}

json::object EntriesToJson(const dispatch::EntryBoard& board, core::Time now) {
  json::array members;
  for (const dispatch::EntryMember& member : board.entries.members) {
    json::object item{{"node", core::ToString(member.node)},
                      {"domain", member.domain.value()}};
    const auto peer = board.peers.find(member.node);
    if (member.node == board.self) {
      item["self"] = true;
    } else if (peer != board.peers.end()) {
      item["heard_ms_ago"] = core::Millis(now - peer->second.last_heard);
      item["note_version"] = peer->second.note_version.value();
    }
    members.push_back(std::move(item));
  }
  return {{"version", board.entries.version},
          {"changing", !board.entries.previous.empty()},
          {"vouches_without_table",
           dispatch::CanGrantPermitsWithoutTable(board, now)},
          {"members", std::move(members)}};
}

json::array AgentsToJson(const dispatch::EntryBoard& board, core::Time now) {
  json::array agents;
  for (const auto& [node, member] : board.members) {
    const dispatch::AgentStatus& status = member.status;
    agents.push_back(
        json::object{{"node", core::ToString(node)},
                     {"domain", status.domain.value()},
                     {"services", ToJsonArray(status.services)},
                     {"slots", status.load.slots},
                     {"free_slots", status.load.free_slots},
                     {"leaving", status.leaving},
                     {"failure_permille", status.failure_permille},
                     {"late_permille", status.late_permille},
                     {"mean_run_ms", core::Millis(status.mean_run)},
                     {"heard_ms_ago", core::Millis(now - member.last_heard)}});
  }
  return agents;
}

int HttpStatusOf(NoteState state) {
  switch (state) {
    case NoteState::kAccepted:
      return 200;
    case NoteState::kPending:
      return 202;
    case NoteState::kConflict:
      return 409;
    case NoteState::kInvalid:
      return 400;
    case NoteState::kUnavailable:
      return 503;
  }
  return 500;
}

json::array ToJsonArray(const std::vector<std::string>& lines) {
  json::array array;
  for (const std::string& line : lines) array.emplace_back(line);
  return array;
}

}  // namespace

const char* NoteStateName(NoteState state) {
  switch (state) {
    case NoteState::kAccepted:
      return "accepted";
    case NoteState::kPending:
      return "pending";
    case NoteState::kConflict:
      return "conflict";
    case NoteState::kInvalid:
      return "invalid";
    case NoteState::kUnavailable:
      return "unavailable";
  }
  return "invalid";
}

std::string FormatWorld(const dispatch::World& world) {
  json::object services;
  for (const auto& [id, service] : world.services) {
    services[id.value()] = ToJson(service);
  }
  json::object domains;
  for (const auto& [id, domain] : world.domains) {
    domains[id.value()] = json::object{{"region", domain.region.value()},
                                       {"in_service", domain.in_service}};
  }
  json::object tenants;
  for (const auto& [id, limit] : world.tenants) {
    tenants[id.value()] = json::object{{"max_running", limit.max_running},
                                       {"max_queued", limit.max_queued},
                                       {"weight", limit.weight}};
  }
  json::object body{{"version", world.version.value()},
                    {"services", std::move(services)},
                    {"domains", std::move(domains)},
                    {"tenants", std::move(tenants)}};
  if (!world.recent_notes.empty()) {
    body["last_note"] = world.recent_notes.back().value();
  }
  return json::serialize(body);
}

std::string FormatState(const dispatch::EntryBoard& board, core::Time now) {
  const json::object body{
      {"node", core::ToString(board.self)},
      {"domain", board.domain.value()},
      {"note_version", board.world.version.value()},
      {"permit_ms", core::Millis(dispatch::PermitLifetime(board, now))},
      {"stopping", board.stopping},
      {"open_requests", board.requests.size()},
      {"entries", EntriesToJson(board, now)},
      {"agents", AgentsToJson(board, now)}};
  return json::serialize(body);
}

http::Response MakeNoteResponse(const dispatch::NoteAnswer& answer,
                                const std::string& note_id) {
  std::string detail;
  for (const std::string& text : answer.details) {
    if (!detail.empty()) detail += ' ';
    detail += text;
  }
  const json::object body{{"version", answer.version.value()},
                          {"state", NoteStateName(answer.state)},
                          {"note", note_id},
                          {"detail", detail},
                          {"errors", ToJsonArray(answer.details)}};
  http::Response response;
  response.status = HttpStatusOf(answer.state);
  response.body = json::serialize(body);
  return response;
}

http::Response MakeExplainResponse(const std::string& key,
                                   const dispatch::AnswerExplain& answer) {
  const std::vector<std::string>& lines = answer.lines;
  if (answer.history == dispatch::KeyHistory::kUnknownKey) {
    return MakeErrorResponse(http::kStatusNotFound, "unknown_key",
                             lines.empty() ? "" : lines.front());
  }
  http::Response response;
  response.body = json::serialize(
      json::object{{"key", key}, {"lines", ToJsonArray(lines)}});
  return response;
}

}  // namespace tarragon::daemons
