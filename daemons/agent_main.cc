#include "daemon_main.h"
#include "tarragon/daemons/agent_daemon.h"

int main(int argc, char* argv[]) {
  namespace daemons = tarragon::daemons;
  const daemons::DaemonInfo info{
      {"tarragon-agent",
       "Process next to one target: home of jobs and executor of tasks."},
      daemons::AgentSpecs(),
      "agent"};
  return daemons::RunDaemon<daemons::AgentDaemon>(argc, argv, info);
}
