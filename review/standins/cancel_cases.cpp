#include <boost/json.hpp>
#include <cstdio>
#include <memory>
#include <string>

#include "cases.hpp"

namespace tarragon::review {
namespace {

namespace json = boost::json;

constexpr int kEdges = 2;
constexpr int kSides = 4;
constexpr char kRoute[] = "last-carve";
constexpr milliseconds kDeadline{20000};
constexpr milliseconds kCallDeadline{1500};
constexpr int kTaskMs = 4000;
constexpr int kJobs = 6;
constexpr milliseconds kJobPause{300};
/// From the submission to the cancel.
constexpr milliseconds kCancelAfter{1000};
/// From the submission's answer to its late copy.
constexpr milliseconds kCopyAfter{3500};

std::string JobId(int number) {
  char id[17];
  std::snprintf(id, sizeof id, "%016llx",
                static_cast<unsigned long long>(0xbeef000000000000ULL) +
                    static_cast<unsigned long long>(number));
  return id;
}

/// Two steps of two tasks, the second after the first.
std::string JobBody() {
  const json::object step{
      {"count", 2}, {"cpu", 1600}, {"mem_mb", 64}, {"est_runtime_ms", kTaskMs}};
  json::object second = step;
  second["after"] = json::array{0};
  return json::serialize(json::object{{"spec", std::to_string(kTaskMs)},
                                      {"best_effort", true},
                                      {"steps", json::array{step, second}}});
}

struct Outcome {
  Cancels cancels;
  int answered = 0;
  int completed = 0;
};

int Judge(Scene* scene, const Outcome& outcome, bool trouble) {
  scene->recorder.Note(
      "jobs answered: " + std::to_string(outcome.answered) +
      ", completed: " + std::to_string(outcome.completed) +
      ", cancels acknowledged: " + std::to_string(outcome.cancels.size()));
  if (outcome.answered == 0) return kCouldNotRun;
  if (trouble && outcome.cancels.empty()) return kCouldNotRun;
  const int broken = CountUnasked(scene, outcome.cancels);
  scene->recorder.Note("tasks that break UNASKED: " + std::to_string(broken));
  return broken > 0 ? kBroken : kHeld;
}

void Cancel(Scene* scene, Outcome* outcome, int edge, const std::string& id) {
  Call(scene, "DELETE", edge, kRoute, id, "", kCallDeadline,
       [outcome, id](const Answer& answer) {
         const bool acknowledged =
             answer.status / 100 == 2 || answer.status == 410;
         if (acknowledged) outcome->cancels.emplace(id, Steady::now());
       });
}

}  // namespace

int RunLateCopyCase(const std::string& record, bool trouble) {
  Scene scene(record, kEdges, kSides);
  Outcome outcome;
  const auto submit = [&scene, &outcome](const std::string& id,
                                         const std::function<void()>& then) {
    Call(&scene, "POST", 0, kRoute, id, JobBody(), kDeadline,
         [&outcome, then](const Answer& answer) {
           if (answer.status != 200) return;
           ++outcome.answered;
           if (answer.body.find("completed") != std::string::npos) {
             ++outcome.completed;
           }
           then();
         });
  };
  return RunScene(
      &scene,
      [&scene, &outcome, submit, trouble]() {
        for (int i = 0; i < kJobs; ++i) {
          const std::string id = JobId(i);
          scene.cluster.After(kJobPause * i, [&scene, submit, id]() {
            submit(id, [&scene, submit, id]() {
              // A copy of the submission arrives seconds after its answer.
              scene.cluster.After(kCopyAfter,
                                  [submit, id]() { submit(id, []() {}); });
            });
          });
          if (!trouble) continue;
          scene.cluster.After(
              kJobPause * i + kCancelAfter,
              [&scene, &outcome, id]() { Cancel(&scene, &outcome, 0, id); });
        }
      },
      milliseconds(26000),
      [&scene, &outcome, trouble]() {
        return Judge(&scene, outcome, trouble);
      });
}

int RunMovedClientCase(const std::string& record, bool trouble) {
  Scene scene(record, kEdges, kSides);
  Outcome outcome;
  return RunScene(
      &scene,
      [&scene, &outcome, trouble]() {
        for (int i = 0; i < kJobs; ++i) {
          const std::string id = JobId(i);
          scene.cluster.After(kJobPause * i, [&scene, &outcome, id]() {
            Call(&scene, "POST", 0, kRoute, id, JobBody(), kDeadline,
                 [&outcome](const Answer& answer) {
                   if (answer.status != 200) return;
                   ++outcome.answered;
                   if (answer.body.find("completed") != std::string::npos) {
                     ++outcome.completed;
                   }
                 });
          });
          // A client that has moved to another zone reaches the entry there.
          const int edge = trouble ? 1 : 0;
          scene.cluster.After(kJobPause * i + kCancelAfter,
                              [&scene, &outcome, id, edge]() {
                                Cancel(&scene, &outcome, edge, id);
                              });
        }
      },
      milliseconds(14000),
      [&scene, &outcome]() { return Judge(&scene, outcome, true); });
}

}  // namespace tarragon::review
