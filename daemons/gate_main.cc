#include "gate_daemon.h"
#include "platform_daemon_main.h"

int main(int argc, char* argv[]) {
  namespace daemons = tarragon::daemons;
  return daemons::RunPlatformDaemon<daemons::GateDaemon>(
      argc, argv,
      {"tarragon-gate",
       "Starts and supervises tasks on the target of its VM."});
}
