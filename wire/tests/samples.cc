#include "tests/samples.h"

#include <chrono>
#include <utility>

namespace tarragon::wire {
namespace {

using std::chrono::microseconds;

const char kBinaryText[] = "\xff\xfe not UTF-8 \x01";

core::NodeId SampleNode(std::uint64_t incarnation) {
  return {core::Address("10.1.2.3:7001"), core::Incarnation(incarnation)};
}

dispatch::TaskRef SampleRef() {
  return {core::JobKey("handle.17"), core::TaskIndex(109), core::Attempt(3)};
}

dispatch::Load SampleLoad() {
  dispatch::Load load;
  load.free_slots = 5;
  load.slots = 8;
  load.sequence = 0xffffffffffffffff;
  load.assigns_seen = 77;
  return load;
}

dispatch::AgentStatus SampleStatus(std::uint64_t incarnation) {
  dispatch::AgentStatus status;
  status.node = SampleNode(incarnation);
  status.domain = core::DomainId("szeged");
  status.services = {core::ServiceId("carve"), core::ServiceId("fit")};
  status.load = SampleLoad();
  status.cores = 16;
  status.memory_mb = 65536;
  status.leaving = true;
  status.failure_permille = 999;
  status.handle_epoch = 12;
  status.mean_run = microseconds(250001);
  status.late_permille = 401;
  return status;
}

dispatch::World SampleWorld() {
  dispatch::World world;
  world.version = core::NoteVersion(9);
  world.recent_notes = {core::NoteId("first"), core::NoteId("second")};
  dispatch::Service service;
  service.idempotent = true;
  service.max_run = microseconds(5000001);
  service.max_cores = 3;
  service.max_memory_mb = 4;
  world.services = {{core::ServiceId("carve"), service},
                    {core::ServiceId("fit"), dispatch::Service()}};
  world.domains = {
      {core::DomainId("szeged"), {core::RegionId("alfold"), false}},
      {core::DomainId("rabat-1"), {core::RegionId("rsk"), true}}};
  world.tenants = {{core::TenantId("kaptafa"), {1, 2, 3}},
                   {core::TenantId("agence"), {4, 5, 6}}};
  return world;
}

dispatch::EntryList SampleEntries() {
  dispatch::EntryList list;
  list.version = 31;
  list.members = {{SampleNode(1), core::DomainId("szeged")},
                  {SampleNode(2), core::DomainId("rabat-1")}};
  list.previous = {{SampleNode(3), core::DomainId("szeged")}};
  return list;
}

dispatch::JobSpec SampleSpec() {
  dispatch::JobSpec spec;
  spec.key = core::JobKey("handle.17");
  spec.service = core::ServiceId("carve");
  spec.tenant = core::TenantId(kBinaryText);
  spec.time_left = microseconds(-5);
  spec.tasks = {{std::string("a\0b", 3), 2, 64}, {"", 1, 0}};
  return spec;
}

dispatch::JobAnswer SampleAnswer() {
  dispatch::JobAnswer answer;
  answer.key = core::JobKey("handle.17");
  answer.outcome = dispatch::Outcome::kUnknown;
  answer.reason = dispatch::Reason::kAnswerDropped;
  answer.detail = "The answer has passed its retention.";
  answer.retry_after = microseconds(1500000);
  answer.results = {kBinaryText, "", std::string(70000, 'r')};
  return answer;
}

dispatch::Permit SamplePermit() {
  dispatch::Permit permit;
  permit.sequence = 4;
  permit.lifetime = microseconds(3000000);
  permit.note_version = core::NoteVersion(9);
  permit.has_world = true;
  permit.world = SampleWorld();
  permit.members_version = 6;
  permit.members_full = true;
  permit.members = {SampleStatus(3), SampleStatus(4)};
  permit.members_gone = {SampleNode(5), SampleNode(6)};
  permit.entries = SampleEntries();
  return permit;
}

dispatch::Finished SampleFinished() {
  dispatch::Finished finished;
  finished.ref = SampleRef();
  finished.ok = true;
  finished.reason = dispatch::Reason::kTaskFailed;
  finished.result = kBinaryText;
  finished.result_digest = 0x0123456789abcdef;
  finished.run_time = microseconds(60001);
  finished.load = SampleLoad();
  finished.pull = 21;
  finished.pull_service = core::ServiceId("fit");
  return finished;
}

dispatch::EntryPong SamplePong() {
  dispatch::EntryPong pong;
  pong.sequence = 8;
  pong.note_version = core::NoteVersion(9);
  pong.entries_version = 31;
  pong.has_world = true;
  pong.world = SampleWorld();
  pong.has_entries = true;
  pong.entries = SampleEntries();
  return pong;
}

dispatch::Handover SampleHandover() {
  dispatch::Handover handover;
  handover.home = SampleNode(19);
  handover.sequence = 20;
  handover.last = true;
  handover.oldest_epoch = 21;
  handover.time_left = microseconds(4200000001);
  handover.bytes = 70200;
  handover.records = {
      {SampleAnswer(), 0x8877665544332211, microseconds(600000001), true},
      {dispatch::JobAnswer(), 1, microseconds(2), false}};
  return handover;
}

coordinator::RunRef SampleRun() {
  return {{coordinator::JobId("5c0e7a21d94b36f8"), 1, 2}, 3};
}

coordinator::OperatorUpdate SampleOperatorUpdate() {
  coordinator::Queue queue;
  queue.name = coordinator::QueueId("carving");
  queue.host = "queue.example";
  queue.path_prefix = "/carve/";
  queue.service = core::ServiceId("carve");
  queue.priority = 2;
  queue.max_attempts = 3;
  queue.stretch_permille = 1600;
  queue.latency_target = microseconds(60000);
  queue.timeout = microseconds(1500000);
  queue.needs_advice = true;
  return {{7, 8, {queue}, {core::DomainId("szeged")}}, true};
}

coordinator::TargetReport SampleTargetReport() {
  coordinator::TargetReport report;
  report.clock = core::Time{microseconds(32)};
  report.starts_seen = 33;
  report.usable = true;
  report.runs_known = true;
  report.target = coordinator::TargetId("t-1");
  report.born = coordinator::TargetIncarnation(1780663518666);
  report.sequence = 5;
  report.address = core::Address("10.0.0.9:80");
  report.draining = true;
  report.service = core::ServiceId("carve");
  report.domain = core::DomainId("szeged");
  report.labels = {coordinator::Label("a"), coordinator::Label("r1")};
  report.capacity = {16000, 65536, 2};
  report.free = {-1600, 64, 1};
  report.entries = 4;
  report.slowness_permille = 2200;
  report.failed_permille = 37;
  report.operator_revision = 34;
  report.domains_digest = 0x8000000000000007ULL;
  report.config_version = 12;
  report.offered = true;
  report.has_suspect = true;
  report.others_demand = {{0, 864000, 178000}, {2, 6480, 243}};
  report.leaves_in = microseconds(1800000);
  report.speed_permille = 1600;
  report.releases = {{microseconds(20000), 1600}, {microseconds(90000), 4800}};
  return report;
}

}  // namespace

dispatch::Assign SampleAssign(std::uint32_t task, std::size_t bytes) {
  dispatch::Assign assign;
  assign.ref = {core::JobKey("handle.17"), core::TaskIndex(task),
                core::Attempt(1)};
  assign.service = core::ServiceId("carve");
  assign.tenant = core::TenantId("kaptafa");
  assign.time_left = microseconds(4000000);
  assign.spec.payload.resize(bytes);
  for (std::size_t i = 0; i < bytes; ++i) {
    assign.spec.payload[i] = static_cast<char>((i * 31 + task) & 0xff);
  }
  assign.spec.cores = 2;
  assign.spec.memory_mb = 64;
  assign.usual_run = microseconds(730001);
  return assign;
}

std::vector<dispatch::Message> SampleMessages() {
  const core::JobKey key("handle.17");
  const core::ServiceId service("carve");
  const microseconds wait(120000);
  return {
      dispatch::Heartbeat{4, SampleStatus(3), core::NoteVersion(9), 6},
      SamplePermit(),
      dispatch::Submit{1, SampleSpec(), 0xfedcba9876543210},
      dispatch::Query{2, key},
      dispatch::Cancel{3, key},
      dispatch::Answer{4, SampleAnswer(), 0x1122334455667788},
      dispatch::Explain{5, key},
      dispatch::Explanation{
          6, dispatch::KeyHistory::kUnknownKey, {"submitted", "", kBinaryText}},
      SampleAssign(7, 300),
      dispatch::Refused{SampleRef(), dispatch::Reason::kNoSlot, wait,
                        SampleLoad()},
      dispatch::Started{SampleRef(), SampleLoad()},
      SampleFinished(),
      dispatch::FinishedAck{SampleRef(), 22},
      dispatch::Seal{SampleRef(), true},
      dispatch::Want{service, 12, wait},
      dispatch::Pull{13, service, SampleLoad()},
      dispatch::PullEmpty{14, service},
      dispatch::PullTask{15, SampleAssign(8, 20), 16, wait},
      dispatch::LoadHint{SampleLoad()},
      dispatch::EntryPing{17, core::NoteVersion(9), 31},
      SamplePong(),
      dispatch::Leaving{SampleNode(18)},
      SampleHandover(),
      dispatch::HandoverAck{SampleNode(22), 23, true},
      dispatch::Inherited{SampleNode(24), {SampleNode(25), SampleNode(26)}},
      coordinator::EntryNotice{
          core::Time{microseconds(27)}, 28, 29, 30, {{0, 864000, 178000}}},
      SampleOperatorUpdate(),
      SampleTargetReport(),
      coordinator::StartRun{SampleRun(),
                            29,
                            service,
                            {1600, 64, 1},
                            kBinaryText,
                            coordinator::Label("r1"),
                            core::Time{microseconds(30)},
                            microseconds(36),
                            31,
                            37,
                            true,
                            2,
                            microseconds(90000)},
      coordinator::AskRun{SampleRun(), true, {1600, 64, 1}},
      coordinator::RunEnded{SampleRun(), coordinator::RunEnd::kRefused,
                            coordinator::RefusalReason::kNoRoom,
                            microseconds(61000), true},
      coordinator::TargetHint{SampleTargetReport()},
      coordinator::RoomWanted{{1600, 64, 1},
                              true,
                              std::chrono::milliseconds(-25),
                              2,
                              std::chrono::milliseconds(61)},
      coordinator::RunProgress{SampleRun(), 64, std::chrono::milliseconds(90),
                               true},
  };
}

}  // namespace tarragon::wire
