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

// The platform's table, as far as entries use it.

enum class TableRow : std::uint8_t {
  kWorld,    // The sum of all accepted notes.
  kEntries,  // The registered entries.
  kKey,      // The home of one plain idempotency key.
};

enum class TableOperation : std::uint8_t { kRead, kInsert, kReplace };

/// One call of the table. The runtime answers it by OnTableReply, always.
struct TableCall {
  std::uint64_t number = 0;
  TableOperation operation = TableOperation::kRead;
  TableRow row = TableRow::kWorld;
  /// The plain key, for kKey.
  std::string key;
  /// Read: the version that is known already. Replace: the one expected.
  std::uint64_t version = 0;
  /// What to write; by row.
  World world;
  EntryList entries;
  std::string text;
};

enum class TableStatus : std::uint8_t {
  kOk,
  kUnchanged,
  kMissing,
  kConflict,
  kUnavailable,  // Certainly without effect.
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

/// Why the entry asked the table.
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
  /// The note or client request that waits for it.
  std::uint64_t request = 0;
};

// What the entry knows of the others.

/// Another registered entry.
struct EntryPeer {
  std::uint64_t ping_sequence = 0;
  std::deque<std::pair<std::uint64_t, core::Time>> open_pings;
  core::Time last_heard;
  /// When the last ping that it answered was sent; nothing newer than what is
  /// known here was in force there before that moment.
  std::optional<core::Time> confirmed_at;
  core::NoteVersion note_version;
  std::uint64_t entries_version = 0;
  /// Proved dead: it will never vouch for anything again.
  bool proved_dead = false;
};

/// An agent that sends heartbeats to this entry.
struct AgentMember {
  AgentStatus status;
  core::Time last_heard;
  /// When its silence is checked next; also in the board's index.
  core::Time timeout_check_at;
  /// Version of the member list that last changed this member.
  std::uint64_t changed_in_version = 0;
  /// Its connection broke since the last heartbeat; it takes no new jobs.
  bool disconnected = false;
};

/// The agents that take new jobs, in the order of their turns.
struct HomeChoice {
  /// What the choice was made from; it holds while both are the present ones.
  std::uint64_t candidates_version = 0;
  core::NoteVersion note_version;
  /// By service; only services that a member offers.
  std::map<core::ServiceId, std::vector<core::NodeId>> by_service;
  /// Of any other service.
  std::vector<core::NodeId> for_other_services;
};

/// An agent that answers for a home that was stopped.
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
  /// The client's own key where that is not the job's key.
  std::string plain_key;
  /// The home that the key names.
  core::NodeId key_home;
  /// Where the request was sent last: the home or its heir.
  core::NodeId destination;
  core::Time deadline;
  core::Time wait_until;
  /// When to send it again after a broken connection.
  core::Time resend_at = core::kNever;
  /// The connection to the home broke, and the home has confirmed nothing
  /// since.
  std::optional<core::Time> disconnected_since;
  bool sent = false;
  /// Rises when a refused request is submitted anew; the home tells such a one
  /// from a late copy by it.
  std::uint64_t round = 0;
  bool inserted_key_row = false;
  /// The key's row was read as absent, and nothing that was written since may
  /// have changed that: no submission of the key had run anything by then.
  bool key_row_missing = false;
};

/// State of a release note that an operator handed in.
enum class NoteState : std::uint8_t {
  kAccepted,  // In the table and confirmed by enough entries.
  kPending,   // In the table; not yet confirmed by enough entries.
  kConflict,  // The base version is not the present one.
  kInvalid,
  kUnavailable,  // The table does not answer; send the same note again.
};

struct NoteAnswer {
  NoteState state = NoteState::kUnavailable;
  core::NoteVersion version;
  std::vector<std::string> details;
};

enum class NoteStep : std::uint8_t { kReading, kWriting, kConfirming };

/// A release note on its way.
struct OpenNote {
  ReleaseNote note;
  NoteStep step = NoteStep::kReading;
  core::Time started_at;
  core::Time retry_at = core::kNever;
  /// Version of the world with this note; once written.
  core::NoteVersion version;
  /// When the table was known to hold the note.
  core::Time written_at;
};

// What the entry asks its runtime to do.

struct AnswerClient {
  std::uint64_t request = 0;
  JobAnswer answer;
};
struct AnswerExplain {
  std::uint64_t request = 0;
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

/// All that an entry knows; the controllers read and write it. No I/O, no
/// threads; the time is passed in.
struct EntryBoard {
  core::NodeId self;
  core::DomainId domain;
  Policy policy;
  std::mt19937_64 random;
  core::Time started_at;
  bool stopping = false;
  core::Time stop_requested_at;

  // What is in force.
  World world;
  std::uint64_t world_row_version = 0;
  EntryList entries;
  std::uint64_t entries_row_version = 0;
  /// The entries' row was read at least once; zero rows count.
  bool entries_row_was_read = false;
  /// A moment at which nothing newer than `world` was in force anywhere.
  std::optional<core::Time> confirmed_at;
  /// When the latest looks at the table that were answered had been sent: one
  /// that found no world newer than the one in force, and one at the list.
  std::optional<core::Time> world_read_at;
  std::optional<core::Time> entries_read_at;
  /// When the present list was adopted, and since when this entry is in it.
  core::Time entries_adopted_at;
  std::optional<core::Time> registered_since;
  /// The world that the first look after `entries_adopted_at` found. All that
  /// was confirmed under the former list is in it.
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
  /// Members by their next check. A heartbeat changes nothing here: the check
  /// finds it and moves on, so that a tick touches only what is due.
  std::set<std::pair<core::Time, core::NodeId>> timeout_checks;
  std::uint64_t members_version = 1;
  /// Members that went, with the version at which they did.
  std::deque<std::pair<std::uint64_t, core::NodeId>> removed_members;
  /// Members in the order of a hash, from which samples are taken.
  std::map<std::pair<std::uint64_t, core::NodeId>, core::NodeId> ring;
  /// Rises with every change of a member that may change the choice of homes.
  std::uint64_t candidates_version = 1;
  HomeChoice home_choice;
  std::uint64_t next_home = 0;

  /// Heirs of each former home; the one heard of last stands last.
  std::map<core::NodeId, std::vector<Heir>> heirs;
  /// Agents that announced that they leave, and how long that is remembered.
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
