#include "answer_body.h"

namespace tarragon::ctl {
namespace {

namespace json = boost::json;

std::string PlainText(const json::value& value) {
  if (value.is_null()) return "";
  if (value.is_string()) return std::string(value.get_string());
  return json::serialize(value);
}

}  // namespace

json::object ParseObject(const std::string& body) {
  json::error_code error;
  json::value parsed = json::parse(body, error);
  if (error || !parsed.is_object()) return {};
  return parsed.get_object();
}

std::string TextOf(const json::object& object, const char* name) {
  const json::value* value = object.if_contains(name);
  return value == nullptr ? std::string() : PlainText(*value);
}

std::vector<std::string> TextsOf(const json::object& object, const char* name) {
  std::vector<std::string> texts;
  const json::value* value = object.if_contains(name);
  if (value == nullptr || !value->is_array()) return texts;
  for (const json::value& item : value->get_array()) {
    texts.push_back(PlainText(item));
  }
  return texts;
}

std::string WithLineEnd(const std::string& body) {
  return body.empty() || body.back() != '\n' ? body + "\n" : body;
}

}  // namespace tarragon::ctl
