#ifndef TARRAGON_TESTS_SYSTEM_CUT_PROXY_H_
#define TARRAGON_TESTS_SYSTEM_CUT_PROXY_H_

#include <chrono>
#include <memory>
#include <string>

#include "http_loop.h"

namespace tarragon::system_test {

/// TCP relay in front of the port on which one process listens. It can cut,
/// hold or delay what passes. To be destroyed after the loop has stopped.
class CutProxy {
 public:
  explicit CutProxy(HttpLoop* loop);
  ~CutProxy();
  CutProxy(const CutProxy&) = delete;
  CutProxy& operator=(const CutProxy&) = delete;

  /// The address of the relay, to be told to the others.
  const std::string& address() const { return address_; }
  /// The address on which the process itself is to listen.
  const std::string& inner() const { return inner_; }

  /// Closes all connections; new ones are relayed.
  void Break();
  /// Closes all connections and every new one, until it is turned off.
  void Cut(bool on);
  /// Passes every piece of data on after this time.
  void Delay(std::chrono::milliseconds delay);

 private:
  class State;
  HttpLoop* loop_;
  std::shared_ptr<State> state_;
  std::string address_;
  std::string inner_;
};

}  // namespace tarragon::system_test

#endif  // TARRAGON_TESTS_SYSTEM_CUT_PROXY_H_
