#ifndef TARRAGON_CTL_TESTS_FAKE_PEER_H_
#define TARRAGON_CTL_TESTS_FAKE_PEER_H_

#include <deque>
#include <optional>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include "tarragon/ctl/commands.h"
#include "tarragon/ctl/peer.h"

namespace tarragon::ctl {

/// Answers calls from a script and records them. A call without an answer in
/// the script, or with an empty one, is lost. Time passes only in sleeps and
/// lost calls.
class FakePeer {
 public:
  struct Call {
    core::Address address;
    http::Request request;
    core::Duration timeout{0};
  };

  void AddAnswer(int status, std::string body) {
    http::Response response;
    response.status = status;
    response.body = std::move(body);
    answers_.emplace_back(std::move(response));
  }
  void AddLost() { answers_.emplace_back(std::nullopt); }
  /// How long a lost call takes.
  void set_loss_time(core::Duration time) { loss_time_ = time; }

  /// Runs a command against this peer. Returns its exit code.
  int Run(const Options& options) {
    return RunCommand(options, Interface(), {out_, err_});
  }

  const std::vector<Call>& calls() const { return calls_; }
  std::string out() const { return out_.str(); }
  std::string err() const { return err_.str(); }

 private:
  Peer Interface() {
    Peer peer;
    peer.call = [this](const core::Address& address,
                       const http::Request& request, core::Duration timeout,
                       http::HttpError* reason) {
      return Answer({address, request, timeout}, reason);
    };
    peer.sleep = [this](core::Duration pause) { clock_.Advance(pause); };
    peer.now = [this] { return clock_.Now(); };
    return peer;
  }

  std::optional<http::Response> Answer(Call call, http::HttpError* reason) {
    calls_.push_back(std::move(call));
    std::optional<http::Response> answer;
    if (!answers_.empty()) {
      answer = std::move(answers_.front());
      answers_.pop_front();
    }
    if (answer) return answer;
    clock_.Advance(loss_time_);
    *reason = {http::HttpErrorKind::kNoAnswer, "The connection closed."};
    return std::nullopt;
  }

  core::ManualClock clock_;
  core::Duration loss_time_{0};
  std::deque<std::optional<http::Response>> answers_;
  std::vector<Call> calls_;
  std::ostringstream out_;
  std::ostringstream err_;
};

}  // namespace tarragon::ctl

#endif  // TARRAGON_CTL_TESTS_FAKE_PEER_H_
