#ifndef REVIEW_STANDINS_2_LAB_HPP_
#define REVIEW_STANDINS_2_LAB_HPP_

// Stand-ins for the platform's store, the runners and the clients, and a
// launcher for the programs under test. Plain sockets and threads; everything
// listens on loopback addresses.

#include <atomic>
#include <boost/json.hpp>
#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace lab {

namespace json = boost::json;

/// Milliseconds on the steady clock since the program started.
std::int64_t NowMs();
void SleepMs(std::int64_t ms);

/// Collects lines with times. Save() writes them to a file.
class Record {
 public:
  void Add(const std::string& line);
  void Save(const std::string& path);

 private:
  std::mutex mutex_;
  std::vector<std::string> lines_;
};
Record& Log();

struct Request {
  std::string method;
  std::string path;
  std::map<std::string, std::string> query;
  std::map<std::string, std::string> headers;
  std::string body;
};

/// Status 0: no answer is given, and the connection stays open.
/// Status -1: the connection is reset.
struct Response {
  int status = 200;
  std::string body = "{}";
};

/// Serves HTTP/1.1 with one thread per connection.
class Server {
 public:
  using Handler = std::function<Response(const Request&)>;
  Server(const std::string& ip, int port, Handler handler);
  ~Server();
  int port() const { return port_; }
  std::string address() const { return ip_ + ":" + std::to_string(port_); }
  /// Resets all connections.
  void ResetAll();

 private:
  void Accept();
  void Serve(int fd);

  std::string ip_;
  int port_ = 0;
  int listener_ = -1;
  Handler handler_;
  std::atomic<bool> closed_{false};
  std::mutex mutex_;
  std::vector<int> open_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

/// One request on a connection of its own.
class Call {
 public:
  /// Sends the request. `address` is "IP:port".
  Call(const std::string& address, const std::string& method,
       const std::string& path,
       const std::map<std::string, std::string>& headers,
       const std::string& body);
  ~Call();
  /// Waits for the answer; status 0 if there is none in time.
  Response Wait(std::int64_t timeout_ms);
  /// Sends bytes on the same connection.
  void SendMore(const std::string& bytes);
  /// Resets the connection.
  void Reset();

 private:
  int fd_ = -1;
};

/// The platform's store, form "table".
class Store {
 public:
  explicit Store(const std::string& ip);
  void Put(const std::string& table, const std::string& key,
           const std::string& value);
  void Remove(const std::string& table, const std::string& key);
  /// Time that each answer takes.
  void SetAnswerTime(std::int64_t ms) { answer_ms_ = ms; }
  std::string address() const { return server_->address(); }

 private:
  struct Change {
    std::uint64_t ver;
    std::string table, key;
    bool deleted;
    std::string value64;
  };
  Response Handle(const Request& request);
  void Set(const std::string& table, const std::string& key,
           const std::string& value64, bool deleted);

  std::mutex mutex_;
  std::condition_variable changed_;
  std::atomic<std::int64_t> answer_ms_{4};
  std::uint64_t ver_ = 0;
  std::map<std::string,
           std::map<std::string, std::pair<std::string, std::uint64_t>>>
      tables_;
  std::vector<Change> changes_;
  std::unique_ptr<Server> server_;
};

/// A start or an end of a run, as a runner has seen it.
struct RunEvent {
  std::int64_t at_ms;
  std::string runner;
  std::string task;
  std::int64_t run;
  std::string what;  // "start", or how the run ended
};

/// All runs of all runners.
class Ledger {
 public:
  void Add(const RunEvent& event);
  std::vector<RunEvent> events();

 private:
  std::mutex mutex_;
  std::vector<RunEvent> events_;
};

/// A runner that takes orders by "rpc" and does not guard its capacity. The
/// spec of a job holds "ms=N": how long each task works.
class Runner {
 public:
  struct Config {
    std::string id;
    std::string ip;
    int port = 0;
    std::string control;
    std::string service = "svc";
    std::string zone;
    std::int64_t cpu = 16000;
    std::int64_t mem_mb = 32768;
    std::vector<std::string> labels;
    std::int64_t heartbeat_ms = 1500;
    /// When the first heartbeat is sent, after the runner takes calls.
    std::int64_t first_beat_ms = 0;
    std::int64_t stop_ms = 45;
  };
  /// What becomes of an order. `answer_after_ms` < 0: it is not answered.
  struct Fate {
    std::int64_t carry_out_after_ms = 0;
    bool answered = true;
  };
  using Judge =
      std::function<Fate(const std::string& path, const json::object&)>;

