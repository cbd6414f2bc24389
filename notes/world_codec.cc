#include "tarragon/notes/world_codec.h"

#include <boost/json.hpp>
#include <cstdint>
#include <limits>
#include <utility>
#include <vector>

#include "tarragon/core/ids.h"
#include "tarragon/dispatch/note.h"

namespace tarragon::notes {
namespace {

namespace json = boost::json;

/// Version of the format. Increment it with every change after which older
/// releases must not read the values.
constexpr std::uint64_t kFormat = 1;

json::object ToJson(const dispatch::Service& service) {
  return {{"idempotent", service.idempotent},
          {"max_run_ms", core::Millis(service.max_run)},
          {"max_cores", service.max_cores},
          {"max_memory_mb", service.max_memory_mb}};
}

json::object ToJson(const dispatch::Domain& domain) {
  return {{"region", domain.region.value()}, {"in_service", domain.in_service}};
}

json::object ToJson(const dispatch::TenantLimit& tenant) {
  return {{"max_running", tenant.max_running},
          {"max_queued", tenant.max_queued},
          {"weight", tenant.weight}};
}

template <typename Id, typename Item>
json::object ToJson(const std::map<Id, Item>& items) {
  json::object out;
  for (const auto& [id, item] : items) out.emplace(id.value(), ToJson(item));
  return out;
}

/// Reads fields of one JSON object and records the first error. Values read
/// after an error are meaningless.
class ObjectReader {
 public:
  ObjectReader(const json::object& object, std::string path,
               std::string* problem)
      : object_(object), path_(std::move(path)), problem_(problem) {}

  void Read(const char* name, bool* out) {
    const json::value* field = Find(name);
    if (field == nullptr) return;
    if (!field->is_bool()) return RecordError(name, "is not true or false");
    *out = field->get_bool();
  }

  void Read(const char* name, std::uint64_t* out) {
    const json::value* field = Find(name);
    if (field == nullptr) return;
    const bool fits =
        field->is_uint64() || (field->is_int64() && field->get_int64() >= 0);
    if (!fits) return RecordError(name, "is not an unsigned integer");
    *out = field->to_number<std::uint64_t>();
  }

  void Read(const char* name, std::uint32_t* out) {
    std::uint64_t wide = 0;
    Read(name, &wide);
    if (wide > std::numeric_limits<std::uint32_t>::max()) {
      return RecordError(name, "is too large");
    }
    *out = static_cast<std::uint32_t>(wide);
  }

  void ReadMillis(const char* name, core::Duration* out) {
    std::uint32_t millis = 0;
    Read(name, &millis);
    *out = std::chrono::milliseconds(millis);
  }

  void Read(const char* name, std::string* out) {
    const json::value* field = Find(name);
    if (field == nullptr) return;
    if (!field->is_string()) return RecordError(name, "is not a string");
    out->assign(field->get_string().data(), field->get_string().size());
  }

  /// Returns the array `name`, or null if it is missing or of another type.
  const json::array* FindArray(const char* name) {
    const json::value* field = Find(name);
    if (field == nullptr) return nullptr;
    if (!field->is_array()) RecordError(name, "is not an array");
    return field->if_array();
  }

  /// Returns the object `name`, or null if it is missing or of another type.
  const json::object* FindObject(const char* name) {
    const json::value* field = Find(name);
    if (field == nullptr) return nullptr;
    if (!field->is_object()) RecordError(name, "is not an object");
    return field->if_object();
  }

 private:
  const json::value* Find(const char* name) {
    const json::value* field = object_.if_contains(name);
    if (field == nullptr) RecordError(name, "is missing");
    return field;
  }

  void RecordError(const char* name, const char* why) {
    if (problem_->empty()) *problem_ = path_ + name + " " + why;
  }

