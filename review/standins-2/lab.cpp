#include "lab.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <boost/json/src.hpp>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <random>
#include <sstream>

namespace lab {
namespace {

using Steady = std::chrono::steady_clock;

/// A runner repeats a heartbeat that was not acknowledged after this time.
constexpr std::int64_t kBeatRetryMs = 100;
const Steady::time_point kBegin = Steady::now();

std::string ToBase64(const std::string& bytes) {
  static const char kAlphabet[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t j = 0; j < 3; ++j) {
      group = group << 8 |
              (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j])
                                    : 0U);
    }
    for (std::size_t j = 0; j < 4; ++j) {
      text +=
          i + j > bytes.size() ? '=' : kAlphabet[group >> (18 - 6 * j) & 63];
    }
  }
  return text;
}

std::string Unescape(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '%' && i + 2 < text.size()) {
      out += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
      i += 2;
    } else {
      out += text[i];
    }
  }
  return out;
}

std::string Lower(std::string text) {
  for (char& c : text) c = static_cast<char>(std::tolower(c));
  return text;
}

sockaddr_in Address(const std::string& ip, int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
  return address;
}

bool SendAll(int fd, const std::string& bytes) {
  std::size_t sent = 0;
  while (sent < bytes.size()) {
    const ssize_t n =
        send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) return false;
    sent += static_cast<std::size_t>(n);
  }
  return true;
}

void ResetSocket(int fd) {
  linger hard{1, 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard);
}

/// Reads a message: its first line, headers and body. False at the end.
bool ReadMessage(int fd, std::string* buffer, std::int64_t deadline,
                 std::string* first,
                 std::map<std::string, std::string>* headers,
                 std::string* body) {
  const auto more = [&]() {
    pollfd wait{fd, POLLIN, 0};
    const std::int64_t left = deadline < 0 ? -1 : deadline - NowMs();
    if (deadline >= 0 && left <= 0) return false;
    if (poll(&wait, 1, static_cast<int>(left)) <= 0) return false;
    char bytes[8192];
    const ssize_t n = recv(fd, bytes, sizeof bytes, 0);
    if (n <= 0) return false;
    buffer->append(bytes, static_cast<std::size_t>(n));
    return true;
  };
  std::size_t end;
  while ((end = buffer->find("\r\n\r\n")) == std::string::npos) {
    if (!more()) return false;
  }
  std::istringstream head(buffer->substr(0, end));
  std::getline(head, *first);
  if (!first->empty() && first->back() == '\r') first->pop_back();
  std::string line;
  headers->clear();
  while (std::getline(head, line)) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    const std::size_t colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::size_t value = colon + 1;
    while (value < line.size() && line[value] == ' ') ++value;
    (*headers)[Lower(line.substr(0, colon))] = line.substr(value);
  }
  const auto length = headers->find("content-length");
  const std::size_t size =
      length == headers->end() ? 0 : std::stoul(length->second);
  while (buffer->size() < end + 4 + size) {
    if (!more()) return false;
  }
  *body = buffer->substr(end + 4, size);
  buffer->erase(0, end + 4 + size);
  return true;
}

}  // namespace

std::int64_t NowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Steady::now() -
                                                               kBegin)
      .count();
}

void SleepMs(std::int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

Record& Log() {
  static Record record;
  return record;
}

void Record::Add(const std::string& line) {
  char time[32];
  std::snprintf(time, sizeof time, "%8.3f ",
                static_cast<double>(NowMs()) / 1000);
  const std::lock_guard<std::mutex> lock(mutex_);
  lines_.push_back(time + line);
}

void Record::Save(const std::string& path) {
  const std::lock_guard<std::mutex> lock(mutex_);
  std::ofstream out(path);
  for (const std::string& line : lines_) out << line << "\n";
}

Server::Server(const std::string& ip, int port, Handler handler)
    : ip_(ip), handler_(std::move(handler)) {
  listener_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  sockaddr_in address = Address(ip, port);
  if (bind(listener_, reinterpret_cast<sockaddr*>(&address), sizeof address) !=
          0 ||
      listen(listener_, 128) != 0) {
    std::fprintf(stderr, "cannot listen\n");
    std::exit(2);
  }
  socklen_t size = sizeof address;
  getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &size);
  port_ = ntohs(address.sin_port);
  acceptor_ = std::thread([this]() { Accept(); });
}

