#ifndef TARRAGON_REVIEW_CLUSTER_H_
#define TARRAGON_REVIEW_CLUSTER_H_

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "fake_store.h"
#include "recorder.hpp"
#include "runner.hpp"
#include "tarragon/http/client.h"

namespace tarragon::review {

/// A program of the deploy file, as a process of its own.
class Program {
 public:
  Program(std::string path, std::string node_file, std::string log_file);
  ~Program();
  Program(const Program&) = delete;
  Program& operator=(const Program&) = delete;

  void Start();
  void Signal(int signal) const;
  /// Reaps it if it has ended. True if it still runs.
  bool Runs();

 private:
  std::string path_;
  std::string node_file_;
  std::string log_file_;
  pid_t pid_ = 0;
};

/// A queue of the configuration.
struct Route {
  std::string name;
  int priority = 0;
  int max_attempts = 2;
  double stretch = 1.6;
  int target_latency_ms = 60;
};

/// A small deployment on loopback addresses: `edges` machines with a
/// coordinator, `sides` machines with a gate and a runner, and a store.
class Cluster {
 public:
  Cluster(boost::asio::io_context& io, Recorder* recorder, int edges,
          int sides);
  ~Cluster();

  /// Starts everything and calls `ready` once every coordinator takes clients,
  /// or `failed` after 15 s.
  void Start(std::function<void()> ready, std::function<void()> failed);
  void After(milliseconds delay, std::function<void()> step);
  Program& gate(int index) { return *gates_[static_cast<std::size_t>(index)]; }
  Program& coordinator(int index) {
    return *coordinators_[static_cast<std::size_t>(index)];
  }
  Runner& runner(int index) {
    return *runners_[static_cast<std::size_t>(index)];
  }
  int edges() const { return edges_; }
  int sides() const { return sides_; }
  soak::FakeStore& store() { return store_; }
  core::Address front(int edge) const;
  core::Address control(int side) const;
  std::string host() const { return "queue.example"; }
  /// True if all programs still run.
  bool AllRun();
  const std::string& folder() const { return folder_; }

 private:
  std::string WriteNodeFile(const std::string& name, bool edge, int index);
  std::string Ip(bool edge, int index) const;
  void WriteConfiguration();
  void AwaitReady(int tries, std::function<void()> ready,
                  std::function<void()> failed);

  boost::asio::io_context& io_;
  Recorder* recorder_;
  int edges_;
  int sides_;
  int base_port_ = 0;
  int net_ = 0;
  std::string folder_;
  soak::FakeStore store_;
  http::Client client_;
  std::vector<std::unique_ptr<Program>> coordinators_;
  std::vector<std::unique_ptr<Program>> gates_;
  std::vector<std::unique_ptr<Runner>> runners_;
};

}  // namespace tarragon::review

#endif  // TARRAGON_REVIEW_CLUSTER_H_
