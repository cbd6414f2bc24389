#include "announcement.h"

#include <boost/json.hpp>

namespace tarragon::daemons {
namespace {

namespace json = boost::json;

constexpr std::int64_t kMaxSlots = 4096;
constexpr std::int64_t kMaxCores = 4096;
constexpr std::int64_t kMaxMemoryMb = 64 * 1024 * 1024;
constexpr std::size_t kMaxServices = 256;

bool ReadCount(const json::object& object, const char* key, std::int64_t most,
               std::uint32_t* count) {
  const json::value* value = object.if_contains(key);
  if (value == nullptr) return true;
  if (!value->is_int64()) return false;
  if (value->get_int64() < 0 || value->get_int64() > most) return false;
  *count = static_cast<std::uint32_t>(value->get_int64());
  return true;
}

bool ReadServices(const json::object& object, dispatch::Target* target) {
  const json::value* value = object.if_contains("services");
  if (value == nullptr || !value->is_array()) return false;
  const json::array& services = value->get_array();
  if (services.empty() || services.size() > kMaxServices) return false;
  for (const json::value& service : services) {
    if (!service.is_string()) return false;
    target->services.emplace_back(std::string(service.get_string()));
  }
  return true;
}

}  // namespace

std::optional<dispatch::Target> ParseAnnouncement(const std::string& body,
                                                  RequestError* reason) {
  boost::system::error_code error;
  const json::value value = json::parse(body, error);
  if (error || !value.is_object()) {
    reason->detail = "The body is not a JSON object.";
    return std::nullopt;
  }
  const json::object& object = value.get_object();
  dispatch::Target target;
  const json::value* address = object.if_contains("address");
  if (address == nullptr || !address->is_string()) {
    reason->detail = "address must be a text.";
    return std::nullopt;
  }
  target.address = core::Address(std::string(address->get_string()));
  if (!ReadServices(object, &target)) {
    reason->detail = "services must be a list of names.";
    return std::nullopt;
  }
  const bool counts =
      ReadCount(object, "slots", kMaxSlots, &target.slots) &&
      ReadCount(object, "cores", kMaxCores, &target.cores) &&
      ReadCount(object, "memory_mb", kMaxMemoryMb, &target.memory_mb) &&
      ReadCount(object, "running", kMaxSlots, &target.foreign_running);
  if (!counts || target.slots == 0) {
    reason->detail = "slots, cores, memory_mb and running must be counts.";
    return std::nullopt;
  }
  const json::value* leaving = object.if_contains("leaving");
  target.leaving =
      leaving != nullptr && leaving->is_bool() && leaving->get_bool();
  return target;
}

}  // namespace tarragon::daemons