Server::~Server() {
  closed_ = true;
  shutdown(listener_, SHUT_RDWR);
  acceptor_.join();
  close(listener_);
  ResetAll();
  for (std::thread& thread : threads_) thread.join();
}

void Server::ResetAll() {
  const std::lock_guard<std::mutex> lock(mutex_);
  for (const int fd : open_) {
    ResetSocket(fd);
    shutdown(fd, SHUT_RDWR);
  }
}

void Server::Accept() {
  while (!closed_) {
    const int fd = accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
    if (fd < 0) {
      if (closed_) return;
      SleepMs(1);
      continue;
    }
    const int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const std::lock_guard<std::mutex> lock(mutex_);
    open_.push_back(fd);
    threads_.emplace_back([this, fd]() { Serve(fd); });
  }
}

void Server::Serve(int fd) {
  std::string buffer, first, body;
  std::map<std::string, std::string> headers;
  while (!closed_ && ReadMessage(fd, &buffer, -1, &first, &headers, &body)) {
    Request request;
    std::istringstream line(first);
    std::string target;
    line >> request.method >> target;
    const std::size_t mark = target.find('?');
    request.path = Unescape(target.substr(0, mark));
    if (mark != std::string::npos) {
      std::istringstream fields(target.substr(mark + 1));
      std::string field;
      while (std::getline(fields, field, '&')) {
        const std::size_t equals = field.find('=');
        request.query[Unescape(field.substr(0, equals))] =
            equals == std::string::npos ? ""
                                        : Unescape(field.substr(equals + 1));
      }
    }
    request.headers = headers;
    request.body = body;
    const Response response = handler_(request);
    if (response.status == 0) {
      // Nothing more comes on this connection.
      char byte;
      while (!closed_ && recv(fd, &byte, 1, 0) > 0) {
      }
      break;
    }
    if (response.status < 0) {
      ResetSocket(fd);
      break;
    }
    const std::string text =
        "HTTP/1.1 " + std::to_string(response.status) +
        " X\r\nContent-Type: application/json\r\nContent-Length: " +
        std::to_string(response.body.size()) + "\r\n\r\n" + response.body;
    if (!SendAll(fd, text)) break;
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  open_.erase(std::find(open_.begin(), open_.end(), fd));
  close(fd);
}

Call::Call(const std::string& address, const std::string& method,
           const std::string& path,
           const std::map<std::string, std::string>& headers,
           const std::string& body) {
  const std::size_t colon = address.find(':');
  fd_ = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in to =
      Address(address.substr(0, colon), std::stoi(address.substr(colon + 1)));
  if (connect(fd_, reinterpret_cast<sockaddr*>(&to), sizeof to) != 0) {
    close(fd_);
    fd_ = -1;
    return;
  }
  const int on = 1;
  setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  std::string text = method + " " + path + " HTTP/1.1\r\n";
  if (!headers.contains("Host")) text += "Host: " + address + "\r\n";
  for (const auto& [name, value] : headers)
    text += name + ": " + value + "\r\n";
  if (!body.empty()) text += "Content-Type: application/json\r\n";
  text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  if (!SendAll(fd_, text)) Reset();
}

Call::~Call() {
  if (fd_ >= 0) close(fd_);
}

Response Call::Wait(std::int64_t timeout_ms) {
  Response response{0, ""};
  if (fd_ < 0) return response;
  std::string buffer, first, body;
  std::map<std::string, std::string> headers;
  if (!ReadMessage(fd_, &buffer, NowMs() + timeout_ms, &first, &headers, &body))
    return response;
  response.status = std::atoi(first.substr(first.find(' ') + 1).c_str());
  response.body = body;
  return response;
}

void Call::SendMore(const std::string& bytes) {
  if (fd_ >= 0) SendAll(fd_, bytes);
}

void Call::Reset() {
  if (fd_ < 0) return;
  ResetSocket(fd_);
  close(fd_);
  fd_ = -1;
}

Store::Store(const std::string& ip) {
  server_ = std::make_unique<Server>(
      ip, 0, [this](const Request& request) { return Handle(request); });
}

void Store::Set(const std::string& table, const std::string& key,
                const std::string& value64, bool deleted) {
  if (deleted) {
    tables_[table].erase(key);
  } else {
    tables_[table][key] = {value64, ver_};
  }
  changes_.push_back({ver_, table, key, deleted, value64});
}

void Store::Put(const std::string& table, const std::string& key,
                const std::string& value) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++ver_;
  Set(table, key, ToBase64(value), false);
  changed_.notify_all();
}

