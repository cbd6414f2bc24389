#include <boost/property_tree/ini_parser.hpp>
#include <boost/property_tree/ptree.hpp>
#include <charconv>
#include <sstream>

#include "tarragon/bench/preset.h"
#include "tarragon/ctl/options.h"

namespace tarragon::bench {
namespace {

namespace property_tree = boost::property_tree;

constexpr std::uint32_t kMaxTasks = 110;

/// Reads the keys of one section and remembers the first fault.
class SectionReader {
 public:
  SectionReader(std::string section, const property_tree::ptree& keys,
                std::string* error)
      : section_(std::move(section)), keys_(keys), error_(error) {}

  void Read(const char* key, std::string* value) {
    if (const std::optional<std::string> text = Take(key)) *value = *text;
  }

  void Read(const char* key, std::uint32_t* value) {
    ReadNumber(key, "a whole number", value);
  }

  void Read(const char* key, double* value) {
    ReadNumber(key, "a number", value);
  }

  void Read(const char* key, bool* value) {
    const std::optional<std::string> text = Take(key);
    if (!text) return;
    if (*text != "true" && *text != "false") Fail(key, "true or false");
    *value = *text == "true";
  }

  void Read(const char* key, core::Duration* value) {
    const std::optional<std::string> text = Take(key);
    if (!text) return;
    const std::optional<core::Duration> read = ctl::ParseDuration(*text);
    if (!read) return Fail(key, "a duration such as 200ms");
    *value = *read;
  }

  /// Refuses keys that were not asked for.
  void RefuseOthers() {
    if (keys_.size() > taken_ && error_->empty()) {
      *error_ = "[" + section_ + "] has keys that are not known.";
    }
  }

 private:
  std::optional<std::string> Take(const char* key) {
    const property_tree::ptree::const_assoc_iterator at = keys_.find(key);
    if (at == keys_.not_found()) return std::nullopt;
    ++taken_;
    return at->second.data();
  }

  template <typename Number>
  void ReadNumber(const char* key, const char* what, Number* value) {
    const std::optional<std::string> text = Take(key);
    if (!text) return;
    const char* last = text->data() + text->size();
    const std::from_chars_result read =
        std::from_chars(text->data(), last, *value);
    if (read.ec != std::errc() || read.ptr != last) Fail(key, what);
  }

  void Fail(const char* key, const char* what) {
    if (!error_->empty()) return;
    *error_ = "[" + section_ + "] " + key + " must be " + what + ".";
  }

  std::string section_;
  const property_tree::ptree& keys_;
  std::string* error_;
  std::size_t taken_ = 0;
};

void ReadItem(const std::string& kind, const std::string& name,
              SectionReader* reader, Preset* preset) {
  if (kind == "service") {
    ServiceMix& service = preset->services.emplace_back();
    service.service = core::ServiceId(name);
    reader->Read("idempotent", &service.idempotent);
    return reader->Read("weight", &service.weight);
  }
  if (kind == "tenant") {
    TenantMix& tenant = preset->tenants.emplace_back();
    tenant.tenant = core::TenantId(name);
    return reader->Read("weight", &tenant.weight);
  }
  SizeClass& size = preset->sizes.emplace_back();
  size.name = name;
  reader->Read("min_tasks", &size.min_tasks);
  reader->Read("max_tasks", &size.max_tasks);
  reader->Read("weight", &size.weight);
}

/// Reads one section into the preset; false if it has an unknown name.
bool ReadSection(const std::string& section, SectionReader* reader,
                 Preset* preset) {
  if (section == "preset") {
    reader->Read("name", &preset->name);
    reader->Read("targets", &preset->targets);
    reader->Read("slots_per_target", &preset->slots_per_target);
    reader->Read("deadline", &preset->deadline);
    return true;
  }
  if (section == "runs") {
    reader->Read("median", &preset->runs.median);
    reader->Read("sigma", &preset->runs.sigma);
    reader->Read("shortest", &preset->runs.shortest);
    reader->Read("longest", &preset->runs.longest);
    return true;
  }
  std::istringstream words(section);
  std::string kind;
  std::string name;
  std::string more;
  if (!(words >> kind >> name) || words >> more) return false;
  if (kind != "service" && kind != "tenant" && kind != "size") return false;
  ReadItem(kind, name, reader, preset);
  return true;
}

template <typename Item>
bool HasWeight(const std::vector<Item>& items) {
  std::uint64_t sum = 0;
  for (const Item& item : items) sum += item.weight;
  return sum > 0;
}

/// What is wrong with a whole preset; empty if nothing is.
std::string Fault(const Preset& preset) {
  if (!HasWeight(preset.services)) return "No [service NAME] has a weight.";
  if (!HasWeight(preset.tenants)) return "No [tenant NAME] has a weight.";
  if (!HasWeight(preset.sizes)) return "No [size NAME] has a weight.";
  for (const SizeClass& size : preset.sizes) {
    if (size.min_tasks < 1 || size.max_tasks > kMaxTasks ||
        size.min_tasks > size.max_tasks) {
      return "[size " + size.name + "] must lie within 1 and " +
             std::to_string(kMaxTasks) + " tasks.";
    }
  }
  if (Slots(preset) == 0) return "[preset] has no slots.";
  if (preset.runs.shortest > preset.runs.longest) {
    return "[runs] shortest is above longest.";
  }
  if (!(preset.runs.sigma >= 0)) return "[runs] sigma is negative.";
  return "";
}

}  // namespace

std::optional<Preset> ParsePreset(const std::string& ini_text,
                                  BenchError* reason) {
  property_tree::ptree tree;
  std::istringstream stream(ini_text);
  try {
    property_tree::read_ini(stream, tree);
  } catch (const property_tree::ini_parser_error& error) {
    reason->text =
        "line " + std::to_string(error.line()) + ": " + error.message() + ".";
    return std::nullopt;
  }
  Preset preset;
  std::string fault;
  for (const property_tree::ptree::value_type& section : tree) {
    SectionReader reader(section.first, section.second, &fault);
    if (!ReadSection(section.first, &reader, &preset)) {
      reason->text = "[" + section.first + "] is not known.";
      return std::nullopt;
    }
    reader.RefuseOthers();
  }
  if (fault.empty()) fault = Fault(preset);
  if (fault.empty()) return preset;
  reason->text = fault;
  return std::nullopt;
}

}  // namespace tarragon::bench
