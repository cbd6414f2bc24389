#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "cluster.h"
#include "cost.h"
#include "tarragon/capacity/slopes.h"
#include "tarragon/dispatch/entry.h"
#include "tarragon/dispatch/note.h"
#include "tarragon/notes/world_codec.h"
#include "tarragon/wire/codec.h"

namespace tarragon::capacity {
namespace {

constexpr int kRepeats = 200;
constexpr std::size_t kServices = 20;
constexpr std::size_t kDomains = 29;
constexpr std::size_t kTenants = 150;
constexpr std::size_t kNotes = dispatch::kMaxRecentNotes;

dispatch::Permit PermitOf(dispatch::World world) {
  dispatch::Permit permit;
  permit.has_world = true;
  permit.note_version = world.version;
  permit.world = std::move(world);
  return permit;
}

/// The world as an entry sends it to an agent that has an older one.
dispatch::World SentWorld(const dispatch::World& world) {
  dispatch::EntryBoard entry = MakeEntry(kBegin, 0);
  dispatch::Heartbeat heartbeat = MakeHeartbeat(0, entry, 1);
  heartbeat.note_version = core::NoteVersion(0);
  entry.world = world;
  dispatch::OnMessage(&entry, kBegin, AgentNode(0), heartbeat);
  const dispatch::SendMessage& send =
      std::get<dispatch::SendMessage>(entry.actions.back());
  return std::get<dispatch::Permit>(send.message).world;
}

double WireBytes(const dispatch::World& world) {
  return static_cast<double>(wire::Encode(PermitOf(SentWorld(world))).size());
}

double CodecMicros(const dispatch::World& world) {
  const dispatch::Permit permit = PermitOf(SentWorld(world));
  const double before = CpuMicros();
  for (int i = 0; i < kRepeats; ++i) {
    wire::Decode(wire::Encode(permit), nullptr);
  }
  return (CpuMicros() - before) / kRepeats;
}

/// An entry reads the row, applies a note and writes the row.
double NoteMicros(const dispatch::World& world) {
  const std::string row = notes::EncodeWorld(world);
  dispatch::ReleaseNote note;
  note.id = core::NoteId("2026-12-04-next");
  note.base = world.version;
  note.changed_domains[world.domains.begin()->first].in_service = false;
  const double before = CpuMicros();
  for (int i = 0; i < kRepeats; ++i) {
    const std::optional<dispatch::World> read =
        notes::DecodeWorld(row, nullptr);
    notes::EncodeWorld(*dispatch::ApplyNote(*read, note, nullptr));
  }
  return (CpuMicros() - before) / kRepeats;
}

}  // namespace

std::vector<Slope> WorldSlopes() {
  Slope tenant_bytes{"world",   "bytes in a permit, no recent notes",
                     "tenants", "bytes",
                     {},        kTenants};
  Slope tenant_cpu{"world", "encode and decode once", "tenants", "us", {},
                   kTenants};
  Slope row{"platform", "bytes of the row, with 256 recent notes",
            "tenants",  "bytes",
            {},         kTenants};
  Slope note{"entry",   "read the row, apply a note, write the row",
             "tenants", "us per note",
             {},        kTenants};
  for (const std::size_t tenants : {10, 50, 100, 150}) {
    const double x = static_cast<double>(tenants);
    const dispatch::World plain = MakeWorld(kServices, kDomains, tenants, 0);
    const dispatch::World full =
        MakeWorld(kServices, kDomains, tenants, kNotes);
    tenant_bytes.points.push_back({x, WireBytes(plain)});
    tenant_cpu.points.push_back({x, CodecMicros(full)});
    row.points.push_back(
        {x, static_cast<double>(notes::EncodeWorld(full).size())});
    note.points.push_back({x, NoteMicros(full)});
  }
  Slope domain_bytes{"world", "bytes in a permit", "domains", "bytes", {},
                     kDomains};
  for (const std::size_t domains : {4, 10, 20, 29}) {
    domain_bytes.points.push_back(
        {static_cast<double>(domains),
         WireBytes(MakeWorld(kServices, domains, kTenants, 0))});
  }
  Slope service_bytes{"world",  "bytes in a permit", "services", "bytes", {},
                      kServices};
  for (const std::size_t services : {5, 10, 20, 40}) {
    service_bytes.points.push_back(
        {static_cast<double>(services),
         WireBytes(MakeWorld(services, kDomains, kTenants, 0))});
  }
  Slope note_bytes{
      "world", "bytes in a permit at full size", "recent notes", "bytes", {},
      kNotes};
  for (const std::size_t notes : {0, 64, 128, 256}) {
    note_bytes.points.push_back(
        {static_cast<double>(notes),
         WireBytes(MakeWorld(kServices, kDomains, kTenants, notes))});
  }
  return {tenant_bytes, domain_bytes, service_bytes, note_bytes,
          tenant_cpu,   row,          note};
}

}  // namespace tarragon::capacity
