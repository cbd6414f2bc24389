#include <boost/json.hpp>
#include <chrono>
#include <cstdio>
#include <random>
#include <string>

#include "cases.hpp"

namespace tarragon::review {
namespace {

namespace json = boost::json;

constexpr int kEdges = 2;
constexpr int kSides = 6;
constexpr char kRoute[] = "last-carve";
constexpr milliseconds kDeadline{3000};
constexpr milliseconds kSubmitPause{200};
constexpr milliseconds kTraffic{20000};
constexpr milliseconds kFirstHeartbeat{6000};
constexpr milliseconds kHeartbeatPause{4000};
/// Machines whose `control` address gets one heartbeat of another writer.
constexpr int kMachines = 3;
constexpr milliseconds kHeartbeatTimeout{1000};
constexpr milliseconds kLeastOverlap{50};

class Clients {
 public:
  explicit Clients(Scene* scene) : scene_(scene) {}

  void SubmitNext() {
    if (stopped_) return;
    char id[17];
    std::snprintf(id, sizeof id, "fee1%012d", ++last_);
    const int work = std::uniform_int_distribution<int>(700, 1200)(random_);
    const std::string body = json::serialize(json::object{
        {"spec", std::to_string(work)},
        {"best_effort", true},
        {"steps", json::array{json::object{{"count", 4},
                                           {"cpu", 1600},
                                           {"mem_mb", 64},
                                           {"est_runtime_ms", 900}}}}});
    // No client sends a job twice.
    Call(scene_, "POST", last_ % kEdges, kRoute, id, body, kDeadline,
         [this](const Answer& answer) {
           if (answer.status == 200) ++completed_;
         });
    scene_->cluster.After(kSubmitPause, [this]() { SubmitNext(); });
  }
  void Stop() { stopped_ = true; }
  int completed() const { return completed_; }

 private:
  Scene* scene_;
  std::mt19937 random_{11};
  int last_ = 0;
  bool stopped_ = false;
  int completed_ = 0;
};

/// A heartbeat of another writer: well formed, but for a service that the
/// configuration does not name.
void SendForeignHeartbeat(Scene* scene, int side) {
  const std::int64_t now =
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  http::Request request;
  request.method = "POST";
  request.path = "/v1/instances/i-of-another-writer/heartbeat";
  request.headers["content-type"] = "application/json";
  request.body = json::serialize(json::object{
      {"service", "no-such-service"},
      {"address", "127.0.0.1:1"},
      {"zone", "szeged"},
      {"version", "v1"},
      {"slots", 8},
      {"state", "ready"},
      {"cold_remaining_ms", 0},
      {"capacity", {{"cpu", 16000}, {"mem_mb", 65536}, {"gpu", 0}}},
      {"labels", json::array{}},
      {"clock_ms", 1000},
      {"born", now},
      {"sequence", 1}});
  const std::string where = "side-" + std::to_string(side + 1);
  scene->recorder.Note("trouble: a heartbeat of another writer goes to " +
                       where);
  scene->client.Send(
      scene->cluster.control(side), request, kHeartbeatTimeout,
      [scene, where](const std::optional<http::Response>& response,
                     const http::HttpError&) {
        scene->recorder.Note(
            "the heartbeat of another writer to " + where + " was answered " +
            std::to_string(response.has_value() ? response->status : 0));
      });
}

}  // namespace

int RunForeignHeartbeatCase(const std::string& record, bool trouble) {
  Scene scene(record, kEdges, kSides);
  Clients clients(&scene);
  return RunScene(
      &scene,
      [&scene, &clients, trouble]() {
        clients.SubmitNext();
        scene.cluster.After(kTraffic, [&clients]() { clients.Stop(); });
        for (int i = 0; trouble && i < kMachines; ++i) {
          scene.cluster.After(
              kFirstHeartbeat + kHeartbeatPause * i,
              [&scene, i]() { SendForeignHeartbeat(&scene, i); });
        }
      },
      kTraffic + milliseconds(5000),
      [&scene, &clients]() {
        scene.recorder.Note("jobs answered with 200: " +
                            std::to_string(clients.completed()));
        if (clients.completed() == 0) return kCouldNotRun;
        return CountTwice(&scene, kLeastOverlap) > 0 ? kBroken : kHeld;
      });
}

}  // namespace tarragon::review
