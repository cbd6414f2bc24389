#ifndef TARRAGON_PROVE_CLIENT_H_
#define TARRAGON_PROVE_CLIENT_H_

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "process.h"
#include "tarragon/core/clock.h"
#include "tarragon/dispatch/entry_board.h"
#include "tarragon/dispatch/job.h"

/// Clients: they submit, wait, lose patience, submit again elsewhere, ask,
/// cancel, and reuse keys.

namespace tarragon::prove {

/// One exchange of a client with an entry.
struct Call {
  int job = 0;
  dispatch::RequestKind kind = dispatch::RequestKind::kSubmit;
  /// Which body of the job a submission carries.
  int body = 0;
  core::Time sent;
  core::Duration time_left{0};
  core::Duration wait{0};
  ProcessLife entry;
  std::uint64_t number = 0;
  bool arrived = false;
  core::Time arrival;
  bool answered = false;
  dispatch::Outcome outcome = dispatch::Outcome::kRunning;
  /// The client has closed the connection.
  bool abandoned = false;
};

/// One job of one client, under one key.
struct ClientJob {
  std::string key;
  bool plain = false;
  bool measured = false;
  std::uint32_t tasks = 1;
  /// Cores that each task asks for.
  std::uint32_t cores = 1;
  int bodies = 1;
  std::vector<int> calls;
  int resubmissions_left = 3;
  int queries_left = 20;
  core::Duration time_left{0};
  bool complete = false;
  bool closed = false;
};

struct Clients {
  std::vector<ClientJob> jobs;
  std::vector<Call> calls;
  std::map<std::pair<ProcessLife, std::uint64_t>, int> by_number;
  /// Handles that clients hold.
  std::vector<std::string> handles;
  bool active = false;
  /// Mean pause between two jobs of all clients together.
  core::Duration pause = std::chrono::milliseconds(40);
  /// Jobs are plain and each is submitted once; for the last quiet phase.
  bool plainly = false;
  std::uint64_t measured_jobs = 0;
  std::uint64_t measured_complete = 0;
};

/// Creates jobs again and again while `active`.
void ClientLoop(Setup* setup);

/// An entry answered the call that it knows as `number`.
void OnClientAnswer(Setup* setup, const ProcessLife& entry,
                    const dispatch::AnswerClient& action);
void OnExplainAnswer(Setup* setup, const ProcessLife& entry,
                     const dispatch::AnswerExplain& action);
/// The entry has ended: its clients see their connections close.
void OnEntryEnded(Setup* setup, const ProcessLife& entry);

/// The tasks of one body of a job.
std::vector<std::string> PayloadsOf(const Setup& setup, int job, int body);
/// What a target answers for a payload.
std::string ResultOf(const std::string& payload);

/// Names a task in payloads: "<job>/<body>/<task>".
struct PayloadName {
  int job = 0;
  int body = 0;
  std::uint32_t task = 0;
};
PayloadName ReadPayload(const std::string& payload);

}  // namespace tarragon::prove

#endif  // TARRAGON_PROVE_CLIENT_H_
