#ifndef TARRAGON_TESTS_SYSTEM_CLUSTER_H_
#define TARRAGON_TESTS_SYSTEM_CLUSTER_H_

#include <boost/json.hpp>
#include <cstdint>
#include <functional>
#include <future>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "child_process.h"
#include "cut_proxy.h"
#include "http_loop.h"

namespace tarragon::system_test {

/// What is to be started.
struct ClusterOptions {
  std::size_t entries = 2;
  /// One agent with its target for each name of a failure domain.
  std::vector<std::string> domains = {"szeged", "kecskemet"};
  std::uint32_t slots = 8;
  /// Puts a relay in front of every entry and agent.
  bool relays = false;
  /// "policy.name=value" for all entries and agents.
  std::vector<std::string> settings;
};

/// One answer to a client.
struct JobResult {
  int status = 0;
  std::string key;
  std::string outcome;
  std::string reason;
  std::string handle;
  std::string body;
  std::vector<std::string> results;
  core::Time at;
};

/// One start of a task, as a target has seen it.
struct WitnessedStart {
  std::string key;
  std::uint32_t task = 0;
  std::int64_t at_ms = 0;
  bool ended = false;
  std::size_t target = 0;
};

/// A task that ends after `work_ms` with `result`.
struct TaskText {
  std::uint32_t work_ms = 0;
  std::string result;
};

struct EntryProcess {
  std::unique_ptr<ChildProcess> process;
  std::string node;
  std::string clients;
  std::string operators;
};

struct AgentProcess {
  std::unique_ptr<ChildProcess> process;
  std::string domain;
  std::string node;
  std::string announce;
  std::string pages;
};

struct TargetProcess {
  std::unique_ptr<ChildProcess> process;
  std::string address;
};

/// Runs the platform's stand-in, entries, agents and targets as processes, and
/// keeps every answer that a client got. Test code uses the main thread.
class Cluster {
 public:
  /// Starts all, accepts a first note and waits until all agents can start
  /// tasks and an outage of the table would not stop them.
  explicit Cluster(ClusterOptions options);
  ~Cluster();
  Cluster(const Cluster&) = delete;
  Cluster& operator=(const Cluster&) = delete;

  std::size_t StartEntry();
  std::size_t StartAgent(const std::string& domain);
  /// Waits until entry `i` is ready and lists `agents` agents with the service.
  void AwaitEntry(std::size_t i, std::size_t agents);
  /// Waits until the pages of agent `i` show that it is ready.
  void AwaitAgent(std::size_t i);

  /// A handle for the service from entry `i`.
  std::string Handle(std::size_t i);
  /// A new key of that handle.
  std::string NewKey(const std::string& handle);
  /// The agent that is the home of the key.
  std::size_t HomeOf(const std::string& key) const;

  /// The body of a submission.
  static std::string Body(const std::vector<TaskText>& tasks,
                          std::uint32_t deadline_ms = 20000,
                          const std::string& service = "carve",
                          const std::string& tenant = "kaptafa");
  void Send(std::size_t entry, const std::string& key, const std::string& body,
            std::function<void(JobResult)> done);
  std::future<JobResult> Start(std::size_t entry, const std::string& key,
                               const std::string& body);
  JobResult Submit(std::size_t entry, const std::string& key,
                   const std::string& body);
  /// `method` GET or DELETE on /v1/jobs/KEY.
  JobResult Ask(std::size_t entry, const std::string& method,
                const std::string& key, std::uint32_t wait_ms = 0);

  /// Applies a note: `sections` on version `base`.
  Reply Note(std::size_t entry, const std::string& id, std::uint64_t base,
             const std::string& sections);
  std::future<Reply> StartNote(std::size_t entry, const std::string& id,
                               std::uint64_t base, const std::string& sections);
  /// Tells entry `at` that the entry `dead` is dead.
  Reply RemoveEntry(std::size_t at, std::size_t dead);
  boost::json::object Operators(std::size_t entry, const std::string& path);
  /// True when permits of the entry go on in an outage of the table.
  bool VouchesWithoutTable(std::size_t entry);
  /// The version of the note at entry `i`.
  std::uint64_t NoteVersion(std::size_t entry);

  /// All starts at target `i` once there are so many starts and ends.
  std::vector<WitnessedStart> Witness(std::size_t target,
                                      std::size_t min_starts = 0,
                                      std::size_t min_ends = 0);
  /// Kills a target; what it has started is known from its log.
  void KillTarget(std::size_t target);
  void Hold(std::size_t target);
  void Release(std::size_t target);
  void PlatformFault(const std::string& body);
  /// Value of one line of a page of metrics, such as "placements_total".
  double Metric(const std::string& address, const std::string& line);
  /// Waits until the value is at least `least`.
  void AwaitMetric(const std::string& address, const std::string& line,
                   double least);
  /// Waits until `holds` is true.
  static void AwaitTrue(const std::string& what,
                        const std::function<bool()>& holds);

  /// The ends of the logs of all entries and agents, for a failed test.
  std::string Logs() const;
  /// Compares what all targets have started with what all clients were told.
  void CheckAnswers();
  /// Tells CheckAnswers what a key's results must be.
  void Expect(const std::string& key, const std::vector<TaskText>& tasks);

  HttpLoop& loop() { return loop_; }
  /// The relays in front of all entries and agents.
  const std::vector<std::unique_ptr<CutProxy>>& relays() { return relays_; }
  EntryProcess& entry(std::size_t i) { return entries_.at(i); }
  AgentProcess& agent(std::size_t i) { return agents_.at(i); }
  TargetProcess& target(std::size_t i) { return targets_.at(i); }
  std::size_t agents() const { return agents_.size(); }
  std::size_t entries() const { return entries_.size(); }
  const std::string& platform() const { return platform_address_; }

 private:
  std::vector<std::string> Settings(std::vector<std::string> own) const;
  /// The settings "SECTION.listen" and, behind a relay, "SECTION.advertise".
  std::vector<std::string> WireSettings(const std::string& section);
  void Keep(const JobResult& result);
  std::vector<WitnessedStart> FinalWitness(std::size_t target);

  ClusterOptions options_;
  std::unique_ptr<ChildProcess> platform_;
  std::string platform_address_;
  std::vector<EntryProcess> entries_;
  std::vector<AgentProcess> agents_;
  std::vector<TargetProcess> targets_;
  std::uint64_t last_suffix_ = 0;
  std::mutex mutex_;
  std::vector<JobResult> answers_;
  std::map<std::string, std::vector<TaskText>> expected_;
  HttpLoop loop_;
  std::vector<std::unique_ptr<CutProxy>> relays_;
};

}  // namespace tarragon::system_test

#endif  // TARRAGON_TESTS_SYSTEM_CLUSTER_H_
