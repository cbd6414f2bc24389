#ifndef TARRAGON_HTTP_RESPONDER_H_
#define TARRAGON_HTTP_RESPONDER_H_

#include <cstdint>
#include <memory>

#include "tarragon/http/server.h"

namespace tarragon::http {

class Session;

/// The responder of the request `number` of `session`. It does not keep the
/// session alive.
Responder MakeResponder(const std::shared_ptr<Session>& session,
                        std::uint64_t number);

}  // namespace tarragon::http

#endif  // TARRAGON_HTTP_RESPONDER_H_
