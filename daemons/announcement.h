#ifndef TARRAGON_DAEMONS_ANNOUNCEMENT_H_
#define TARRAGON_DAEMONS_ANNOUNCEMENT_H_

#include <optional>
#include <string>

#include "job_json.h"
#include "tarragon/dispatch/agent_board.h"

namespace tarragon::daemons {

/// Parses the body of a target's announcement. `foreign_running` of the result
/// counts all tasks that the target reports as running, those of this agent
/// included. Returns nothing and sets `reason` if the body is invalid.
std::optional<dispatch::Target> ParseAnnouncement(const std::string& body,
                                                  RequestError* reason);

}  // namespace tarragon::daemons

#endif  // TARRAGON_DAEMONS_ANNOUNCEMENT_H_