void Store::Remove(const std::string& table, const std::string& key) {
  const std::lock_guard<std::mutex> lock(mutex_);
  ++ver_;
  Set(table, key, "", true);
  changed_.notify_all();
}

Response Store::Handle(const Request& request) {
  const auto parameter = [&request](const char* name) {
    const auto found = request.query.find(name);
    return found == request.query.end() ? std::string() : found->second;
  };
  std::unique_lock<std::mutex> lock(mutex_);
  json::object answer;
  json::array rows;
  if (request.path == "/v1/rows-tx") {
    const json::object body = json::parse(request.body).as_object();
    for (const json::value& each : body.at("expected_rev").as_array()) {
      const json::object& row = each.as_object();
      const auto& table = tables_[std::string(row.at("table").as_string())];
      const auto found = table.find(std::string(row.at("key").as_string()));
      const std::uint64_t ver = found == table.end() ? 0 : found->second.second;
      if (ver != row.at("ver").to_number<std::uint64_t>()) {
        return {412, R"({"rows":[]})"};
      }
    }
    ++ver_;
    for (const json::value& each : body.at("set_keys").as_array()) {
      const json::object& row = each.as_object();
      const std::string table(row.at("table").as_string());
      if (table == "op" || table == "servers") return {403, "{}"};
      Set(table, std::string(row.at("key").as_string()),
          std::string(row.at("value").as_string()), false);
    }
    changed_.notify_all();
  } else if (request.path == "/v1/rows-get") {
    const std::string table = parameter("table");
    const std::string limit = parameter("limit");
    const std::size_t most = limit.empty() ? 500 : std::stoul(limit);
    bool more = false;
    for (const auto& [key, row] : tables_[table]) {
      if (key < parameter("from")) continue;
      if (rows.size() == most) {
        more = true;
        break;
      }
      rows.push_back(json::object{{"table", table},
                                  {"part", ""},
                                  {"key", key},
                                  {"value", row.first},
                                  {"ver", row.second}});
    }
    answer["rows"] = rows;
    answer["has_more"] = more;
  } else if (request.path == "/v1/rows-feed") {
    const std::string table = parameter("table");
    const std::uint64_t after = std::stoull(parameter("after"));
    const auto until = Steady::now() + std::chrono::milliseconds(
                                           std::stoll(parameter("wait_ms")));
    while (true) {
      for (const Change& change : changes_) {
        if (change.ver <= after || change.table != table) continue;
        json::object row{{"table", table},
                         {"part", ""},
                         {"key", change.key},
                         {"ver", change.ver}};
        if (change.deleted) {
          row["deleted"] = true;
        } else {
          row["value"] = change.value64;
        }
        rows.push_back(row);
      }
      if (!rows.empty()) break;
      if (changed_.wait_until(lock, until) == std::cv_status::timeout) break;
    }
    answer["rows"] = rows;
  } else {
    return {404, "{}"};
  }
  answer["ver"] = ver_;
  answer["now_ms"] = NowMs();
  const std::string body = json::serialize(answer);
  lock.unlock();
  SleepMs(answer_ms_);
  return {200, body};
}

void Ledger::Add(const RunEvent& event) {
  Log().Add("runner " + event.runner + ": " + event.task + " run " +
            std::to_string(event.run) + " " + event.what);
  const std::lock_guard<std::mutex> lock(mutex_);
  events_.push_back(event);
}

