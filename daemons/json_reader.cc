#include "json_reader.h"

#include <utility>

namespace tarragon::daemons {

namespace json = boost::json;

ObjectReader::ObjectReader(const json::object& object, std::string where)
    : object_(object), where_(std::move(where)) {}

std::string ObjectReader::Text(const char* key, std::size_t most,
                               bool may_be_empty) {
  const json::value* value = Find(key);
  if (value == nullptr || !value->is_string()) {
    Fail(key, "must be a text");
    return {};
  }
  const json::string& text = value->get_string();
  if (text.size() > most) Fail(key, "is too long");
  if (text.empty() && !may_be_empty) Fail(key, "must not be empty");
  return std::string(text.data(), text.size());
}

std::int64_t ObjectReader::Integer(const char* key, std::int64_t least,
                                   std::int64_t most, std::int64_t fallback) {
  const json::value* value = Find(key);
  if (value == nullptr) return fallback;
  if (!value->is_int64() || value->get_int64() < least ||
      value->get_int64() > most) {
    Fail(key, "must be a whole number from " + std::to_string(least) + " to " +
                  std::to_string(most));
    return fallback;
  }
  return value->get_int64();
}

bool ObjectReader::Bool(const char* key, bool fallback) {
  const json::value* value = Find(key);
  if (value == nullptr) return fallback;
  if (!value->is_bool()) {
    Fail(key, "must be true or false");
    return fallback;
  }
  return value->get_bool();
}

const json::array* ObjectReader::Array(const char* key) {
  const json::value* value = Find(key);
  if (value == nullptr || !value->is_array()) {
    Fail(key, "must be a list");
    return nullptr;
  }
  return &value->get_array();
}

void ObjectReader::RefuseOthers() {
  if (object_.size() <= known_) return;
  if (error_.empty()) error_ = where_ + "has members that are not known.";
}

void ObjectReader::Fail(const char* key, const std::string& what) {
  if (error_.empty()) error_ = where_ + std::string(key) + " " + what + ".";
}

const json::value* ObjectReader::Find(const char* key) {
  const json::value* value = object_.if_contains(key);
  if (value != nullptr) ++known_;
  return value;
}

}  // namespace tarragon::daemons
