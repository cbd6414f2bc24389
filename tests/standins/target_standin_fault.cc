#include "target_standin_fault.h"

#include <boost/json.hpp>
#include <string_view>
#include <utility>

namespace tarragon::standin {
namespace {

constexpr std::pair<std::string_view, FaultMode> kModes[] = {
    {"none", FaultMode::kNone},
    {"fail", FaultMode::kFail},
    {"hang", FaultMode::kHang},
    {"linger", FaultMode::kLinger},
    {"truncate", FaultMode::kTruncate},
    {"refuse", FaultMode::kRefuse},
    {"die_on_start", FaultMode::kDieOnStart},
    {"drop_connection", FaultMode::kDropConnection}};

std::optional<FaultMode> ParseMode(std::string_view name) {
  for (const auto& [mode_name, mode] : kModes) {
    if (mode_name == name) return mode;
  }
  return std::nullopt;
}

}  // namespace

std::optional<Fault> ParseFault(const std::string& body) {
  boost::json::error_code error;
  const boost::json::value json = boost::json::parse(body, error);
  if (error || !json.is_object()) return std::nullopt;
  const boost::json::object& object = json.get_object();
  const boost::json::value* mode = object.if_contains("mode");
  if (mode == nullptr || !mode->is_string()) return std::nullopt;
  const std::optional<FaultMode> parsed = ParseMode(mode->get_string().c_str());
  if (!parsed) return std::nullopt;
  Fault fault;
  fault.mode = *parsed;
  if (const boost::json::value* factor = object.if_contains("factor")) {
    fault.factor = factor->to_number<double>(error);
    if (error) return std::nullopt;
  }
  if (const boost::json::value* count = object.if_contains("count")) {
    fault.count = count->to_number<std::int64_t>(error);
    if (error) return std::nullopt;
  }
  return fault;
}

Fault TakeFault(Fault* fault) {
  const Fault taken = *fault;
  if (!fault->count) return taken;
  if (*fault->count <= 0) return Fault();
  --*fault->count;
  return taken;
}

}  // namespace tarragon::standin
