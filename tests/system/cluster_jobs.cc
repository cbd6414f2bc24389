#include <algorithm>
#include <set>
#include <sstream>
#include <utility>

#include "cluster.h"

namespace tarragon::system_test {
namespace {

std::string Text(const boost::json::object& object, const char* name) {
  const boost::json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_string()) return "";
  return value->get_string().c_str();
}

JobResult ResultOf(const std::string& key, const Reply& reply) {
  JobResult result;
  result.status = reply.status;
  result.key = key;
  result.body = reply.body;
  result.at = reply.at;
  boost::json::error_code error;
  const boost::json::value body = boost::json::parse(reply.body, error);
  if (error || !body.is_object()) return result;
  const boost::json::object& object = body.get_object();
  result.outcome = Text(object, "outcome");
  result.reason = Text(object, "reason");
  result.handle = Text(object, "handle");
  const boost::json::value* results = object.if_contains("results");
  if (results == nullptr) return result;
  for (const boost::json::value& text : results->as_array()) {
    result.results.emplace_back(text.as_string().c_str());
  }
  return result;
}

http::Request AskWitness(std::size_t min_starts, std::size_t min_ends) {
  http::Request request;
  request.path = "/witness";
  request.query["min_starts"] = std::to_string(min_starts);
  request.query["min_ends"] = std::to_string(min_ends);
  return request;
}

std::vector<WitnessedStart> StartsOf(std::size_t target, const Reply& reply) {
  if (reply.status != 200) FailTest("No witness: " + reply.error);
  std::vector<WitnessedStart> starts;
  const boost::json::value body = boost::json::parse(reply.body);
  for (const boost::json::value& item : body.at("starts").as_array()) {
    WitnessedStart start;
    start.key = item.at("key").as_string().c_str();
    start.task = static_cast<std::uint32_t>(
        std::stoul(item.at("task").as_string().c_str()));
    start.at_ms = item.at("at_ms").to_number<std::int64_t>();
    start.ended = item.at("ended").as_bool();
    start.target = target;
    starts.push_back(std::move(start));
  }
  return starts;
}

/// The lines "start KEY TASK AT_MS" of a target that has ended.
std::vector<WitnessedStart> LoggedStarts(std::size_t target,
                                         const std::string& log) {
  std::vector<WitnessedStart> starts;
  std::istringstream lines(log);
  std::string word;
  while (lines >> word) {
    if (word != "start") continue;
    WitnessedStart start;
    start.target = target;
    lines >> start.key >> start.task >> start.at_ms;
    starts.push_back(std::move(start));
  }
  return starts;
}

}  // namespace

std::string Cluster::Body(const std::vector<TaskText>& tasks,
                          std::uint32_t deadline_ms, const std::string& service,
                          const std::string& tenant) {
  boost::json::array list;
  for (const TaskText& task : tasks) {
    const boost::json::object payload{{"work_ms", task.work_ms},
                                      {"result", task.result}};
    list.push_back(
        boost::json::object{{"payload", boost::json::serialize(payload)}});
  }
  return boost::json::serialize(
      boost::json::object{{"service", service},
                          {"tenant", tenant},
                          {"deadline_ms", deadline_ms},
                          {"tasks", std::move(list)}});
}

void Cluster::Send(std::size_t entry, const std::string& key,
                   const std::string& body,
                   std::function<void(JobResult)> done) {
  http::Request request;
  request.method = "POST";
  request.path = "/v1/jobs";
  request.headers["idempotency-key"] = key;
  request.headers["content-type"] = "application/json";
  request.body = body;
  loop_.Send(entries_.at(entry).clients, request,
             [this, key, done = std::move(done)](const Reply& reply) {
               JobResult result = ResultOf(key, reply);
               Keep(result);
               done(std::move(result));
             });
}

std::future<JobResult> Cluster::Start(std::size_t entry, const std::string& key,
                                      const std::string& body) {
  const std::shared_ptr<std::promise<JobResult>> promise =
      std::make_shared<std::promise<JobResult>>();
  Send(entry, key, body,
       [promise](JobResult result) { promise->set_value(std::move(result)); });
  return promise->get_future();
}

JobResult Cluster::Submit(std::size_t entry, const std::string& key,
                          const std::string& body) {
  return Await(Start(entry, key, body), "the answer of " + key);
}

JobResult Cluster::Ask(std::size_t entry, const std::string& method,
                       const std::string& key, std::uint32_t wait_ms) {
  http::Request request;
  request.method = method;
  request.path = "/v1/jobs/" + key;
  if (wait_ms > 0) request.query["wait_ms"] = std::to_string(wait_ms);
  JobResult result =
      ResultOf(key, loop_.Call(entries_.at(entry).clients, request));
  Keep(result);
  return result;
}

void Cluster::Keep(const JobResult& result) {
  const std::lock_guard<std::mutex> lock(mutex_);
  answers_.push_back(result);
}

void Cluster::Expect(const std::string& key,
                     const std::vector<TaskText>& tasks) {
  const std::lock_guard<std::mutex> lock(mutex_);
  expected_[key] = tasks;
}

std::vector<WitnessedStart> Cluster::Witness(std::size_t target,
                                             std::size_t min_starts,
                                             std::size_t min_ends) {
  const Reply reply =
      loop_.Call(targets_.at(target).address, AskWitness(min_starts, min_ends));
  return StartsOf(target, reply);
}

std::vector<WitnessedStart> Cluster::FinalWitness(std::size_t target) {
  const ChildProcess& process = *targets_[target].process;
  if (process.running()) return Witness(target);
  return LoggedStarts(target, process.Log());
}

void Cluster::CheckAnswers() {
  std::map<std::string, std::multiset<std::uint32_t>> started;
  for (std::size_t i = 0; i < targets_.size(); ++i) {
    for (const WitnessedStart& start : FinalWitness(i)) {
      started[start.key].insert(start.task);
    }
  }
  for (const auto& [key, tasks] : started) {
    const std::set<std::uint32_t> different(tasks.begin(), tasks.end());
    if (different.size() != tasks.size()) FailTest("Started twice: " + key);
  }
  const std::lock_guard<std::mutex> lock(mutex_);
  std::map<std::string, bool> only_not_run;
  for (const JobResult& answer : answers_) {
    if (answer.reason == "key_reused" || answer.outcome.empty()) continue;
    const bool not_run = answer.outcome == "not_run";
    const auto known = only_not_run.try_emplace(answer.key, true).first;
    known->second = known->second && not_run;
    if (answer.outcome != "complete") {
      if (!answer.results.empty()) FailTest("Partial: " + answer.body);
      continue;
    }
    const auto expected = expected_.find(answer.key);
    if (expected == expected_.end()) continue;
    std::vector<std::string> results;
    for (const TaskText& task : expected->second) {
      results.push_back(task.result);
    }
    if (results != answer.results) FailTest("Other results: " + answer.body);
    if (started[answer.key].size() != results.size()) {
      FailTest("Complete, but not started once each: " + answer.body);
    }
  }
  for (const auto& [key, not_run] : only_not_run) {
    if (not_run && !started[key].empty()) {
      FailTest("Told not run, but started: " + key);
    }
  }
}

}  // namespace tarragon::system_test
