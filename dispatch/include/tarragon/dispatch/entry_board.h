#ifndef TARRAGON_DISPATCH_ENTRY_BOARD_H_
#define TARRAGON_DISPATCH_ENTRY_BOARD_H_

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "tarragon/core/clock.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/agent_board.h"
#include "tarragon/dispatch/invariant.h"
#include "tarragon/dispatch/message.h"
#include "tarragon/dispatch/note.h"
#include "tarragon/dispatch/policy.h"
#include "tarragon/dispatch/world.h"

namespace tarragon::dispatch {

// Calls of the platform's table, which holds rows with versions.

enum class TableRow : std::uint8_t {
  kWorld,    // The result of all accepted release notes.
  kEntries,  // The registered entries.
  kKey,      // The home of one plain idempotency key.
};

enum class TableOperation : std::uint8_t { kRead, kInsert, kReplace };

/// One call of the table. The runtime always answers it with OnTableReply.
struct TableCall {
  std::uint64_t number = 0;
  TableOperation operation = TableOperation::kRead;
  TableRow row = TableRow::kWorld;
  /// The plain key, for kKey.
  std::string key;
  /// Read: the version already known. Replace: the version expected.
  std::uint64_t version = 0;
  /// The value to write; which one is set depends on `row`.
  World world;
  EntryList entries;
  std::string text;
};

enum class TableStatus : std::uint8_t {
  kOk,
  kUnchanged,
  kMissing,
  kConflict,
  kUnavailable,  // The call certainly had no effect.
  kUnknown,      // A write may have taken effect.
};

/// The answer to the call `number`.
struct TableReply {
  std::uint64_t number = 0;
  TableStatus status = TableStatus::kUnknown;
  /// Version of the row, if there is one.
  std::uint64_t version = 0;
  World world;
  EntryList entries;
  std::string text;
};

/// Why the entry called the table.
enum class TablePurpose : std::uint8_t {
  kPollWorld,
  kPollEntries,
  kWriteEntries,
  kNote,
  kBindKey,
};

struct OpenTableCall {
  TablePurpose purpose = TablePurpose::kPollWorld;
  core::Time sent_at;
  /// The release note or client request that waits for the reply.
  std::uint64_t request = 0;
};

// Other entries and agents.

/// State of another registered entry.
struct EntryPeer {
  std::uint64_t ping_sequence = 0;
  std::deque<std::pair<std::uint64_t, core::Time>> open_pings;
  core::Time last_heard;
  /// Send time of the latest ping whose answer showed that the peer had no
  /// newer world or entry list than this entry.
  std::optional<core::Time> confirmed_at;
  core::NoteVersion note_version;
  std::uint64_t entries_version = 0;
  /// Proved dead: it can no longer take part in a read quorum.
  bool proved_dead = false;
};

/// An agent that sends heartbeats to this entry.
struct AgentMember {
  AgentStatus status;
  core::Time last_heard;
  /// When its timeout is checked next; also in EntryBoard::timeout_checks.
  core::Time timeout_check_at;
  /// Version of the member list in which this member last changed.
  std::uint64_t changed_in_version = 0;
  /// Its connection broke after the last heartbeat; it gets no new jobs.
  bool disconnected = false;
};

/// Agents that are assigned as homes of new jobs, in round-robin order.
struct HomeChoice {
  /// Versions of the inputs; the choice is valid while both are current.
  std::uint64_t candidates_version = 0;
  core::NoteVersion note_version;
  /// Homes by service; only services that a member offers.
  std::map<core::ServiceId, std::vector<core::NodeId>> by_service;
  /// Homes for all other services.
  std::vector<core::NodeId> for_other_services;
};

/// An agent that took over the records of a stopped home.
struct Heir {
  core::NodeId node;
  core::Time last_heard;
};

// Requests of clients and operators.

enum class RequestKind : std::uint8_t { kSubmit, kQuery, kCancel, kExplain };

/// A client's request that waits for an answer.
struct EntryRequest {
  RequestKind kind = RequestKind::kSubmit;
  JobSpec spec;
  std::uint64_t body_digest = 0;
  /// The client's key if it has no handle; the job then has a generated key.
  std::string plain_key;
  /// The home that the job's key names.
  core::NodeId key_home;
  /// Where the request was last sent: the home or its heir.
  core::NodeId destination;
  core::Time deadline;
  core::Time wait_until;
  /// When to send it again after a broken connection.
  core::Time resend_at = core::kNever;
  /// When the connection to `destination` broke; empty again as soon as it
  /// confirms the request.
  std::optional<core::Time> disconnected_since;
  bool sent = false;
  /// Incremented when a refused request is submitted again, so that the home
  /// can distinguish the new submission from a late copy.
  std::uint64_t round = 0;
  bool inserted_key_row = false;
  /// The key's row was read as absent and not written since, so no submission
  /// of the key had run anything at the time of the read.
  bool key_row_missing = false;
};

/// State of a release note that an operator submitted.
enum class NoteState : std::uint8_t {
  kAccepted,  // In the table and confirmed by enough entries.
  kPending,   // In the table; not yet confirmed by enough entries.
  kConflict,  // The base version is not the current version.
  kInvalid,
  kUnavailable,  // The table does not answer; submit the same note again.
};

struct NoteAnswer {
  NoteState state = NoteState::kUnavailable;
  core::NoteVersion version;
  std::vector<std::string> details;
};

enum class NoteStep : std::uint8_t { kReading, kWriting, kConfirming };

/// A submitted release note that is not answered yet.
struct OpenNote {
  ReleaseNote note;
  NoteStep step = NoteStep::kReading;
  core::Time started_at;
  core::Time retry_at = core::kNever;
  /// Version of the world with this note; set once the note is written.
  core::NoteVersion version;
  /// When this entry learned that the table holds the note.
  core::Time written_at;
};

// Actions that the runtime carries out for the entry.

struct AnswerClient {
  std::uint64_t request = 0;
  JobAnswer answer;
};
struct AnswerExplain {
  std::uint64_t request = 0;
  KeyHistory history = KeyHistory::kKnown;
  std::vector<std::string> lines;
};
struct AnswerNote {
  std::uint64_t request = 0;
  NoteAnswer answer;
};

using EntryAction = std::variant<SendMessage, TableCall, AnswerClient,
                                 AnswerExplain, AnswerNote>;

struct EntryCounters {
  std::map<std::string, std::uint64_t> answers;
  std::uint64_t heartbeats = 0;
  std::uint64_t table_reads = 0;
  std::uint64_t table_writes = 0;
  std::uint64_t resubmissions = 0;
  std::uint64_t permits_refused = 0;
};

/// State of an entry, shared by its controllers. They do no I/O and start no
/// threads; the time is passed in.
struct EntryBoard {
  core::NodeId self;
  core::DomainId domain;
  Policy policy;
  std::mt19937_64 random;
  core::Time started_at;
  bool stopping = false;
  core::Time stop_requested_at;