std::vector<RunEvent> Ledger::events() {
  const std::lock_guard<std::mutex> lock(mutex_);
  return events_;
}

Runner::Runner(Config config, Ledger* ledger)
    : config_(std::move(config)),
      ledger_(ledger),
      born_at_(NowMs()),
      born_(std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::system_clock::now().time_since_epoch())
                .count()) {
  server_ = std::make_unique<Server>(
      config_.ip, config_.port,
      [this](const Request& request) { return Handle(request); });
  config_.port = server_->port();
  next_beat_at_ = NowMs() + config_.first_beat_ms;
  worker_ = std::thread([this]() { Work(); });
  beater_ = std::thread([this]() {
    while (!closed_) {
      SleepMs(5);
      if (NowMs() >= next_beat_at_) Beat();
    }
  });
}

Runner::~Runner() { Finish(); }

void Runner::Finish() {
  if (closed_.exchange(true)) return;
  worker_.join();
  beater_.join();
  server_.reset();
}

void Runner::Leave() {
  Call call(config_.control, "POST",
            "/v1/instances/" + config_.id + "/deregister", {}, "{}");
  const Response answer = call.Wait(1000);
  Log().Add("runner " + config_.id + " deregisters (" +
            std::to_string(answer.status) + ") and ends");
  Finish();
}

void Runner::Crash() {
  {
    const std::lock_guard<std::recursive_mutex> lock(mutex_);
    while (!runs_.empty()) EndRun(runs_.begin()->first, "crashed");
  }
  Log().Add("runner " + config_.id + " crashes");
  Finish();
}

void Runner::SetJudge(Judge judge) {
  const std::lock_guard<std::recursive_mutex> lock(mutex_);
  judge_ = std::move(judge);
}

void Runner::SetDraining(std::int64_t remaining_ms) {
  {
    const std::lock_guard<std::recursive_mutex> lock(mutex_);
    remaining_until_ = NowMs() + remaining_ms;
  }
  next_beat_at_ = 0;
}

std::int64_t Runner::AwakeMs() const {
  const std::int64_t at = suspended_at_;
  return (at >= 0 ? at : NowMs()) - suspended_ms_;
}

void Runner::AwaitAwake() const {
  while (suspended_at_ >= 0 && !closed_) SleepMs(1);
}

void Runner::Suspend() { suspended_at_ = NowMs(); }

void Runner::Resume() {
  // An observer between the two steps sees the clock stand still or, for a
  // moment, back; it never sees it ahead.
  const std::lock_guard<std::recursive_mutex> lock(mutex_);
  suspended_ms_ += NowMs() - suspended_at_;
  suspended_at_ = -1;
}

std::size_t Runner::running() {
  const std::lock_guard<std::recursive_mutex> lock(mutex_);
  return runs_.size();
}

void Runner::Beat() {
  AwaitAwake();
  json::object body;
  {
    const std::lock_guard<std::recursive_mutex> lock(mutex_);
    json::array labels;
    for (const std::string& label : config_.labels) labels.emplace_back(label);
    body = {{"service", config_.service},
            {"address", config_.ip + ":" + std::to_string(config_.port)},
            {"zone", config_.zone},
            {"version", "v1"},
            {"slots", 8},
            {"state", remaining_until_ >= 0 ? "draining" : "ready"},
            {"cold_remaining_ms", 0},
            {"capacity",
             {{"cpu", config_.cpu}, {"mem_mb", config_.mem_mb}, {"gpu", 0}}},
            {"labels", labels},
            {"clock_ms", Clock()},
            {"born", born_},
            {"sequence", ++sequence_}};
    if (remaining_until_ >= 0) {
      body["remaining_ms"] =
          std::max<std::int64_t>(remaining_until_ - NowMs(), 0);
    }
  }
  Call call(config_.control, "POST",
            "/v1/instances/" + config_.id + "/heartbeat", {},
            json::serialize(body));
  const Response answer = call.Wait(1000);
  if (remaining_until_ >= 0) {
    Log().Add("runner " + config_.id + ": heartbeat draining answered " +
              std::to_string(answer.status));
  }
  next_beat_at_ = NowMs() + (answer.status / 100 == 2 ? config_.heartbeat_ms
                                                      : kBeatRetryMs);
}