  const json::object& object_;
  std::string path_;
  std::string* problem_;
};

void FromJson(ObjectReader* reader, dispatch::Service* service) {
  reader->Read("idempotent", &service->idempotent);
  reader->ReadMillis("max_run_ms", &service->max_run);
  reader->Read("max_cores", &service->max_cores);
  reader->Read("max_memory_mb", &service->max_memory_mb);
}

void FromJson(ObjectReader* reader, dispatch::Domain* domain) {
  std::string region;
  reader->Read("region", &region);
  domain->region = core::RegionId(std::move(region));
  reader->Read("in_service", &domain->in_service);
}

void FromJson(ObjectReader* reader, dispatch::TenantLimit* tenant) {
  reader->Read("max_running", &tenant->max_running);
  reader->Read("max_queued", &tenant->max_queued);
  reader->Read("weight", &tenant->weight);
}

template <typename Id, typename Item>
void ReadItems(ObjectReader* reader, const char* name, std::string* problem,
               std::map<Id, Item>* items) {
  const json::object* object = reader->FindObject(name);
  if (object == nullptr) return;
  for (const json::key_value_pair& pair : *object) {
    const std::string key(pair.key());
    const json::object* fields = pair.value().if_object();
    if (fields == nullptr) {
      *problem = std::string(name) + "." + key + " is not an object";
      return;
    }
    ObjectReader item(*fields, std::string(name) + "." + key + ".", problem);
    FromJson(&item, &(*items)[Id(key)]);
  }
}

void ReadNotes(ObjectReader* reader, std::string* problem,
               std::vector<core::NoteId>* notes) {
  const json::array* array = reader->FindArray("recent_notes");
  if (array == nullptr) return;
  for (const json::value& value : *array) {
    const json::string* text = value.if_string();
    if (text == nullptr) {
      *problem = "recent_notes has an item that is not a string";
      return;
    }
    notes->emplace_back(std::string(text->data(), text->size()));
  }
}

void ReadMembers(ObjectReader* reader, std::string* problem,
                 std::vector<dispatch::EntryMember>* members) {
  const json::array* array = reader->FindArray("members");
  if (array == nullptr) return;
  for (const json::value& value : *array) {
    const json::object* fields = value.if_object();
    if (fields == nullptr) {
      *problem = "members has an item that is not an object";
      return;
    }
    ObjectReader member(*fields, "members.", problem);
    std::string node;
    std::string domain;
    member.Read("node", &node);
    member.Read("domain", &domain);
    dispatch::EntryMember read;
    if (!core::ParseNodeId(node, &read.node) && problem->empty()) {
      *problem = "members.node is not a node id";
    }
    read.domain = core::DomainId(std::move(domain));
    members->push_back(std::move(read));
  }
}

void SetError(TableError::Code code, std::string detail, TableError* reason) {
  if (reason != nullptr) *reason = {code, std::move(detail)};
}

/// Parses a value into its JSON object. Returns nothing and sets `reason` if it
/// is too large, no JSON object, or in another format than kFormat.
std::optional<json::object> ParseValue(std::string_view text,
                                       TableError* reason) {
  if (text.size() > kMaxValueBytes) {
    SetError(TableError::Code::kTooLarge, "the value is too large", reason);
    return std::nullopt;
  }
  boost::system::error_code failure;
  json::value value = json::parse({text.data(), text.size()}, failure);
  if (failure || !value.is_object()) {
    SetError(TableError::Code::kMalformed,
             failure ? "the value is not JSON: " + failure.message()
                     : "the value is not a JSON object",
             reason);
    return std::nullopt;
  }
  json::object object = std::move(value.get_object());
  std::string problem;
  std::uint64_t format = 0;
  ObjectReader(object, "", &problem).Read("format", &format);
  if (problem.empty() && format == kFormat) return object;
  SetError(problem.empty() ? TableError::Code::kUnknownFormat
                           : TableError::Code::kMalformed,
           problem.empty()
               ? "the value has the format " + std::to_string(format) +
                     ", expected is " + std::to_string(kFormat)
               : problem,
           reason);
  return std::nullopt;
}

}  // namespace

std::string EncodeWorld(const dispatch::World& world) {
  json::array notes;
  for (const core::NoteId& id : world.recent_notes) {
    notes.emplace_back(id.value());
  }
  const json::object object = {{"format", kFormat},
                               {"version", world.version.value()},
                               {"recent_notes", std::move(notes)},
                               {"services", ToJson(world.services)},
                               {"domains", ToJson(world.domains)},
                               {"tenants", ToJson(world.tenants)}};
  return json::serialize(object);
}

std::optional<dispatch::World> DecodeWorld(std::string_view text,
                                           TableError* reason) {
  const std::optional<json::object> object = ParseValue(text, reason);
  if (!object) return std::nullopt;
  std::string problem;
  ObjectReader reader(*object, "", &problem);
  dispatch::World world;
  std::uint64_t version = 0;
  reader.Read("version", &version);
  world.version = core::NoteVersion(version);
  ReadNotes(&reader, &problem, &world.recent_notes);
  ReadItems(&reader, "services", &problem, &world.services);
  ReadItems(&reader, "domains", &problem, &world.domains);
  ReadItems(&reader, "tenants", &problem, &world.tenants);
  if (!problem.empty()) {
    SetError(TableError::Code::kMalformed, problem, reason);
    return std::nullopt;
  }
  const std::vector<std::string> out_of_range = dispatch::ValidateWorld(world);
  if (!out_of_range.empty()) {
    SetError(TableError::Code::kOutOfRange, out_of_range[0], reason);
    return std::nullopt;
  }
  return world;
}

std::string EncodeEntries(const dispatch::EntryList& entries) {
  json::array members;
  for (const dispatch::EntryMember& member : entries.members) {
    members.push_back(json::object{{"node", core::ToString(member.node)},
                                   {"domain", member.domain.value()}});
  }
  const json::object object = {{"format", kFormat},
                               {"version", entries.version},
                               {"members", std::move(members)}};
  return json::serialize(object);
}

std::optional<dispatch::EntryList> DecodeEntries(std::string_view text,
                                                 TableError* reason) {
  const std::optional<json::object> object = ParseValue(text, reason);
  if (!object) return std::nullopt;
  std::string problem;
  ObjectReader reader(*object, "", &problem);
  dispatch::EntryList entries;
  reader.Read("version", &entries.version);
  ReadMembers(&reader, &problem, &entries.members);
  if (!problem.empty()) {
    SetError(TableError::Code::kMalformed, problem, reason);
    return std::nullopt;
  }
  return entries;
}

}  // namespace tarragon::notes
