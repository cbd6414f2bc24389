#include "fault_settings.h"

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

void AwaitNotMember(Cluster* cluster, std::size_t agent) {
  const std::string& node = cluster->agent(agent).node;
  Cluster::AwaitTrue("the end of a membership", [&] {
    for (std::size_t i = 0; i < cluster->entries(); ++i) {
      if (!cluster->entry(i).process->running()) continue;
      const boost::json::object state = cluster->Operators(i, "/v1/state");
      for (const boost::json::value& item : state.at("agents").as_array()) {
        if (item.at("node").as_string() == node) return false;
      }
    }
    return true;
  });
}

}  // namespace tarragon::system_test