void Runner::Work() {
  while (!closed_) {
    SleepMs(2);
    const std::lock_guard<std::recursive_mutex> lock(mutex_);
    Expire();
  }
}

void Runner::Expire() {
  if (suspended_at_ >= 0) return;
  const std::int64_t now = AwakeMs();
  const bool lapsed = Clock() > lease_until_;
  std::vector<std::pair<std::string, std::string>> over;
  for (const auto& [task, run] : runs_) {
    if (now >= run.ends) {
      over.emplace_back(task, "done");
    } else if (run.stops_at >= 0 && now >= run.stops_at) {
      over.emplace_back(task, "stopped");
    } else if (lapsed) {
      over.emplace_back(task, "lapsed");
    }
  }
  for (const auto& [task, how] : over) EndRun(task, how);
}

void Runner::EndRun(const std::string& task, const std::string& how) {
  const Run run = runs_.at(task);
  runs_.erase(task);
  ends_.push_back({++last_n_, task, run.number, how});
  sealed_[task] = std::max(sealed_[task], run.number);
  ledger_->Add({NowMs(), config_.id, task, run.number, how});
}

Response Runner::Say(int status, const std::string& reason) {
  json::object body{{"clock_ms", Clock()}};
  if (!reason.empty()) body["reason"] = reason;
  return {status, json::serialize(body)};
}

Response Runner::Handle(const Request& request) {
  AwaitAwake();
  if (request.path == "/health") return {200, "{}"};
  const auto expected = request.headers.find("x-expect-instance");
  if (expected != request.headers.end() && expected->second != config_.id) {
    return Say(421, "");
  }
  const json::object body = json::parse(request.body).as_object();
  if (request.path == "/v1/hold") return Hold(body);
  Fate fate;
  {
    const std::lock_guard<std::recursive_mutex> lock(mutex_);
    if (judge_) fate = judge_(request.path, body);
  }
  if (fate.carry_out_after_ms < 0) return {0, ""};
  if (fate.carry_out_after_ms > 0) {
    SleepMs(fate.carry_out_after_ms);
    if (closed_) return {0, ""};
  }
  const Response response = CarryOut(request.path, body);
  if (!fate.answered) {
    Log().Add("runner " + config_.id + ": carried out late " + request.path +
              " " + request.body + " -> " + std::to_string(response.status) +
              " " + response.body + " (not sent)");
    return {0, ""};
  }
  return response;
}

Response Runner::CarryOut(const std::string& path, const json::object& body) {
  const std::lock_guard<std::recursive_mutex> lock(mutex_);
  Expire();
  const json::value* fence = body.if_contains("fence");
  const std::int64_t value =
      fence == nullptr ? 0 : fence->to_number<std::int64_t>();
  if (value < fence_) return Say(409, "fence");
  fence_ = value;
  if (path == "/v1/run-start") return Start(body);
  if (path == "/v1/run-stop") return Stop(body);
  return Say(404, "");
}

Response Runner::Start(const json::object& body) {
  const std::string task(body.at("task").as_string());
  const std::int64_t number = body.at("run").to_number<std::int64_t>();
  const std::int64_t until = body.at("until_ms").to_number<std::int64_t>();
  const auto known = runs_.find(task);
  if (known != runs_.end() && known->second.number == number) {
    return Say(200, "");
  }
  const std::int64_t lease = std::min(until, Clock() + 1000);
  const auto sealed = sealed_.find(task);
  if ((sealed != sealed_.end() && number <= sealed->second) ||
      known != runs_.end()) {
    lease_until_ = std::max(lease_until_, lease);
    return Say(409, "old");
  }
  if (until < Clock()) return Say(409, "late");
  lease_until_ = std::max(lease_until_, lease);
  const std::string spec(body.at("spec").as_string());
  const std::size_t at = spec.find("ms=");
  const std::int64_t ms =
      at == std::string::npos ? 60 : std::atoll(spec.c_str() + at + 3);
  Run run;
  run.number = number;
  run.started = AwakeMs();
  run.ends = run.started + ms;
  runs_[task] = run;
  ledger_->Add({NowMs(), config_.id, task, number, "start"});
  return Say(200, "");
}

