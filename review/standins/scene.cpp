#include <memory>
#include <utility>

#include "cases.hpp"

namespace tarragon::review {

void Call(Scene* scene, const std::string& method, int edge,
          const std::string& route, const std::string& id,
          const std::string& body, milliseconds deadline,
          std::function<void(const Answer&)> done) {
  http::Request request;
  request.method = method;
  request.path = "/" + route + "/" + id;
  request.headers["host"] = scene->cluster.host();
  request.headers["content-type"] = "application/json";
  request.headers["x-deadline-ms"] = std::to_string(deadline.count());
  request.body = body;
  const std::string what =
      method + " " + request.path + " at edge-" + std::to_string(edge + 1);
  scene->recorder.Note("client: sent " + what);
  scene->client.Send(
      scene->cluster.front(edge), request, deadline,
      [scene, what, done = std::move(done)](
          const std::optional<http::Response>& response,
          const http::HttpError& error) {
        Answer answer;
        if (response.has_value()) answer = {response->status, response->body};
        scene->recorder.Note("client: " + what + " answered " +
                             std::to_string(answer.status) + " " +
                             (response.has_value() ? answer.body : error.text));
        done(answer);
      });
}

int CountUnasked(Scene* scene, const Cancels& cancels) {
  int broken = 0;
  for (const RunRecord& run : scene->recorder.runs()) {
    const auto cancel = cancels.find(run.task.substr(0, run.task.find('.')));
    if (cancel == cancels.end()) continue;
    const Moment last_start = cancel->second + kCancelBound;
    const Moment last_work = last_start + kStopTimeout;
    const bool late_start = run.started_at > last_start;
    const bool late_work = run.started_at <= last_start &&
                           Steady::now() > last_work &&
                           run.ended_at > last_work;
    if (!late_start && !late_work) continue;
    ++broken;
    scene->recorder.Note(
        "UNASKED: " + run.task + " run " + std::to_string(run.run) + " at " +
        run.runner + (late_start ? " started " : " was at work ") +
        std::to_string(
            std::chrono::duration_cast<milliseconds>(
                (late_start ? run.started_at
                            : std::min(run.ended_at, Steady::now())) -
                cancel->second)
                .count()) +
        " ms after the acknowledgement of the cancel");
  }
  return broken;
}

int CountTwice(Scene* scene, milliseconds least) {
  int broken = 0;
  for (const Overlap& each : scene->recorder.FindOverlaps(least)) {
    ++broken;
    const auto describe = [scene](const RunRecord& run) {
      return "run " + std::to_string(run.run) + " at " + run.runner + " from " +
             std::to_string(scene->recorder.MillisAt(run.started_at)) + " ms";
    };
    scene->recorder.Note("TWICE: " + each.first.task + ": " +
                         describe(each.first) + ", " + describe(each.second) +
                         ", both at work for " +
                         std::to_string(each.length.count()) + " ms");
  }
  scene->recorder.Note("tasks that ran twice at one time: " +
                       std::to_string(broken));
  return broken;
}

int RunScene(Scene* scene, std::function<void()> begin, milliseconds length,
             const std::function<int()>& judge) {
  int result = kCouldNotRun;
  scene->cluster.Start(
      [scene, begin = std::move(begin), length, judge, &result]() {
        scene->recorder.Note("all entries take clients");
        begin();
        scene->cluster.After(length, [scene, judge, &result]() {
          result = judge();
          if (!scene->cluster.AllRun()) {
            scene->recorder.Note("a process has ended by itself");
            if (result == kHeld) result = kCouldNotRun;
          }
          scene->io.stop();
        });
      },
      [scene]() {
        scene->recorder.Note("the system did not start");
        scene->io.stop();
      });
  scene->io.run();
  scene->recorder.Note("exit code " + std::to_string(result));
  return result;
}

}  // namespace tarragon::review
