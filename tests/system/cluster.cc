#include "cluster.h"

#include <csignal>
#include <sstream>
#include <thread>
#include <utility>

#include "tarragon/core/clock.h"

namespace tarragon::system_test {
namespace {

constexpr char kToken[] = "system-test";
constexpr char kAuthorization[] = "Bearer system-test";
constexpr std::chrono::milliseconds kLookPause{10};

/// A port of the system's choice.
const std::string& Loopback() {
  static const std::string address("127.0.0.1:0");
  return address;
}

/// The setting `name` with `value`.
std::string Setting(const char* name, const std::string& value) {
  std::string text;
  text.append(name).append(1, '=').append(value);
  return text;
}

/// The value of KEY=VALUE in a line of such fields.
std::string Field(const std::string& line, const std::string& key) {
  std::istringstream words(line);
  for (std::string word; words >> word;) {
    if (word.starts_with(key + '=')) return word.substr(key.size() + 1);
  }
  FailTest("No " + key + " in: " + line);
}

std::vector<std::string> Joined(std::vector<std::string> texts,
                                const std::vector<std::string>& more) {
  texts.insert(texts.end(), more.begin(), more.end());
  return texts;
}

std::string AfterListening(const std::string& line) {
  return line.substr(std::string("listening ").size());
}

std::string FirstNote(const std::vector<std::string>& domains) {
  std::string text =
      "[add service carve]\nidempotent = false\nmax_run_ms = 20000\n"
      "[add tenant kaptafa]\nmax_running = 0\n"
      "[add tenant small]\nmax_running = 1\nmax_queued = 1\n";
  std::map<std::string, bool> seen;
  for (const std::string& domain : domains) {
    if (!std::exchange(seen[domain], true)) {
      text += "[add domain " + domain + "]\nregion = alfold\n";
    }
  }
  return text;
}

}  // namespace

Cluster::Cluster(ClusterOptions options) : options_(std::move(options)) {
  platform_ = std::make_unique<ChildProcess>(
      "platform_standin", std::vector<std::string>{"--listen", Loopback()});
  platform_address_ = AfterListening(platform_->FirstLine());
  for (std::size_t i = 0; i < options_.entries; ++i) StartEntry();
  for (const std::string& domain : options_.domains) StartAgent(domain);
  const Reply note = Note(0, "first", 0, FirstNote(options_.domains));
  if (note.status != 200) FailTest("The first note: " + note.body);
  for (std::size_t i = 0; i < entries_.size(); ++i) {
    AwaitEntry(i, agents_.size());
  }
  for (std::size_t i = 0; i < agents_.size(); ++i) AwaitAgent(i);
  AwaitTrue("an entry that vouches without the table", [this] {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
      if (VouchesWithoutTable(i)) return true;
    }
    return false;
  });
}

Cluster::~Cluster() {
  // The relays may be destroyed only when nothing runs in them any more.
  loop_.Stop();
}

std::vector<std::string> Cluster::WireSettings(const std::string& section) {
  if (!options_.relays) return {section + ".listen=127.0.0.1:0"};
  relays_.push_back(std::make_unique<CutProxy>(&loop_));
  const CutProxy& relay = *relays_.back();
  return {section + ".listen=" + relay.inner(),
          section + ".advertise=" + relay.address()};
}

std::vector<std::string> Cluster::Settings(std::vector<std::string> own) const {
  std::vector<std::string> arguments;
  for (const std::string& setting : options_.settings) own.push_back(setting);
  for (const std::string& setting : own) {
    arguments.emplace_back("--set");
    arguments.push_back(setting);
  }
  return arguments;
}

std::size_t Cluster::StartEntry() {
  const std::string domain =
      options_.domains[entries_.size() % options_.domains.size()];
  EntryProcess entry;
  entry.process = std::make_unique<ChildProcess>(
      "tarragon-entry",
      Settings(Joined(
          WireSettings("entry"),
          {Setting("clients.listen", Loopback()),
           Setting("operators.listen", Loopback()),
           Setting("entry.domain", domain), Setting("operators.token", kToken),
           Setting("platform.table", platform_address_),
           Setting("platform.timeout", "1s")})));
  const std::string line = entry.process->FirstLine();
  entry.node = Field(line, "node");
  entry.clients = Field(line, "clients");
  entry.operators = Field(line, "operators");
  entries_.push_back(std::move(entry));
  return entries_.size() - 1;
}

std::size_t Cluster::StartAgent(const std::string& domain) {
  std::string seeds;
  for (const EntryProcess& entry : entries_) {
    if (!entry.process->running()) continue;
    if (!seeds.empty()) seeds += ',';
    seeds += entry.node.substr(0, entry.node.find('~'));
  }
  AgentProcess agent;
  agent.domain = domain;
  agent.process = std::make_unique<ChildProcess>(
      "tarragon-agent",
      Settings(Joined(
          WireSettings("agent"),
          {Setting("agent.target_listen", Loopback()),
           Setting("agent.pages_listen", Loopback()),
           Setting("agent.entries", seeds), Setting("agent.domain", domain)})));
  const std::string line = agent.process->FirstLine();
  agent.node = Field(line, "node");
  agent.announce = Field(line, "target");
  agent.pages = Field(line, "pages");
  TargetProcess target;
  target.process = std::make_unique<ChildProcess>(
      "target_standin",
      std::vector<std::string>{"--listen", Loopback(), "--agent",
                               agent.announce, "--services", "carve", "--slots",
                               std::to_string(options_.slots), "--cores", "64",
                               "--memory-mb", "65536", "--log-starts"});
  target.address = AfterListening(target.process->FirstLine());
  agents_.push_back(std::move(agent));
  targets_.push_back(std::move(target));
  return agents_.size() - 1;
}