Response Runner::Stop(const json::object& body) {
  const std::string task(body.at("task").as_string());
  const std::int64_t number = body.at("run").to_number<std::int64_t>();
  const auto known = runs_.find(task);
  if (known != runs_.end() && known->second.number <= number &&
      known->second.stops_at < 0) {
    known->second.stops_at = AwakeMs() + config_.stop_ms;
  }
  sealed_[task] = std::max(sealed_[task], number);
  return Say(200, "");
}

Response Runner::Hold(const json::object& body) {
  const std::int64_t last = body.at("last_seen").to_number<std::int64_t>();
  std::int64_t wait = 0;
  if (const json::value* each = body.if_contains("wait_ms")) {
    wait = each->to_number<std::int64_t>();
  }
  const std::int64_t until = AwakeMs() + wait;
  {
    const std::lock_guard<std::recursive_mutex> lock(mutex_);
    Expire();
    if (const json::value* each = body.if_contains("until_ms")) {
      lease_until_ =
          std::max(lease_until_,
                   std::min(each->to_number<std::int64_t>(), Clock() + 1000));
    }
    std::erase_if(ends_, [last](const End& end) { return end.n <= last; });
  }
  while (true) {
    {
      const std::lock_guard<std::recursive_mutex> lock(mutex_);
      Expire();
      if (!ends_.empty() || AwakeMs() >= until || closed_) break;
    }
    SleepMs(2);
  }
  AwaitAwake();
  const std::lock_guard<std::recursive_mutex> lock(mutex_);
  json::array running, finished;
  for (const auto& [task, run] : runs_) {
    const std::int64_t percent =
        100 * (AwakeMs() - run.started) /
        std::max<std::int64_t>(run.ends - run.started, 1);
    running.push_back(json::array{task, run.number, "",
                                  std::min<std::int64_t>(percent, 99), 1600});
  }
  for (const End& end : ends_) {
    finished.push_back(json::array{end.n, end.task, end.run, end.how, ""});
  }
  return {200, json::serialize(json::object{{"clock_ms", Clock()},
                                            {"born", born_},
                                            {"running", running},
                                            {"finished", finished}})};
}

Program::Program(std::string command, std::string node_file, std::string log)
    : command_(std::move(command)),
      node_file_(std::move(node_file)),
      log_(std::move(log)) {}

Program::~Program() { Kill(); }

