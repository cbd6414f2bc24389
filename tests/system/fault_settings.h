#ifndef TARRAGON_TESTS_SYSTEM_FAULT_SETTINGS_H_
#define TARRAGON_TESTS_SYSTEM_FAULT_SETTINGS_H_

#include <future>
#include <string>
#include <vector>

#include "cluster.h"

namespace tarragon::system_test {

/// Two entries and two agents with four slots each, whose timers are short, so
/// that faults are noticed soon.
ClusterOptions FastOptions();

/// Eight tasks that end at once when the target is not held: as many as there
/// are slots.
std::vector<TaskText> EightTasks();

/// Holds all targets, submits through entry 0 and waits until all tasks have
/// started, shared evenly between the targets.
std::future<JobResult> StartHeld(Cluster* cluster, const std::string& key,
                                 const std::vector<TaskText>& tasks);

/// Waits until no running entry lists the agent.
void AwaitNotMember(Cluster* cluster, std::size_t agent);

}  // namespace tarragon::system_test

#endif  // TARRAGON_TESTS_SYSTEM_FAULT_SETTINGS_H_
