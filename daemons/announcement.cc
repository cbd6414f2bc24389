#include "announcement.h"

#include <boost/json.hpp>

#include "json_reader.h"
#include "tarragon/dispatch/note.h"
#include "tarragon/http/endpoint.h"

namespace tarragon::daemons {
namespace {

namespace json = boost::json;

constexpr std::int64_t kMaxSlots = 4096;
constexpr std::int64_t kMaxCores = 4096;
constexpr std::int64_t kMaxMemoryMb = std::int64_t{64} * 1024 * 1024;
constexpr std::size_t kMaxServices = 256;
constexpr std::size_t kMaxAddressLength = 64;

void ReadServices(const json::array& services, ObjectReader* reader,
                  dispatch::Target* target) {
  if (services.empty() || services.size() > kMaxServices) {
    reader->RecordError(
        "services",
        "must have 1 to " + std::to_string(kMaxServices) + " names");
    return;
  }
  for (const json::value& service : services) {
    if (!service.is_string() || !dispatch::IsValidName(service.get_string())) {
      reader->RecordError(
          "services",
          "must be names of 1 to 64 characters of A-Z a-z 0-9 _ . -");
      return;
    }
    target->services.emplace_back(std::string(service.get_string()));
  }
}

std::uint32_t ReadCount(const char* key, std::int64_t min, std::int64_t max,
                        ObjectReader* reader) {
  return static_cast<std::uint32_t>(reader->ReadInteger(key, min, max, 0));
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
  ObjectReader reader(value.get_object(), "");
  dispatch::Target target;
  const std::string address =
      reader.ReadText("address", kMaxAddressLength, false);
  target.address = core::Address(address);
  if (!http::IsEndpoint(target.address)) {
    reader.RecordError("address", "must be IP:port");
  }
  const json::array* services = reader.ReadArray("services");
  if (services != nullptr) ReadServices(*services, &reader, &target);
  target.slots = ReadCount("slots", 1, kMaxSlots, &reader);
  if (target.slots == 0) reader.RecordError("slots", "is missing");
  target.cores = ReadCount("cores", 0, kMaxCores, &reader);
  target.memory_mb = ReadCount("memory_mb", 0, kMaxMemoryMb, &reader);
  target.foreign_running = ReadCount("running", 0, kMaxSlots, &reader);
  target.leaving = reader.ReadBool("leaving", false);
  reader.RefuseUnknownMembers();
  if (reader.error().empty()) return target;
  reason->detail = reader.error();
  return std::nullopt;
}

}  // namespace tarragon::daemons