void Program::Start() {
  expected_ = false;
  const pid_t parent = getpid();
  pid_ = fork();
  if (pid_ != 0) return;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (getppid() != parent) _exit(127);
  const int log = open(log_.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
  dup2(log, STDOUT_FILENO);
  dup2(log, STDERR_FILENO);
  close_range(STDERR_FILENO + 1, ~0U, 0);
  setenv("TARRAGONROUTER_NODE_FILE", node_file_.c_str(), 1);
  execl(command_.c_str(), command_.c_str(), nullptr);
  _exit(127);
}

void Program::Signal(int signal) {
  if (pid_ <= 0) return;
  if (signal == SIGKILL || signal == SIGTERM) expected_ = true;
  kill(pid_, signal);
}

void Program::Kill() {
  if (pid_ <= 0) return;
  Signal(SIGKILL);
  waitpid(pid_, nullptr, 0);
  pid_ = 0;
}

bool Program::HasEndedByItself() {
  if (pid_ <= 0) return false;
  if (waitpid(pid_, nullptr, WNOHANG) != pid_) return false;
  pid_ = 0;
  return !expected_;
}

std::string Deployment::Ip(int kind, int i) const {
  return "127." + std::to_string(net_a_) + "." + std::to_string(net_b_) + "." +
         std::to_string(kind * 60 + i + 1);
}

Deployment::Deployment(const Options& options) : options_(options) {
  std::random_device random;
  net_a_ = 20 + static_cast<int>(random() % 200);
  net_b_ = static_cast<int>(random() % 250);
  port_ = 21000 + static_cast<int>(random() % 9000);
  char folder[] = "/tmp/review-2-XXXXXX";
  work_ = mkdtemp(folder);
  store = std::make_unique<Store>(Ip(0, 0));
  WriteConfig({Route("r-quick", "/quick/", 0, 2)});
  for (int i = 0; i < options_.edges; ++i) {
    const std::string name = "edge-" + std::to_string(i);
    edges.push_back(std::make_unique<Program>(
        "target/bin/tarragon-coordinator",
        WriteNodeFile(
            name, Ip(1, i),
            options_.zones[static_cast<std::size_t>(i) % options_.zones.size()],
            true),
        work_ + "/" + name + ".log"));
  }
  for (int i = 0; i < options_.sides; ++i) {
    const std::string name = "side-" + std::to_string(i);
    sides.push_back(std::make_unique<Program>(
        "target/bin/tarragon-gate",
        WriteNodeFile(
            name, Ip(2, i),
            options_.zones[static_cast<std::size_t>(i) % options_.zones.size()],
            false),
        work_ + "/" + name + ".log"));
  }
}

Deployment::~Deployment() {
  added_.clear();
  runners.clear();
  edges.clear();
  sides.clear();
  if (std::getenv("KEEP") == nullptr) {
    const std::string command = "rm -rf " + work_;
    if (std::system(command.c_str()) != 0)
      std::fprintf(stderr, "not removed\n");
  } else {
    std::printf("logs: %s\n", work_.c_str());
  }
}

json::object Deployment::Route(const std::string& name,
                               const std::string& prefix, int priority,
                               int max_attempts) {
  return {{"name", name},
          {"host", "desk.example"},
          {"path_prefix", prefix},
          {"type", "non_idempotent"},
          {"timeout_ms", 1500},
          {"target_latency_ms", 60},
          {"priority", priority},
          {"service", "svc"},
          {"max_attempts", max_attempts},
          {"stretch", 1.6}};
}

void Deployment::WriteConfig(const json::array& routes) {
  store->Put(
      "op", "config",
      json::serialize(json::object{
          {"version", ++version_},
          {"routes", routes},
          {"services", json::array{json::object{{"name", "svc"},
                                                {"health_path", "/health"},
                                                {"max_conns", 64},
                                                {"protocol", "h1"},
                                                {"tls", false},
                                                {"admission_check", false},
                                                {"standby", false}}}},
          {"limits",
           {{"max_header_bytes", 16384}, {"max_body_bytes", 262144}}}}));
}

std::string Deployment::WriteNodeFile(const std::string& name,
                                      const std::string& ip,
                                      const std::string& zone, bool edge) {
  json::object listen;
  const auto at = [&ip, this](int offset) {
    return ip + ":" + std::to_string(port_ + offset);
  };
  if (edge) {
    listen["front"] = at(1);
    listen["ready"] = at(7);
    fronts_.push_back(at(1));
    readies_.push_back(at(7));
  } else {
    listen["control"] = at(6);
  }
  json::object zones;
  for (const std::string& each : options_.zones) zones[each] = "r";
  const json::object node{
      {"node_name", name},
      {"machine_class", edge ? "edge" : "side"},
      {"ip", ip},
      {"zone", zone},
      {"region", "r"},
      {"zones", zones},
      {"listen_addrs", listen},
      {"internal_ports", json::array{port_ + 10, port_ + 25}},
      {"seeds", json::array()},
      {"bootstrap", true},
      {"discovery", "local"},
      {"entry", "vip"},
      {"heartbeat_ms", 1500},
      {"bounds",
       {{"contact_ms", 3000},
        {"ack_ms", 4000},
        {"drain_ms", 2000},
        {"grace_s", 6},
        {"config_apply_ms", 2000},
        {"evacuate_ms", 5000},
        {"max_hold_ms", 1000},
        {"stop_timeout_ms", 50},
        {"cancel_ms", 3000},
        {"spread_factor", 1.5},
        {"retransmit_ms", 1300}}},
      {"orders", "rpc"},
      {"service", "svc"},
      {"platform",
       {{"address", store->address()},
        {"form", "table"},
        {"writes_per_s", 800},
        {"reads_per_s", 2000},
        {"row_bytes", 65536}}}};
  const std::string path = work_ + "/" + name + ".json";
  std::ofstream(path) << json::serialize(node);
  return path;
}

bool Deployment::IsReady(std::size_t i) {
  Call call(readies_[i], "GET", "/v1/ready", {}, "");
  return call.Wait(500).status == 200;
}

Runner::Config Deployment::MakeRunnerConfig(std::size_t side,
                                            const std::string& id) const {
  const int i = static_cast<int>(side);
  Runner::Config config;
  config.id = id;
  config.ip = Ip(2, i);
  config.control = config.ip + ":" + std::to_string(port_ + 6);
  config.zone = options_.zones[side % options_.zones.size()];
  config.cpu = options_.cpu;
  config.labels = {"a", "r1-" + std::to_string(i / 3)};
  return config;
}

Runner* Deployment::AddRunner(std::size_t side, const std::string& id) {
  added_.push_back(
      std::make_unique<Runner>(MakeRunnerConfig(side, id), &ledger));
  return added_.back().get();
}

void Deployment::Restart(std::size_t side, const Runner::Config& config) {
  runners[side] = std::make_unique<Runner>(config, &ledger);
  std::string labels;
  for (const std::string& label : config.labels) labels += " " + label;
  Log().Add("runner " + config.id + " is back, labels" + labels +
            ", capacity " + std::to_string(config.cpu));
}

bool Deployment::Start() {
  for (auto& each : edges) each->Start();
  for (auto& each : sides) each->Start();
  SleepMs(300);
  for (int i = 0; i < options_.sides; ++i) {
    runners.push_back(std::make_unique<Runner>(
        MakeRunnerConfig(static_cast<std::size_t>(i), "i-" + std::to_string(i)),
        &ledger));
  }
  const std::int64_t until = NowMs() + 10000;
  std::size_t ready = 0;
  while (NowMs() < until && ready < edges.size()) {
    SleepMs(100);
    ready = 0;
    for (std::size_t i = 0; i < edges.size(); ++i) ready += IsReady(i) ? 1 : 0;
  }
  // All machines are in touch 3 s after their start.
  SleepMs(3000);
  return ready == edges.size();
}

bool Deployment::AnyEndedByItself() {
  bool any = false;
  for (auto& each : edges) any = each->HasEndedByItself() || any;
  for (auto& each : sides) any = each->HasEndedByItself() || any;
  return any;
}

std::unique_ptr<Call> Post(const std::string& front, const std::string& path,
                           const json::object& job, std::int64_t deadline_ms) {
  return std::make_unique<Call>(
      front, "POST", path,
      std::map<std::string, std::string>{
          {"Host", "desk.example"},
          {"X-Deadline-Ms", std::to_string(deadline_ms)}},
      json::serialize(job));
}

json::object Step(int count, std::int64_t cpu, std::int64_t est_ms,
                  std::vector<int> after) {
  json::object step{{"count", count},
                    {"cpu", cpu},
                    {"mem_mb", 64},
                    {"est_runtime_ms", est_ms}};
  if (!after.empty()) {
    json::array list;
    for (const int each : after) list.push_back(each);
    step["after"] = list;
  }
  return step;
}

json::object Job(const std::string& spec, const json::array& steps) {
  return {{"spec", spec}, {"best_effort", true}, {"steps", steps}};
}

// Called from one thread only.
std::string NewId() {
  static std::mt19937_64 random{std::random_device{}()};
  char id[17];
  std::snprintf(id, sizeof id, "%016llx",
                static_cast<unsigned long long>(random()));
  return id;
}

bool Trouble() {
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

}  // namespace lab
