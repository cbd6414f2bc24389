#include <boost/json.hpp>
#include <cstdio>
#include <random>
#include <string>
#include <vector>

#include "cases.hpp"

namespace tarragon::review {
namespace {

namespace json = boost::json;

constexpr int kEdges = 2;
constexpr int kSides = 5;
constexpr char kRoute[] = "heel-pitch";
constexpr milliseconds kDeadline{1500};
constexpr milliseconds kSubmitPause{25};
constexpr milliseconds kTraffic{40000};
/// Runners 1 to 3 crash and drain, one after the other.
constexpr int kRunners = 3;
constexpr milliseconds kFirstCrash{8000};
constexpr milliseconds kCrashPause{11000};
constexpr milliseconds kDown{500};
/// A heartbeat is sent about every 1.5 s.
constexpr milliseconds kFirstHeartbeat{400};
/// From the crash to the start of the draining.
constexpr milliseconds kDrainAfter{1200};
constexpr milliseconds kDrainBound{2000};
/// From the start of the draining: `drain_ms` and a little longer.
constexpr milliseconds kLeaveAfter{3000};

class Clients {
 public:
  explicit Clients(Scene* scene) : scene_(scene) {}

  void SubmitNext() {
    if (stopped_) return;
    char id[17];
    std::snprintf(id, sizeof id, "5eed%012d", ++last_);
    const int work = std::uniform_int_distribution<int>(120, 300)(random_);
    const std::string body = json::serialize(json::object{
        {"spec", std::to_string(work)},
        {"best_effort", true},
        {"steps", json::array{json::object{{"count", 2},
                                           {"cpu", 1600},
                                           {"mem_mb", 64},
                                           {"est_runtime_ms", 200}}}}});
    const int edge = last_ % kEdges;
    Call(scene_, "POST", edge, kRoute, id, body, kDeadline,
         [this](const Answer& answer) {
           if (answer.status == 200) ++completed_;
         });
    scene_->cluster.After(kSubmitPause, [this]() { SubmitNext(); });
  }
  void Stop() { stopped_ = true; }
  int completed() const { return completed_; }

 private:
  Scene* scene_;
  std::mt19937 random_{7};
  int last_ = 0;
  bool stopped_ = false;
  int completed_ = 0;
};

void PlayRunner(Scene* scene, int index, bool trouble) {
  Runner& runner = scene->cluster.runner(index);
  if (trouble) runner.Crash(kDown, kFirstHeartbeat);
  scene->cluster.After(kDrainAfter, [scene, &runner]() {
    scene->recorder.Note("runner " + runner.id() + ": drains");
    runner.Drain(kLeaveAfter);
  });
  scene->cluster.After(kDrainAfter + kLeaveAfter,
                       [&runner]() { runner.Leave(); });
}

/// Starts at a runner later than `drain_ms` after its draining was
/// acknowledged.
int CountLateStarts(Scene* scene) {
  int broken = 0;
  for (int i = 0; i < kRunners; ++i) {
    const Runner& runner = scene->cluster.runner(i);
    const std::optional<Moment> since = runner.drain_acknowledged_at();
    if (!since.has_value()) continue;
    for (const RunRecord& run : scene->recorder.runs()) {
      if (run.runner != runner.id()) continue;
      if (run.started_at <= *since + kDrainBound) continue;
      ++broken;
      scene->recorder.Note(
          "DRAIN: " + run.task + " run " + std::to_string(run.run) +
          " was started at " + run.runner + " " +
          std::to_string(
              std::chrono::duration_cast<milliseconds>(run.started_at - *since)
                  .count()) +
          " ms after the acknowledgement of its draining, and ended as " +
          run.how);
    }
  }
  return broken;
}

}  // namespace

int RunRebornDrainCase(const std::string& record, bool trouble) {
  Scene scene(record, kEdges, kSides);
  Clients clients(&scene);
  return RunScene(
      &scene,
      [&scene, &clients, trouble]() {
        clients.SubmitNext();
        scene.cluster.After(kTraffic, [&clients]() { clients.Stop(); });
        for (int i = 0; i < kRunners; ++i) {
          scene.cluster.After(
              kFirstCrash + kCrashPause * i,
              [&scene, i, trouble]() { PlayRunner(&scene, i, trouble); });
        }
      },
      kTraffic + milliseconds(2000),
      [&scene, &clients]() {
        int acknowledged = 0;
        for (int i = 0; i < kRunners; ++i) {
          if (scene.cluster.runner(i).drain_acknowledged_at().has_value()) {
            ++acknowledged;
          }
        }
        scene.recorder.Note(
            "jobs answered with 200: " + std::to_string(clients.completed()) +
            ", drainings acknowledged: " + std::to_string(acknowledged));
        if (clients.completed() == 0 || acknowledged < kRunners) {
          return kCouldNotRun;
        }
        const int broken = CountLateStarts(&scene);
        int lost = 0;
        for (const RunRecord& run : scene.recorder.runs()) {
          if (run.how == "left") ++lost;
        }
        scene.recorder.Note("runs that ended as their runner left: " +
                            std::to_string(lost));
        scene.recorder.Note("starts that break DRAIN: " +
                            std::to_string(broken));
        return broken > 0 ? kBroken : kHeld;
      });
}

}  // namespace tarragon::review