void Cluster::AwaitTrue(const std::string& what,
                        const std::function<bool()>& holds) {
  const core::SystemClock clock;
  const core::Time stop =
      clock.Now() + std::chrono::duration_cast<core::Duration>(kSafetyStop);
  while (!holds()) {
    if (clock.Now() > stop) FailTest("Waited in vain for " + what);
    std::this_thread::sleep_for(kLookPause);
  }
}

void Cluster::AwaitEntry(std::size_t i, std::size_t agents) {
  AwaitTrue("entry " + std::to_string(i), [this, i, agents] {
    if (loop_.Get(entries_[i].operators, "/readyz").status != 200) return false;
    const boost::json::object state = Operators(i, "/v1/state");
    std::size_t offering = 0;
    for (const boost::json::value& agent : state.at("agents").as_array()) {
      if (!agent.at("services").as_array().empty()) ++offering;
    }
    return offering >= agents && state.at("note_version").as_int64() > 0;
  });
}

void Cluster::AwaitAgent(std::size_t i) {
  AwaitTrue("agent " + std::to_string(i), [this, i] {
    return loop_.Get(agents_[i].pages, "/readyz").status == 200;
  });
}

std::string Cluster::Handle(std::size_t i) {
  http::Request request;
  request.path = "/v1/home";
  request.query["service"] = "carve";
  const Reply reply = loop_.Call(entries_[i].clients, request);
  if (reply.status != 200) FailTest("No handle: " + reply.body);
  return boost::json::parse(reply.body).at("handle").as_string().c_str();
}

std::string Cluster::NewKey(const std::string& handle) {
  const std::lock_guard<std::mutex> lock(mutex_);
  return handle + ".k" + std::to_string(++last_suffix_);
}

std::size_t Cluster::HomeOf(const std::string& key) const {
  for (std::size_t i = 0; i < agents_.size(); ++i) {
    if (key.starts_with(agents_[i].node + '~')) return i;
  }
  FailTest("No agent is the home of " + key);
}

Reply Cluster::Note(std::size_t entry, const std::string& id,
                    std::uint64_t base, const std::string& sections) {
  return Await(StartNote(entry, id, base, sections), "the note " + id);
}

std::future<Reply> Cluster::StartNote(std::size_t entry, const std::string& id,
                                      std::uint64_t base,
                                      const std::string& sections) {
  http::Request request;
  request.method = "POST";
  request.path = "/v1/notes";
  request.headers["authorization"] = kAuthorization;
  request.body = "[note]\nid = " + id + "\nbase = " + std::to_string(base) +
                 "\n" + sections;
  return loop_.Start(entries_.at(entry).operators, request);
}

Reply Cluster::RemoveEntry(std::size_t at, std::size_t dead) {
  http::Request request;
  request.method = "DELETE";
  request.path = "/v1/entries/" + entries_.at(dead).node;
  request.headers["authorization"] = kAuthorization;
  return loop_.Call(entries_.at(at).operators, request);
}

boost::json::object Cluster::Operators(std::size_t entry,
                                       const std::string& path) {
  http::Request request;
  request.path = path;
  request.headers["authorization"] = kAuthorization;
  const Reply reply = loop_.Call(entries_.at(entry).operators, request);
  if (reply.status != 200) FailTest(path + ": " + reply.error + reply.body);
  return boost::json::parse(reply.body).as_object();
}

bool Cluster::VouchesWithoutTable(std::size_t entry) {
  const boost::json::object state = Operators(entry, "/v1/state");
  return state.at("entries").at("vouches_without_table").as_bool();
}

std::uint64_t Cluster::NoteVersion(std::size_t entry) {
  return Operators(entry, "/v1/note").at("version").to_number<std::uint64_t>();
}

std::string Cluster::Logs() const {
  std::string text;
  for (const EntryProcess& entry : entries_) {
    text += "\n--- entry " + entry.node + "\n" + entry.process->LogTail();
  }
  for (const AgentProcess& agent : agents_) {
    text += "\n--- agent " + agent.node + "\n" + agent.process->LogTail();
  }
  return text;
}

void Cluster::KillTarget(std::size_t target) {
  ChildProcess& process = *targets_.at(target).process;
  process.Signal(SIGKILL);
  process.WaitEnd();
}

void Cluster::Hold(std::size_t target) {
  loop_.Post(targets_.at(target).address, "/hold", R"({"on":true})");
}

void Cluster::Release(std::size_t target) {
  loop_.Post(targets_.at(target).address, "/release", "{}");
}

void Cluster::PlatformFault(const std::string& body) {
  const Reply reply = loop_.Post(platform_address_, "/fault", body);
  if (reply.status != 200) FailTest("The fault was not set.");
}

double Cluster::Metric(const std::string& address, const std::string& line) {
  const std::string prefix = "tarragon_" + line + ' ';
  std::istringstream lines(loop_.Get(address, "/metrics").body);
  for (std::string text; std::getline(lines, text);) {
    if (text.starts_with(prefix)) return std::stod(text.substr(prefix.size()));
  }
  return 0;
}

void Cluster::AwaitMetric(const std::string& address, const std::string& line,
                          double least) {
  AwaitTrue(line + " of " + address,
            [&] { return Metric(address, line) >= least; });
}

}  // namespace tarragon::system_test
