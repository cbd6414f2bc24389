#ifndef TARRAGON_TESTS_SYSTEM_FAULT_SETTINGS_H_
#define TARRAGON_TESTS_SYSTEM_FAULT_SETTINGS_H_

#include <cstdint>
#include <future>
#include <string>
#include <vector>

#include "cluster.h"
#include "load.h"

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

/// Holds all targets, freezes the agent that is not the home, submits through
/// entry 0 and waits until the home has placed all tasks: half of them at the
/// frozen agent, whose load it has learned from an earlier job.
std::future<JobResult> StartAssigned(Cluster* cluster, const std::string& key,
                                     const std::vector<TaskText>& tasks);

/// Milliseconds of CLOCK_BOOTTIME, as the witnesses count them.
std::int64_t NowMs();

/// Waits until the target has started a task of the load after `at_ms`.
void AwaitStartAfter(Cluster* cluster, Load* load, std::size_t target,
                     std::int64_t at_ms);

/// Waits until the entry does not list the agent any more.
void AwaitNotMember(Cluster* cluster, std::size_t agent, std::size_t entry);

}  // namespace tarragon::system_test

#endif  // TARRAGON_TESTS_SYSTEM_FAULT_SETTINGS_H_
