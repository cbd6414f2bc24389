#ifndef TARRAGON_PROVE_FAULTS_H_
#define TARRAGON_PROVE_FAULTS_H_

namespace tarragon::prove {

struct Setup;

/// Starts faults at random moments until the set-up is quiet.
void FaultLoop(Setup* setup);

/// Ends every fault: all processes run, all are connected, the table answers
/// and the targets are well.
void HealAll(Setup* setup);

}  // namespace tarragon::prove

#endif  // TARRAGON_PROVE_FAULTS_H_
