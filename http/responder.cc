#include "responder.h"

#include <utility>

#include "session.h"

namespace tarragon::http {
namespace {

/// Shared by all copies of one responder.
class Ticket {
 public:
  Ticket(std::weak_ptr<Session> session, std::uint64_t number)
      : session_(std::move(session)), number_(number) {}
  Ticket(const Ticket&) = delete;
  Ticket& operator=(const Ticket&) = delete;

  /// A request that its handler has forgotten must not wait for ever.
  ~Ticket() {
    if (used_) return;
    Response response;
    response.status = 500;
    Use(std::move(response));
  }

  void Use(Response response) {
    used_ = true;
    const std::shared_ptr<Session> session = session_.lock();
    session_.reset();
    if (session) session->Answer(number_, std::move(response));
  }

 private:
  std::weak_ptr<Session> session_;
  std::uint64_t number_;
  bool used_ = false;
};

}  // namespace

Responder MakeResponder(const std::shared_ptr<Session>& session,
                        std::uint64_t number) {
  return [ticket = std::make_shared<Ticket>(session, number)](
             Response response) { ticket->Use(std::move(response)); };
}

}  // namespace tarragon::http