  Runner(Config config, Ledger* ledger);
  ~Runner();
  void SetJudge(Judge judge);
  void SetDraining(std::int64_t remaining_ms);
  /// Deregisters and ends.
  void Leave();
  /// Ends without a word, and so does all that runs there.
  void Crash();
  /// The machine is suspended: the runner does nothing, and its steady clock
  /// stands still.
  void Suspend();
  void Resume();
  const Config& config() const { return config_; }
  std::size_t running();

 private:
  struct Run {
    std::int64_t number;
    std::int64_t started, ends;
    std::int64_t stops_at = -1;
  };
  struct End {
    std::int64_t n;
    std::string task;
    std::int64_t run;
    std::string how;
  };
  /// Time that the machine was not suspended.
  std::int64_t AwakeMs() const;
  std::int64_t Clock() const { return AwakeMs() - born_at_ + 1; }
  /// Waits while the machine is suspended.
  void AwaitAwake() const;
  Response Handle(const Request& request);
  Response CarryOut(const std::string& path, const json::object& body);
  Response Start(const json::object& body);
  Response Stop(const json::object& body);
  Response Hold(const json::object& body);
  Response Say(int status, const std::string& reason);
  void Expire();
  void EndRun(const std::string& task, const std::string& how);
  /// Sends a heartbeat. It is repeated soon if it is not acknowledged.
  void Beat();
  void Work();
  void Finish();

  Config config_;
  Ledger* ledger_;
  std::int64_t born_at_;
  std::int64_t born_;
  std::atomic<std::int64_t> suspended_ms_{0};
  std::atomic<std::int64_t> suspended_at_{-1};
  std::recursive_mutex mutex_;
  std::int64_t sequence_ = 0;
  std::int64_t lease_until_ = 0;
  std::int64_t fence_ = 0;
  std::int64_t last_n_ = 0;
  std::int64_t remaining_until_ = -1;
  std::atomic<std::int64_t> next_beat_at_{0};
  std::map<std::string, Run> runs_;
  std::map<std::string, std::int64_t> sealed_;
  std::vector<End> ends_;
  Judge judge_;
  std::atomic<bool> closed_{false};
  std::unique_ptr<Server> server_;
  std::thread worker_;
  std::thread beater_;
};

/// One of the programs under test.
class Program {
 public:
  Program(std::string command, std::string node_file, std::string log);
  ~Program();
  void Start();
  void Signal(int signal);
  /// Kills the process and waits for its end.
  void Kill();
  /// True if the process has ended although nobody asked for that.
  bool HasEndedByItself();
  pid_t pid() const { return pid_; }

 private:
  std::string command_, node_file_, log_;
  pid_t pid_ = 0;
  bool expected_ = false;
};

/// A small deployment: one store, some edge machines, and side machines with a
/// runner each.
class Deployment {
 public:
  struct Options {
    int edges = 2;
    int sides = 2;
    std::int64_t cpu = 16000;
    std::vector<std::string> zones = {"za", "zb"};
  };
  explicit Deployment(const Options& options);
  ~Deployment();
  /// Starts all programs and waits until all edge machines are ready.
  bool Start();
  void WriteConfig(const json::array& routes);
  static json::object Route(const std::string& name, const std::string& prefix,
                            int priority, int max_attempts);
  std::string front(std::size_t i) const { return fronts_[i]; }
  bool IsReady(std::size_t i);
  std::string Work() const { return work_; }
  /// Starts a further runner beside the gate of a side machine.
  Runner* AddRunner(std::size_t side, const std::string& id);
  /// Starts a runner that has crashed again, as another kind.
  void Restart(std::size_t side, const Runner::Config& config);
  bool AnyEndedByItself();

  std::unique_ptr<Store> store;
  Ledger ledger;
  std::vector<std::unique_ptr<Runner>> runners;
  std::vector<std::unique_ptr<Program>> edges;
  std::vector<std::unique_ptr<Program>> sides;

 private:
  std::string WriteNodeFile(const std::string& name, const std::string& ip,
                            const std::string& zone, bool edge);
  std::string Ip(int kind, int i) const;
  Runner::Config MakeRunnerConfig(std::size_t side,
                                  const std::string& id) const;

  Options options_;
  std::string work_;
  int net_a_ = 0, net_b_ = 0;
  int port_ = 0;
  std::int64_t version_ = 0;
  std::vector<std::string> fronts_, readies_;
  std::vector<std::unique_ptr<Runner>> added_;
};

/// Starts a POST of a job.
std::unique_ptr<Call> Post(const std::string& front, const std::string& path,
                           const json::object& job, std::int64_t deadline_ms);
/// A step of a job.
json::object Step(int count, std::int64_t cpu, std::int64_t est_ms,
                  std::vector<int> after = {});
json::object Job(const std::string& spec, const json::array& steps);
std::string NewId();
/// True unless the environment variable TROUBLE is "0".
bool Trouble();

}  // namespace lab

#endif  // REVIEW_STANDINS_2_LAB_HPP_
