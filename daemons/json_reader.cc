#include "json_reader.h"

#include <utility>

namespace tarragon::daemons {

namespace json = boost::json;

ObjectReader::ObjectReader(const json::object& object, std::string error_prefix)
    : object_(object), error_prefix_(std::move(error_prefix)) {}

std::string ObjectReader::ReadText(const char* key, std::size_t max_bytes,
                                   bool may_be_empty) {
  const json::value* value = Find(key);
  if (value == nullptr || !value->is_string()) {
    RecordError(key, "must be a string");
    return {};
  }
  const json::string& text = value->get_string();
  if (text.size() > max_bytes) {
    RecordError(key,
                "must have at most " + std::to_string(max_bytes) + " bytes");
  }
  if (text.empty() && !may_be_empty) RecordError(key, "must not be empty");
  return std::string(text.data(), text.size());
}

std::int64_t ObjectReader::ReadInteger(const char* key, std::int64_t min,
                                       std::int64_t max,
                                       std::int64_t fallback) {
  const json::value* value = Find(key);
  if (value == nullptr) return fallback;
  if (!value->is_int64() || value->get_int64() < min ||
      value->get_int64() > max) {
    RecordError(key, "must be an integer from " + std::to_string(min) + " to " +
                         std::to_string(max));
    return fallback;
  }
  return value->get_int64();
}

bool ObjectReader::ReadBool(const char* key, bool fallback) {
  const json::value* value = Find(key);
  if (value == nullptr) return fallback;
  if (!value->is_bool()) {
    RecordError(key, "must be true or false");
    return fallback;
  }
  return value->get_bool();
}

const json::array* ObjectReader::ReadArray(const char* key) {
  const json::value* value = Find(key);
  if (value == nullptr || !value->is_array()) {
    RecordError(key, "must be an array");
    return nullptr;
  }
  return &value->get_array();
}

void ObjectReader::RefuseUnknownMembers() {
  if (object_.size() <= found_members_) return;
  if (error_.empty()) error_ = error_prefix_ + "has unknown members.";
}

void ObjectReader::RecordError(const char* key, const std::string& what) {
  if (error_.empty()) {
    error_ = error_prefix_ + std::string(key) + " " + what + ".";
  }
}

const json::value* ObjectReader::Find(const char* key) {
  const json::value* value = object_.if_contains(key);
  if (value != nullptr) ++found_members_;
  return value;
}

}  // namespace tarragon::daemons
