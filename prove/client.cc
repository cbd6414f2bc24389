#include "client.h"

#include <algorithm>
#include <cstdlib>
#include <utility>

#include "client_call.h"
#include "setup.h"
#include "tarragon/dispatch/entry.h"

namespace tarragon::prove {
namespace {

using dispatch::Outcome;
using dispatch::RequestKind;

constexpr std::size_t kHandlesHeld = 40;
constexpr core::Duration kShortest = std::chrono::milliseconds(50);
constexpr core::Duration kShort = std::chrono::milliseconds(300);
constexpr core::Duration kUsual = std::chrono::seconds(1);
constexpr core::Duration kLongest = std::chrono::seconds(8);
constexpr core::Duration kMeasured = std::chrono::seconds(6);
constexpr core::Duration kNoPause{0};
constexpr core::Duration kHurriedSpan = std::chrono::milliseconds(500);
constexpr int kHurriedCopies = 6;
constexpr std::uint32_t kMostTasks = 4;
constexpr std::uint32_t kManyTasks = 12;
/// Fits large targets only.
constexpr std::uint32_t kLargeTask = kSmallCores + 1;

core::Duration ChooseTimeLeft(Setup* setup) {
  if (setup->clients.plainly) return kMeasured;
  if (setup->random.Chance(50)) {
    return setup->random.Between(kShortest, kShort);
  }
  return setup->random.Between(kUsual, kLongest);
}

void Later(Setup* setup, core::Duration most, std::function<void()> act) {
  setup->scheduler.After(setup->random.Between(kNoPause, most), std::move(act));
}

void SubmitAgain(Setup* setup, int job, const char* why) {
  ClientJob& known = setup->clients.jobs[job];
  if (known.resubmissions_left == 0) return;
  --known.resubmissions_left;
  Count(setup, why);
  SendCall(setup, job, RequestKind::kSubmit, 0);
}

/// Submits again and again without waiting for an answer: some copies are
/// refused while another one runs.
void Hurry(Setup* setup, int job) {
  Count(setup, "client.hurried");
  for (int copy = 0; copy < kHurriedCopies; ++copy) {
    Later(setup, kHurriedSpan,
          [setup, job]() { SendCall(setup, job, RequestKind::kSubmit, 0); });
  }
}

/// What some clients do besides submitting once.
void ActAtRandom(Setup* setup, int job) {
  Random& random = setup->random;
  const core::Duration moment = std::chrono::milliseconds(400);
  const core::Duration while_later = std::chrono::seconds(3);
  if (random.Chance(80)) {
    Count(setup, "client.double_at_once");
    SendCall(setup, job, RequestKind::kSubmit, 0);
  }
  if (random.Chance(50)) {
    Later(setup, while_later,
          [setup, job]() { SubmitAgain(setup, job, "client.double_later"); });
  }
  if (random.Chance(40)) Hurry(setup, job);
  if (random.Chance(40)) {
    Later(setup, moment, [setup, job]() {
      Count(setup, "client.cancel");
      SendCall(setup, job, RequestKind::kCancel, 0);
    });
  }
  if (random.Chance(30)) {
    Later(setup, while_later, [setup, job]() {
      Count(setup, "client.key_reused");
      ++setup->clients.jobs[job].bodies;
      SendCall(setup, job, RequestKind::kSubmit, 1);
    });
  }
  if (random.Chance(30)) {
    Later(setup, while_later,
          [setup, job]() { SendCall(setup, job, RequestKind::kExplain, 0); });
  }
}

void SubmitFirst(Setup* setup, int job) {
  ClientJob& known = setup->clients.jobs[job];
  Note(setup, job, "job", -1, -1, known.tasks, 0, known.key);
  if (!setup->clients.plainly && setup->random.Chance(15)) {
    Count(setup, "client.cancel_first");
    SendCall(setup, job, RequestKind::kCancel, 0);
  }
  SendCall(setup, job, RequestKind::kSubmit, 0);
  if (!setup->clients.plainly) ActAtRandom(setup, job);
}

int AddJob(Setup* setup) {
  Clients& clients = setup->clients;
  const int job = static_cast<int>(clients.jobs.size());
  ClientJob added;
  added.measured = clients.plainly;
  if (added.measured) ++clients.measured_jobs;
  const bool many = setup->random.Chance(30);
  added.tasks = 1 + static_cast<std::uint32_t>(
                        setup->random.Below(many ? kManyTasks : kMostTasks));
  // A home may know no target that is large enough.
  if (!clients.plainly && setup->random.Chance(100)) added.cores = kLargeTask;
  added.time_left = ChooseTimeLeft(setup);
  clients.jobs.push_back(std::move(added));
  return job;
}

void UseHandle(Setup* setup, int job, const std::string& handle) {
  setup->clients.jobs[job].key = handle + ".j" + std::to_string(job);
  SubmitFirst(setup, job);
}

/// Takes a handle from an entry, then submits.
void MintAndSubmit(Setup* setup, int job) {
  const int entry = BalancedEntry(setup);
  if (entry < 0) return;
  Visit(setup, LifeOf(setup->processes[entry]), [setup, job, entry]() {
    const std::optional<std::string> handle = dispatch::MintHandle(
        &setup->processes[entry].entry,
        setup->services[setup->random.Index(setup->services.size())]);
    if (!handle.has_value()) {
      Count(setup, "client.no_handle");
      return;
    }
    std::vector<std::string>& held = setup->clients.handles;
    held.push_back(*handle);
    if (held.size() > kHandlesHeld) held.erase(held.begin());
    Later(setup, std::chrono::milliseconds(2),
          [setup, job, text = *handle]() { UseHandle(setup, job, text); });
  });
}

void CreateJob(Setup* setup) {
  const int job = AddJob(setup);
  if (setup->random.Chance(120)) {
    ClientJob& added = setup->clients.jobs[job];
    added.plain = true;
    added.key = "order-" + std::to_string(job);
    Count(setup, "client.plain_key");
    SubmitFirst(setup, job);
    return;
  }
  const std::vector<std::string>& held = setup->clients.handles;
  if (!held.empty() && !setup->clients.plainly && setup->random.Chance(400)) {
    UseHandle(setup, job, held[setup->random.Index(held.size())]);
    return;
  }
  MintAndSubmit(setup, job);
}

/// Looks at an ended job once more: its answer must stay.
void Revisit(Setup* setup, int job) {
  Count(setup, "client.revisit");
  Later(setup, std::chrono::seconds(30), [setup, job]() {
    const bool submit = setup->random.Chance(500);
    SendCall(setup, job, submit ? RequestKind::kSubmit : RequestKind::kQuery,
             0);
  });
}

void ReactToNotRun(Setup* setup, int job, core::Duration retry_after) {
  const bool again = retry_after.count() > 0 &&
                     (setup->clients.plainly || setup->random.Chance(500));
  if (!again) return;
  setup->scheduler.After(retry_after, [setup, job]() {
    SubmitAgain(setup, job, "client.after_not_run");
  });
}

void ReactToUnknown(Setup* setup, int job) {
  ClientJob& known = setup->clients.jobs[job];
  if (known.queries_left == 0) return;
  --known.queries_left;
  const bool submit = setup->random.Chance(400);
  Later(setup, std::chrono::seconds(4), [setup, job, submit]() {
    if (submit) {
      SubmitAgain(setup, job, "client.after_unknown");
    } else {
      SendCall(setup, job, RequestKind::kQuery, 0);
    }
  });
}

}  // namespace

void ClientLoop(Setup* setup) {
  if (!setup->clients.active) return;
  CreateJob(setup);
  setup->scheduler.After(
      setup->random.Between(kNoPause, 2 * setup->clients.pause),
      [setup]() { ClientLoop(setup); });
}

void ReactToAnswer(Setup* setup, int call, const dispatch::JobAnswer& answer) {
  const int job = setup->clients.calls[call].job;
  ClientJob& known = setup->clients.jobs[job];
  switch (answer.outcome) {
    case Outcome::kRunning:
      if (known.queries_left == 0) return;
      --known.queries_left;
      Count(setup, "client.query_after_running");
      Later(setup, std::chrono::milliseconds(200),
            [setup, job]() { SendCall(setup, job, RequestKind::kQuery, 0); });
      return;
    case Outcome::kComplete:
      if (known.measured && !known.complete) {
        ++setup->clients.measured_complete;
      }
      known.complete = true;
      if (!setup->clients.plainly && setup->random.Chance(60)) {
        Revisit(setup, job);
      }
      return;
    case Outcome::kFailed:
      if (setup->random.Chance(100)) Revisit(setup, job);
      return;
    case Outcome::kNotRun:
      ReactToNotRun(setup, job, answer.retry_after);
      return;
    case Outcome::kUnknown:
      ReactToUnknown(setup, job);
      return;
  }
}

void ReactToSilence(Setup* setup, int call) {
  const Call& silent = setup->clients.calls[call];
  const int job = silent.job;
  if (silent.kind == RequestKind::kExplain) return;
  if (silent.kind == RequestKind::kCancel) return;
  if (setup->random.Chance(200)) {
    SendCall(setup, job, RequestKind::kQuery, 0);
    return;
  }
  SubmitAgain(setup, job, "client.after_silence");
}

std::vector<std::string> PayloadsOf(const Setup& setup, int job, int body) {
  std::vector<std::string> payloads;
  for (std::uint32_t i = 0; i < setup.clients.jobs[job].tasks; ++i) {
    payloads.push_back(std::to_string(job) + "/" + std::to_string(body) + "/" +
                       std::to_string(i));
  }
  return payloads;
}

std::string ResultOf(const std::string& payload) { return "done " + payload; }

PayloadName ReadPayload(const std::string& payload) {
  PayloadName name;
  char* rest = nullptr;
  constexpr int kDecimal = 10;
  name.job = static_cast<int>(std::strtol(payload.c_str(), &rest, kDecimal));
  name.body = static_cast<int>(std::strtol(rest + 1, &rest, kDecimal));
  name.task =
      static_cast<std::uint32_t>(std::strtoul(rest + 1, &rest, kDecimal));
  return name;
}

}  // namespace tarragon::prove
