#include "matrix_faults.h"

#include <csignal>
#include <future>
#include <string>
#include <utility>

#include "fault_settings.h"

namespace tarragon::system_test {
namespace {

constexpr std::chrono::milliseconds kSlowPeer{30};
constexpr char kDown[] = R"({"mode":"down"})";
constexpr char kUp[] = R"({"mode":"none"})";
constexpr char kOut[] = "[change domain szeged]\nin_service = false\n";
constexpr char kIn[] = "[change domain szeged]\nin_service = true\n";
constexpr char kBekes[] = "[add domain bekes]\nregion = alfold\n";
constexpr char kDebrecen[] = "[add domain debrecen]\nregion = alfold\n";

/// The running entry that is not frozen by the step: always the second.
constexpr std::size_t kEntry = 1;

void FreezeAgent(Cluster* cluster, std::size_t agent) {
  cluster->agent(agent).process->Signal(SIGSTOP);
  AwaitNotMember(cluster, agent, kEntry);
  cluster->agent(agent).process->Signal(SIGCONT);
}

void KillHome(Cluster* cluster, std::size_t home) {
  cluster->agent(home).process->Signal(SIGKILL);
}

void KillExecutor(Cluster* cluster, std::size_t home) {
  cluster->agent(1 - home).process->Signal(SIGKILL);
}

void KillEntry(Cluster* cluster, std::size_t) {
  cluster->entry(0).process->Signal(SIGKILL);
}

void FreezeHome(Cluster* cluster, std::size_t home) {
  FreezeAgent(cluster, home);
}

void FreezeExecutor(Cluster* cluster, std::size_t home) {
  FreezeAgent(cluster, 1 - home);
}

void CutConnections(Cluster* cluster, std::size_t) {
  for (const auto& relay : cluster->relays()) relay->Break();
}

void SlowPeers(Cluster* cluster, std::size_t) {
  for (const auto& relay : cluster->relays()) relay->Delay(kSlowPeer);
}

void PlatformDown(Cluster* cluster, std::size_t) {
  cluster->PlatformFault(kDown);
}

void PlatformSlow(Cluster* cluster, std::size_t) {
  cluster->PlatformFault(R"({"mode":"slow","delay_ms":800})");
}

void ExpectStatus(const Reply& reply, int status) {
  if (reply.status != status) FailTest("A note: " + reply.body);
}

void ReplyLost(Cluster* cluster, std::size_t) {
  cluster->PlatformFault(R"({"mode":"lose_reply","only":"PUT","count":1})");
  ExpectStatus(cluster->Note(kEntry, "lost", 1, kBekes), 200);
  ExpectStatus(cluster->Note(kEntry, "lost", 1, kBekes), 200);
}

void OperatorRace(Cluster* cluster, std::size_t) {
  std::future<Reply> a = cluster->StartNote(kEntry, "a", 1, kBekes);
  std::future<Reply> b = cluster->StartNote(kEntry, "b", 1, kDebrecen);
  const int first = Await(std::move(a), "a note").status;
  const int second = Await(std::move(b), "a note").status;
  if (first + second != 200 + 409) FailTest("The race had no one winner.");
}

void KillTarget(Cluster* cluster, std::size_t home) {
  cluster->KillTarget(1 - home);
}

void ReplaceHome(Cluster* cluster, std::size_t home) {
  const std::string domain = cluster->agent(home).domain;
  cluster->agent(home).process->Signal(SIGKILL);
  cluster->AwaitAgent(cluster->StartAgent(domain));
}

void ReplaceExecutor(Cluster* cluster, std::size_t home) {
  const std::string domain = cluster->agent(1 - home).domain;
  cluster->agent(1 - home).process->Signal(SIGKILL);
  cluster->AwaitAgent(cluster->StartAgent(domain));
}

void DomainOutAndBack(Cluster* cluster, std::size_t) {
  ExpectStatus(cluster->Note(kEntry, "out", 1, kOut), 200);
  ExpectStatus(cluster->Note(kEntry, "in", 2, kIn), 200);
}

void NoteDuringOutage(Cluster* cluster, std::size_t) {
  cluster->PlatformFault(kDown);
  std::future<Reply> note = cluster->StartNote(kEntry, "late", 1, kBekes);
  Cluster::AwaitTrue("a struck call", [cluster] {
    const Reply stats = cluster->loop().Get(cluster->platform(), "/stats");
    return boost::json::parse(stats.body).at("faults").as_int64() > 0;
  });
  cluster->PlatformFault(kUp);
  ExpectStatus(Await(std::move(note), "the late note"), 200);
}

}  // namespace

const std::vector<Fault>& Faults() {
  static const std::vector<Fault> faults = {
      {"kill home", true, KillHome},
      {"kill executor", true, KillExecutor},
      {"kill entry", true, KillEntry},
      {"freeze and thaw home", false, FreezeHome},
      {"freeze and thaw executor", false, FreezeExecutor},
      {"cut connections", false, CutConnections},
      {"slow peers", false, SlowPeers},
      {"platform down", false, PlatformDown},
      {"platform slow", false, PlatformSlow},
      {"reply lost after the write", false, ReplyLost},
      {"operators race", false, OperatorRace},
      {"executor replaced", true, ReplaceExecutor},
      {"home replaced", true, ReplaceHome},
      {"kill target", true, KillTarget},
      {"domain out and back", false, DomainOutAndBack},
      {"note during an outage", false, NoteDuringOutage},
  };
  return faults;
}

}  // namespace tarragon::system_test
