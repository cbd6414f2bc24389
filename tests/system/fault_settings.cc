#include "fault_settings.h"

#include <csignal>

#include "tarragon/core/clock.h"

namespace tarragon::system_test {

ClusterOptions FastOptions() {
  ClusterOptions options;
  options.slots = 4;
  options.settings = {"policy.heartbeat_interval=100ms",
                      "policy.poll_interval=50ms",
                      "policy.ping_interval=50ms",
                      "policy.freshness=1s",
                      "policy.member_timeout=1s",
                      "policy.seal_after=200ms",
                      "policy.gone_after=1s",
                      "policy.home_timeout=1s",
                      "policy.entry_timeout=2s",
                      "policy.target_timeout=5s"};
  return options;
}

std::vector<TaskText> EightTasks() {
  std::vector<TaskText> tasks;
  tasks.reserve(8);
  for (int i = 0; i < 8; ++i) tasks.push_back({0, "last " + std::to_string(i)});
  return tasks;
}

std::future<JobResult> StartHeld(Cluster* cluster, const std::string& key,
                                 const std::vector<TaskText>& tasks) {
  std::vector<std::size_t> before;
  for (std::size_t i = 0; i < cluster->agents(); ++i) {
    cluster->Hold(i);
    before.push_back(cluster->Witness(i).size());
  }
  std::future<JobResult> answer = cluster->Start(0, key, Cluster::Body(tasks));
  const std::size_t share = tasks.size() / cluster->agents();
  for (std::size_t i = 0; i < cluster->agents(); ++i) {
    cluster->Witness(i, before[i] + share);
  }
  return answer;
}

std::future<JobResult> StartAssigned(Cluster* cluster, const std::string& key,
                                     const std::vector<TaskText>& tasks) {
  const std::string handle = key.substr(0, key.rfind('.'));
  const std::size_t home = cluster->HomeOf(key);
  const std::string earlier = cluster->NewKey(handle);
  const std::string line = "placements_total";
  std::future<JobResult> first = StartHeld(cluster, earlier, EightTasks());
  for (std::size_t i = 0; i < cluster->agents(); ++i) cluster->Release(i);
  if (Await(std::move(first), "the first answer").outcome != "complete") {
    FailTest("The first job did not complete.");
  }
  const double before = cluster->Metric(cluster->agent(home).pages, line);
  for (std::size_t i = 0; i < cluster->agents(); ++i) cluster->Hold(i);
  cluster->agent(1 - home).process->Signal(SIGSTOP);
  std::future<JobResult> answer = cluster->Start(0, key, Cluster::Body(tasks));
  cluster->AwaitMetric(cluster->agent(home).pages, line, before + 8);
  return answer;
}

std::int64_t NowMs() {
  return core::Millis(core::SystemClock().Now().since_start);
}

void AwaitStartAfter(Cluster* cluster, Load* load, std::size_t target,
                     std::int64_t at_ms) {
  Cluster::AwaitTrue("a later start", [&] {
    load->AwaitCompleted(1);
    const std::vector<WitnessedStart> starts = cluster->Witness(target, 1);
    return starts.back().at_ms > at_ms;
  });
}

void AwaitNotMember(Cluster* cluster, std::size_t agent, std::size_t entry) {
  const std::string& node = cluster->agent(agent).node;
  Cluster::AwaitTrue("the end of a membership", [&] {
    const boost::json::object state = cluster->Operators(entry, "/v1/state");
    for (const boost::json::value& item : state.at("agents").as_array()) {
      if (item.at("node").as_string() == node) return false;
    }
    return true;
  });
}

}  // namespace tarragon::system_test
