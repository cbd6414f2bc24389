#include <boost/json.hpp>
#include <csignal>
#include <cstdio>
#include <memory>
#include <random>
#include <utility>

#include "cases.hpp"

namespace tarragon::review {
namespace {

namespace json = boost::json;

constexpr int kEdges = 2;
constexpr int kSides = 8;
constexpr char kRoute[] = "last-carve";
/// Time that a client waits for an answer.
constexpr milliseconds kDeadline{1500};
constexpr milliseconds kSubmitPause{75};
constexpr milliseconds kTraffic{75000};
constexpr milliseconds kFirstFreeze{4000};
constexpr milliseconds kFreezePause{5000};
constexpr milliseconds kFreezeTime{4000};
constexpr int kFreezes = 14;
constexpr int kMaxAttempts = 3;
/// Shorter overlaps could be an error of the stand-ins' timers.
constexpr milliseconds kLeastOverlap{50};

/// Clients that hand in jobs of four tasks, and hand them in again after no
/// answer, 502 or 504.
class Clients {
 public:
  explicit Clients(Scene* scene) : scene_(scene) {}

  void SubmitNext() {
    if (stopped_) return;
    char id[17];
    std::snprintf(
        id, sizeof id, "%016llx",
        static_cast<unsigned long long>(0xa1b2c3d400000000ULL + ++last_));
    // The work is 0.9 s and more; the estimate is rough.
    const int work = std::uniform_int_distribution<int>(650, 1400)(random_);
    const std::string body = json::serialize(json::object{
        {"spec", std::to_string(work)},
        {"best_effort", true},
        {"steps", json::array{json::object{{"count", 4},
                                           {"cpu", 1600},
                                           {"mem_mb", 64},
                                           {"est_runtime_ms", 900}}}}});
    Submit(id, body, 1);
    scene_->cluster.After(kSubmitPause, [this]() { SubmitNext(); });
  }

  void Stop() { stopped_ = true; }
  int completed() const { return completed_; }
  int resent() const { return resent_; }

 private:
  void Submit(const std::string& id, const std::string& body, int attempt) {
    const int edge = std::uniform_int_distribution<int>(0, kEdges - 1)(random_);
    Call(scene_, "POST", edge, kRoute, id, body, kDeadline,
         [this, id, body, attempt](const Answer& answer) {
           if (answer.status == 200) ++completed_;
           const bool again = answer.status == 0 || answer.status == 502 ||
                              answer.status == 504;
           if (!again || attempt == kMaxAttempts) return;
           scene_->cluster.After(kRetransmit, [this, id, body, attempt]() {
             ++resent_;
             Submit(id, body, attempt + 1);
           });
         });
  }

  Scene* scene_;
  std::mt19937 random_{20261205};
  std::uint64_t last_ = 0;
  bool stopped_ = false;
  int completed_ = 0;
  int resent_ = 0;
};

}  // namespace

int RunStaleEndCase(const std::string& record, bool trouble) {
  Scene scene(record, kEdges, kSides);
  Clients clients(&scene);
  return RunScene(
      &scene,
      [&scene, &clients, trouble]() {
        clients.SubmitNext();
        scene.cluster.After(kTraffic, [&clients]() { clients.Stop(); });
        for (int i = 0; trouble && i < kFreezes; ++i) {
          const int side = i % kSides;
          const milliseconds at = kFirstFreeze + i * kFreezePause;
          scene.cluster.After(at, [&scene, side]() {
            scene.recorder.Note("trouble: the process on side-" +
                                std::to_string(side + 1) + " freezes");
            scene.cluster.gate(side).Signal(SIGSTOP);
          });
          scene.cluster.After(at + kFreezeTime, [&scene, side]() {
            scene.recorder.Note("trouble: the process on side-" +
                                std::to_string(side + 1) + " goes on");
            scene.cluster.gate(side).Signal(SIGCONT);
          });
        }
      },
      kTraffic + milliseconds(6000),
      [&scene, &clients]() {
        scene.recorder.Note(
            "jobs answered with 200: " + std::to_string(clients.completed()) +
            ", handed in again: " + std::to_string(clients.resent()));
        if (clients.completed() == 0) return kCouldNotRun;
        return CountTwice(&scene, kLeastOverlap) > 0 ? kBroken : kHeld;
      });
}

}  // namespace tarragon::review
