#ifndef TARRAGON_HTTP_SESSION_H_
#define TARRAGON_HTTP_SESSION_H_

#include <cstddef>
#include <cstdint>
#include <list>
#include <memory>
#include <optional>
#include <string>

#include "convert.h"
#include "net.h"
#include "server_state.h"
#include "watchdog.h"

namespace tarragon::http {

/// One accepted connection: reads a request, has it handled, writes the
/// response, and begins again. Later pipelined requests wait in the buffers.
class Session : public std::enable_shared_from_this<Session> {
 public:
  Session(std::shared_ptr<ServerState> server, Socket socket);

  /// Serves the connection.
  void Start();
  /// Answers 503 without reading and closes.
  void Refuse();
  /// Closes the connection now. A client that is sending a request is told that
  /// it has not run, unless that would need waiting.
  void Shed();
  /// Closes the connection now if no request has begun to arrive.
  void CloseIfIdle();
  /// Closes the connection now.
  void Close();
  /// Answers the request `number`, unless it has been answered or is gone.
  void Answer(std::uint64_t number, Response response);

 private:
  enum class Phase : std::uint8_t {
    kWaiting,   // No byte of a request is there.
    kReading,   // A request arrives.
    kHandling,  // The handler has it.
    kWriting,   // The response is written.
    kLingering  // The sending side is closed; the peer's bytes are dropped.
  };
  /// Among the sessions that are replaceable.
  enum class Turn : std::uint8_t { kFirst, kLast };
  using Parser = beast_http::request_parser<beast_http::string_body>;
  using Serializer = beast_http::response_serializer<beast_http::string_body>;

  void InitWatchdog();
  void WaitForRequest();
  void OnReadable(ErrorCode error);
  void ReadHeader();
  void OnHeader();
  void Continue();
  void ReadBody();
  /// Reads into the buffer and parses what comes, until the header or the whole
  /// request is there.
  void ReadMore();
  void OnRead(ErrorCode error, std::size_t size);
  void Parse();
  void OnReadError(ErrorCode error);
  /// Tells the quota what the session holds. False if the session was closed
  /// for it.
  bool UpdateAccount();
  std::size_t HeldBytes() const;
  void FreeForMemory();
  /// Lets a new connection take the place of this one.
  void MakeReplaceable(Turn turn);
  void KeepPlace();
  void Dispatch();
  void WatchForLeave();
  bool PeerHasLeft();
  void Leave();
  void AnswerError(int status, const char* reason, const char* detail);
  void Write(Response response);
  void OnWritten(ErrorCode error);
  void Linger();
  void DropInput();
  void OnExpired();
  bool HasInput();
  void BeginRequest();
  void EndRequest();

  std::shared_ptr<ServerState> server_;
  Socket socket_;
  core::MemoryAccount account_;
  /// Where this session stands in ServerState::replaceable, if it is there.
  std::optional<std::list<Session*>::iterator> place_;
  std::string peer_;
  std::shared_ptr<Watchdog> watchdog_;
  beast::flat_buffer buffer_;
  std::optional<Parser> parser_;
  /// What the fields of the parsed header take.
  std::size_t field_bytes_ = 0;
  std::optional<BeastResponse> response_;
  std::optional<Serializer> serializer_;
  Phase phase_ = Phase::kWaiting;
  /// Number of the present request, from one.
  std::uint64_t request_ = 0;
  unsigned version_ = 11;
  bool closed_ = false;
  bool refusing_ = false;
  bool request_open_ = false;
  bool read_timed_out_ = false;
  bool keep_alive_ = false;
  bool head_ = false;
  bool watching_leave_ = false;
  /// Request::id of the present request.
  std::uint64_t request_id_ = 0;
};

}  // namespace tarragon::http

#endif  // TARRAGON_HTTP_SESSION_H_
