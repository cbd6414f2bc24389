#include "daemon_main.h"
#include "tarragon/daemons/entry_daemon.h"

int main(int argc, char* argv[]) {
  namespace daemons = tarragon::daemons;
  const daemons::DaemonInfo info{
      {"tarragon-entry",
       "Serves clients and operators and forwards jobs to the agents."},
      daemons::EntrySpecs(),
      "entry"};
  return daemons::RunDaemon<daemons::EntryDaemon>(argc, argv, info);
}