  // The world and the list of entries in force.
  World world;
  std::uint64_t world_row_version = 0;
  EntryList entries;
  std::uint64_t entries_row_version = 0;
  /// The entries' row was read at least once, also if it was missing.
  bool entries_row_was_read = false;
  /// Latest time at which no newer world than `world` was in force anywhere.
  std::optional<core::Time> confirmed_at;
  /// Send times of the latest successful table reads: one that found no world
  /// newer than the one in force, and one of the entries' row.
  std::optional<core::Time> world_read_at;
  std::optional<core::Time> entries_read_at;
  /// When the current list was adopted, and since when this entry is listed.
  core::Time entries_adopted_at;
  std::optional<core::Time> registered_since;
  /// Version of the world in the first table read after `entries_adopted_at`.
  /// Contains every note that was confirmed under the previous list.
  std::optional<core::NoteVersion> list_change_note_version;

  // Other entries and the table.
  std::map<core::NodeId, EntryPeer> peers;
  core::Time next_ping;
  core::Time next_poll;
  core::Time next_registration;
  std::map<std::uint64_t, OpenTableCall> open_table_calls;
  std::uint64_t next_table_call = 1;
  std::optional<core::Time> table_answered_at;

  // Agents.
  std::map<core::NodeId, AgentMember> members;
  /// Members by their next timeout check. Heartbeats do not change it: the
  /// check itself is rescheduled, so that a tick visits only due members.
  std::set<std::pair<core::Time, core::NodeId>> timeout_checks;
  std::uint64_t members_version = 1;
  /// Removed members, with the version of the member list that removed them.
  std::deque<std::pair<std::uint64_t, core::NodeId>> removed_members;
  /// Members in hash order, from which samples are taken.
  std::map<std::pair<std::uint64_t, core::NodeId>, core::NodeId> ring;
  /// Incremented with each member change that may affect the choice of homes.
  std::uint64_t candidates_version = 1;
  HomeChoice home_choice;
  std::uint64_t next_home = 0;

  /// Heirs of each stopped home; the most recently announced one is last.
  std::map<core::NodeId, std::vector<Heir>> heirs;
  /// Agents that announced a graceful stop, and until when it is kept.
  std::map<core::NodeId, core::Time> leaving_until;

  // Requests.
  std::map<std::uint64_t, EntryRequest> requests;
  std::uint64_t next_request = 1;
  std::map<std::uint64_t, OpenNote> open_notes;

  std::vector<EntryAction> actions;
  EntryCounters counters;
  InvariantCounts invariants;
};

}  // namespace tarragon::dispatch

#endif  // TARRAGON_DISPATCH_ENTRY_BOARD_H_
