#ifndef TARRAGON_WIRE_HTTP2_SESSION_H_
#define TARRAGON_WIRE_HTTP2_SESSION_H_

#include <nghttp2/nghttp2.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "frame.h"
#include "hello.h"
#include "tarragon/core/ids.h"
#include "tarragon/dispatch/message.h"
#include "tarragon/wire/error.h"

namespace tarragon::wire {

/// Which end of a connection a process is.
enum class Role : std::uint8_t { kDialler, kListener };

/// How far the two ends know each other.
enum class Greeting : std::uint8_t {
  kPending,      // Not every stream is open.
  kDone,         // Messages may flow; the peer is known.
  kMisdirected,  // The listener is not the incarnation that the dialler wants.
};

/// A message that has arrived.
struct Inbound {
  dispatch::Message message;
  /// Size of its frame, with the length.
  std::size_t bytes = 0;
};

/// One HTTP/2 connection without its socket: bytes go in and come out. It calls
/// nothing outside, so that it may be used at any time.
class Http2Session {
 public:
  /// `self` is this process. `expects` matters to a dialler only; zero means
  /// whoever answers.
  Http2Session(Role role, core::NodeId self, core::Incarnation expects,
               std::size_t max_frame_bytes);
  ~Http2Session();
  Http2Session(const Http2Session&) = delete;
  Http2Session& operator=(const Http2Session&) = delete;

  /// Takes bytes from the socket and adds the messages that they complete.
  /// False, with a reason, if the peer breaks the protocol; the session is then
  /// of no more use.
  bool Receive(std::string_view bytes, std::vector<Inbound>* messages,
               WireError* reason);

  /// Appends bytes for the socket until about `limit` bytes are there or no
  /// more can be sent now. False as for Receive.
  bool Collect(std::size_t limit, std::string* out, WireError* reason);

  /// Queues a frame behind the others of its stream.
  void Queue(Channel channel, std::string frame);

  /// Ends both streams behind what is queued.
  void EndSending();

  Greeting greeting() const { return greeting_; }
  /// The peer completes a report that leaves out its target. False until the
  /// peer has said so in its greeting.
  bool reads_repeated_targets() const { return reads_repeated_targets_; }
  /// Who is at the other end; set once the greeting is not pending.
  const core::NodeId& peer() const { return peer_; }
  /// The peer will send no more on at least one stream.
  bool remote_ending() const;
  /// Both ends of both streams have ended.
  bool finished() const;
  std::size_t queued_bytes() const;
  std::size_t queued_frames() const;
  /// Memory of the messages that have arrived in part.
  std::size_t unfinished_bytes() const;

 private:
  /// One of the two streams.
  struct Stream {
    explicit Stream(std::size_t max_frame_bytes) : reader(max_frame_bytes) {}

    std::int32_t id = 0;
    bool greeted = false;
    bool local_ended = false;
    bool remote_ended = false;
    FrameReader reader;
    FrameQueue queue;
  };

  // Callbacks of nghttp2; `user_data` is the session.
  static int OnHeader(nghttp2_session* session, const nghttp2_frame* frame,
                      const std::uint8_t* name, std::size_t name_length,
                      const std::uint8_t* value, std::size_t value_length,
                      std::uint8_t flags, void* user_data);
  static int OnFrame(nghttp2_session* session, const nghttp2_frame* frame,
                     void* user_data);
  static int OnData(nghttp2_session* session, std::uint8_t flags,
                    std::int32_t stream_id, const std::uint8_t* data,
                    std::size_t length, void* user_data);
  static int OnStreamClose(nghttp2_session* session, std::int32_t stream_id,
                           std::uint32_t error_code, void* user_data);
  static int OnBeforeSend(nghttp2_session* session, const nghttp2_frame* frame,
                          void* user_data);
  static ssize_t OnReadData(nghttp2_session* session, std::int32_t stream_id,
                            std::uint8_t* buffer, std::size_t length,
                            std::uint32_t* data_flags,
                            nghttp2_data_source* source, void* user_data);

  static nghttp2_session_callbacks* MakeCallbacks();
  void Open();
  void SendSettings();
  void SendRequests(core::Incarnation expects);
  bool HandleHeaders(const nghttp2_frame& frame);
  bool HandleRequest(std::int32_t stream_id);
  bool HandleResponse(std::int32_t stream_id);
  bool HandleMisdirected();
  bool HandleEnd(std::int32_t stream_id);
  bool HandleData(std::int32_t stream_id, std::string_view data);
  bool SendOk(std::int32_t stream_id);
  bool SendMisdirected(std::int32_t stream_id);
  /// Notes the greeting of one stream; false if the streams disagree.
  bool Greet(Stream* stream, const core::NodeId& node);
  bool Violate(const char* detail);
  Stream& At(Channel channel);
  /// Null if no stream has the id.
  Stream* Find(std::int32_t stream_id);

  Role role_;
  core::NodeId self_;
  core::NodeId peer_;
  Greeting greeting_ = Greeting::kPending;
  bool ending_ = false;
  /// Why the session is of no more use.
  WireError reason_;
  std::array<Stream, kChannels> streams_;
  bool reads_repeated_targets_ = false;
  /// The last report that was received, which completes the next one.
  std::optional<coordinator::TargetReport> last_report_;
  /// Headers of the block that is being read; blocks never interleave.
  HelloHeaders headers_;
  /// Where Receive puts messages while it runs.
  std::vector<Inbound>* inbox_ = nullptr;
  nghttp2_session* session_ = nullptr;
};

}  // namespace tarragon::wire

#endif  // TARRAGON_WIRE_HTTP2_SESSION_H_
