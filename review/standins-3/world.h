#ifndef TARRAGON_REVIEW_STANDINS_3_WORLD_H_
#define TARRAGON_REVIEW_STANDINS_3_WORLD_H_

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "../../tests/soak/relay.h"
#include "record.h"
#include "runner.h"
#include "store.h"
#include "tarragon/http/client.h"

namespace tarragon::review {

/// A child process. The destructor kills it, and the kernel kills it if the
/// script's program dies.
class Child {
 public:
  Child(std::string program, std::string node_file, std::string log_file,
        std::vector<std::string> arguments);
  ~Child();
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  /// False once the process has ended by itself.
  bool IsRunning();

 private:
  pid_t pid_ = 0;
};

/// What came of the jobs of one span.
struct Tally {
  int sent = 0;
  int served = 0;
  int refused = 0;
  int other = 0;
};

/// A small deployment: entries, gates with a runner each, the store, clients.
class World {
 public:
  struct Config {
    int entries = 2;
    int gates = 3;
    /// The entries are in one region and the gates in another, and all
    /// connections between the processes pass through relays. Else there is one
    /// region, in whose two zones both stand, and there are no relays.
    bool apart = false;
    /// The entries reach the store at an address of their own, which
    /// MoveStore() replaces.
    bool movable_store = false;
  };

  World(const std::string& folder, const Config& config);
  ~World();

  boost::asio::io_context& io() { return io_; }
  Record& record() { return record_; }
  std::vector<std::unique_ptr<Runner>>& runners() { return runners_; }
  /// Drops all bytes between the entries and the gates, or ends that. What was
  /// open during the cut has timed out by its end.
  void SetCut(bool cut);

  /// Gives the entries another address of the store in their settings files,
  /// without a signal. The former one does not answer any more.
  void MoveStore();
  /// The operator writes a row; the store's answer acknowledges it.
  void Operate(const std::string& key, const std::string& value);
  /// The operator's configuration, with a second route to the same service
  /// under "/new/" if `wider`.
  static std::string MakeConfiguration(int version, bool wider);
  /// Asks each entry for the number of waiting jobs under `path`; returns the
  /// statuses.
  std::vector<int> AskCounts(const std::string& path);

  /// Runs the events of this time.
  void Run(double seconds);
  /// Waits until all entries say that they are ready. False after `seconds`.
  bool AwaitReady(double seconds);
  /// Sends a job of `tasks` tasks of `task_ms` each `gap_s` seconds, to the
  /// entries in turn, and counts the answers. A job without an answer, or with
  /// a 502 or 504, is sent again once, 1.3 s later, to the next entry. Runs
  /// until all are answered.
  Tally SendJobs(double seconds, double gap_s, int tasks, int task_ms);
  /// Sends jobs in the background until StopJobs().
  void StartJobs(double gap_s, int tasks, int task_ms);
  void StopJobs() { background_ = false; }
  /// Status of the readiness of each entry, such as "200 503".
  std::string Readiness();
  bool AllRunning();

 private:
  struct Job {
    std::string id;
    std::string body;
    int attempt = 0;
    std::size_t entry = 0;
  };

  std::string WriteNodeFile(const std::string& name, const std::string& ip,
                            const std::string& zone, bool entry);
  std::string NodeSettings(const std::string& name, const std::string& ip,
                           const std::string& zone, bool entry) const;
  void StartProcess(const std::string& name, const std::string& ip,
                    const std::string& zone, bool entry);
  void Submit(Job job, const std::shared_ptr<Tally>& tally);
  void SendNext(double gap_s, int tasks, int task_ms,
                const std::shared_ptr<Tally>& tally,
                const std::function<bool()>& more);
  Job MakeJob(int tasks, int task_ms);

  boost::asio::io_context io_;
  Record record_;
  Config config_;
  std::string work_;
  std::string net_;
  int port_ = 0;
  http::Client client_;
  std::unique_ptr<Store> store_;
  std::vector<std::unique_ptr<soak::Relay>> relays_;
  std::unique_ptr<soak::Relay> former_store_;
  /// Where the entries reach the store.
  std::string entries_store_;
  std::vector<std::unique_ptr<Runner>> runners_;
  std::vector<std::unique_ptr<Child>> children_;
  std::vector<std::string> fronts_;
  std::vector<std::string> readies_;
  std::uint64_t jobs_ = 0;
  std::uint64_t salt_ = 0;
  int open_ = 0;
  bool background_ = false;
};

/// True unless the variable TROUBLE is "0".
bool WithTrouble();

}  // namespace tarragon::review

#endif  // TARRAGON_REVIEW_STANDINS_3_WORLD_H_
