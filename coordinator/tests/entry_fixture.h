#ifndef TARRAGON_COORDINATOR_TESTS_ENTRY_FIXTURE_H_
#define TARRAGON_COORDINATOR_TESTS_ENTRY_FIXTURE_H_

#include <cppunit/extensions/HelperMacros.h>

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "tarragon/coordinator/entry.h"

namespace tarragon::coordinator {

/// An entry with one queue and gates whose targets have 16 cores. Tests pass in
/// events and check the actions that the entry requests.
class EntryFixture : public CppUnit::TestFixture {
 public:
  void setUp() override {
    board_ = JobBoard{};
    board_.domain = core::DomainId("szeged");
    now_ = core::Time{std::chrono::seconds(100)};
    last_call_ = 0;
    OperatorState state;
    state.revision = 1;
    state.version = 1;
    Queue queue;
    queue.name = QueueId("checks");
    queue.host = "q.example";
    queue.path_prefix = "/checks/";
    queue.service = core::ServiceId("carve");
    queue.max_attempts = 2;
    queue.stretch_permille = 1600;
    queue.latency_target = std::chrono::milliseconds(60);
    state.queues = {queue};
    OnOperatorState(&board_, now_, state, "test");
  }

 protected:
  static core::NodeId GateId(int number, std::uint64_t incarnation = 1) {
    return {core::Address("10.0.1." + std::to_string(number) + ":7000"),
            core::Incarnation(incarnation)};
  }

  /// A gate reports `free` of its 16,000 millicores and that it has counted all
  /// starts so far.
  void Report(const core::NodeId& gate, std::int64_t free, bool usable = true) {
    TargetReport report;
    report.clock = now_;
    report.starts_seen = board_.last_start_sequence;
    report.usable = usable;
    report.runs_known = true;
    report.target = TargetId("t-" + gate.address.value());
    report.service = core::ServiceId("carve");
    report.domain = core::DomainId("szeged");
    report.capacity = {16000, 64000, 0};
    report.free = {free, 64000, 0};
    report.operator_revision = board_.operator_state.revision;
    OnMessage(&board_, now_, gate, report);
  }

  void Advance(core::Duration time) {
    constexpr core::Duration kStep = std::chrono::milliseconds(20);
    const core::Time end = now_ + time;
    while (now_ < end) {
      now_ = std::min(now_ + kStep, end);
      OnTick(&board_, now_);
    }
  }

  /// Submits a job of `tasks` tasks with the declared run time `run`.
  CallId Submit(const std::string& id, std::uint32_t tasks,
                core::Duration run = std::chrono::milliseconds(100),
                std::int64_t millicores = 1600) {
    JobRequest request;
    request.id = JobId(id);
    request.payload = "scan";
    StepSpec step;
    step.count = tasks;
    step.room = {millicores, 64, 0};
    step.declared_run_time = run;
    request.steps = {step};
    return SubmitRequest(std::move(request));
  }

  CallId SubmitRequest(JobRequest request) {
    const CallId call(++last_call_);
    OnSubmit(&board_, now_, call, board_.operator_state.queues.at(0),
             std::move(request), now_ + std::chrono::seconds(10));
    return call;
  }

  template <typename Action>
  std::vector<Action> TakeActions() {
    std::vector<Action> taken;
    std::vector<JobAction> rest;
    for (JobAction& action : board_.actions) {
      if (auto* found = std::get_if<Action>(&action)) {
        taken.push_back(std::move(*found));
      } else {
        rest.push_back(std::move(action));
      }
    }
    board_.actions = std::move(rest);
    return taken;
  }

  std::vector<SendTo<StartRun>> TakeStarts() {
    return TakeActions<SendTo<StartRun>>();
  }
  std::vector<SendTo<AskRun>> TakeQueries() {
    return TakeActions<SendTo<AskRun>>();
  }

  std::optional<ClientAnswer> TakeAnswerTo(CallId call) {
    std::optional<ClientAnswer> found;
    for (const AnswerCall& answer : TakeActions<AnswerCall>()) {
      if (answer.call == call) found = answer.answer;
    }
    return found;
  }

  void AssertState(CallId call, JobState state) {
    const std::optional<ClientAnswer> answer = TakeAnswerTo(call);
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT(answer->refusal == Refusal::kNone);
    CPPUNIT_ASSERT_EQUAL(std::string(Name(state)),
                         std::string(Name(answer->state)));
  }

  void AssertRefusal(CallId call, Refusal refusal) {
    const std::optional<ClientAnswer> answer = TakeAnswerTo(call);
    CPPUNIT_ASSERT(answer.has_value());
    CPPUNIT_ASSERT_EQUAL(std::string(Name(refusal)),
                         std::string(Name(answer->refusal)));
  }

  void ReportEnd(const SendTo<StartRun>& start, RunEnd end,
                 RefusalReason reason = RefusalReason::kNone) {
    OnMessage(&board_, now_, start.to,
              RunEnded{start.message.run, end, reason,
                       std::chrono::milliseconds(100)});
  }

  JobBoard board_;
  core::Time now_;
  std::uint64_t last_call_ = 0;
};

}  // namespace tarragon::coordinator

#endif  // TARRAGON_COORDINATOR_TESTS_ENTRY_FIXTURE_H_
