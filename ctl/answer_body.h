#ifndef TARRAGON_CTL_ANSWER_BODY_H_
#define TARRAGON_CTL_ANSWER_BODY_H_

#include <boost/json.hpp>
#include <string>
#include <vector>

namespace tarragon::ctl {

/// The JSON object in `body`; empty if there is none.
boost::json::object ParseObject(const std::string& body);

/// The text under `name`; empty if there is none. Numbers are written out.
std::string TextOf(const boost::json::object& object, const char* name);

/// The texts in the array under `name`; empty if there is none.
std::vector<std::string> TextsOf(const boost::json::object& object,
                                 const char* name);

/// The body with exactly one line end behind it.
std::string WithLineEnd(const std::string& body);

}  // namespace tarragon::ctl

#endif  // TARRAGON_CTL_ANSWER_BODY_H_
