#include "coordinator_daemon.h"
#include "platform_daemon_main.h"

int main(int argc, char* argv[]) {
  namespace daemons = tarragon::daemons;
  return daemons::RunPlatformDaemon<daemons::CoordinatorDaemon>(
      argc, argv,
      {"tarragon-coordinator",
       "Accepts jobs from clients and coordinates their tasks."});
}
