#include "session.h"

#include <algorithm>
#include <sstream>
#include <string_view>
#include <utility>

#include "responder.h"
#include "tarragon/http/status.h"

namespace tarragon::http {
namespace {

/// How long a connection is kept after its last response, so that the peer
/// reads the response before a reset can discard it.
constexpr core::Duration kLingerTime = std::chrono::seconds(2);

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
constexpr unsigned kHttp11 = 11;

/// What a session holds besides its buffers.
constexpr std::size_t kSessionBytes = 2048;
/// What one header field takes besides its name and value.
constexpr std::size_t kFieldBytes = 64;
/// Least room for one read.
constexpr std::size_t kMinReadBytes = 512;

struct Refusal {
  int status;
  const char* reason;
  const char* detail;
};

Refusal RefusalFor(ErrorCode error) {
  if (error == beast_http::error::header_limit ||
      error == beast_http::error::buffer_overflow) {
    return {431, "too_large", "The header is too long."};
  }
  if (error == beast_http::error::body_limit) {
    return {413, "too_large", "The body is too long."};
  }
  return {400, "bad_request", "The request is malformed."};
}

/// Whether the peer sent bytes that are no request, rather than vanished.
bool IsProtocolError(ErrorCode error) {
  const ErrorCode parse_error = beast_http::error::bad_method;
  return error.category() == parse_error.category() &&
         error != beast_http::error::end_of_stream &&
         error != beast_http::error::partial_message;
}

Response MakeOverloadResponse(const char* detail) {
  Response response;
  response.status = kStatusUnavailable;
  response.headers["Retry-After"] = "1";
  response.body =
      std::string(
          R"({"outcome":"not_run","reason":"overload","retry_after_ms":1000,)"
          R"("detail":")") +
      detail + "\"}";
  return response;
}

/// The bytes of the answer to a client that must make place.
const std::string& ShedAnswer() {
  static const std::string text = [] {
    std::ostringstream out;
    out << ToBeast(MakeOverloadResponse("The clients hold too much."), kHttp11,
                   false);
    return out.str();
  }();
  return text;
}

std::string_view BufferedText(const beast::flat_buffer& buffer) {
  return {static_cast<const char*>(buffer.data().data()), buffer.size()};
}

/// Whether a header that begins with `text` has more fields than `most`.
bool HasMoreFields(std::string_view text, std::size_t most) {
  // The request line comes first.
  std::size_t lines = 0;
  std::size_t begin = 0;
  for (std::size_t end = text.find('\n'); end != std::string_view::npos;
       end = text.find('\n', begin)) {
    const bool empty = end - begin <= 1;
    if (empty && lines > 0) return false;
    if (++lines > most + 1) return true;
    begin = end + 1;
  }
  return false;
}

std::size_t BytesOf(const beast_http::fields& fields) {
  std::size_t bytes = 0;
  for (const beast_http::fields::value_type& field : fields) {
    bytes += kFieldBytes + field.name_string().size() + field.value().size();
  }
  return bytes;
}

}  // namespace

Session::Session(std::shared_ptr<ServerState> server, Socket socket)
    : server_(std::move(server)),
      socket_(std::move(socket)),
      account_(server_->quota, [this] { FreeForMemory(); }),
      buffer_(std::max(server_->limits.max_header_bytes, kMaxReadBytes)) {}

void Session::InitWatchdog() {
  watchdog_ =
      std::make_shared<Watchdog>(*server_->io, [weak = weak_from_this()] {
        if (const std::shared_ptr<Session> self = weak.lock()) {
          self->OnExpired();
        }
      });
}

void Session::Start() {
  InitWatchdog();
  ErrorCode ignored;
  socket_.set_option(Tcp::no_delay(true), ignored);
  ErrorCode error;
  const Tcp::endpoint peer = socket_.remote_endpoint(error);
  if (error) return Close();
  peer_ = ToAddress(peer).value();
  MakeReplaceable(Turn::kLast);
  WaitForRequest();
}

void Session::Refuse() {
  InitWatchdog();
  refusing_ = true;
  ++server_->refusing;
  Write(MakeOverloadResponse("Too many connections."));
}

void Session::Shed() {
  const bool sends_request =
      phase_ == Phase::kReading ||
      (phase_ == Phase::kWaiting && (request_ == 0 || HasInput()));
  if (sends_request) {
    ErrorCode ignored;
    socket_.non_blocking(true, ignored);
    socket_.write_some(asio::buffer(ShedAnswer()), ignored);
  }
  Close();
}

void Session::FreeForMemory() {
  const std::shared_ptr<Session> self = shared_from_this();
  ++server_->counters.closed_for_memory;
  if (phase_ == Phase::kHandling && server_->gone) {
    // Not from within the event of another session.
    asio::post(*server_->io,
               [server = server_, id = request_id_] { server->gone(id); });
  }
  Shed();
  // Handlers that are under way keep the session for a while.
  buffer_.clear();
  buffer_.shrink_to_fit();
  parser_.reset();
}

bool Session::UpdateAccount() {
  if (!closed_) account_.Set(HeldBytes());
  return !closed_;
}

std::size_t Session::HeldBytes() const {
  std::size_t bytes = kSessionBytes + buffer_.capacity();
  if (parser_.has_value()) {
    bytes += parser_->get().body().capacity() + field_bytes_;
  }
  if (response_.has_value()) bytes += response_->body().capacity();
  return bytes;
}

void Session::MakeReplaceable(Turn turn) {
  KeepPlace();
  std::list<Session*>& all = server_->replaceable;
  place_ = all.insert(turn == Turn::kFirst ? all.begin() : all.end(), this);
}

void Session::KeepPlace() {
  if (!place_.has_value()) return;
  server_->replaceable.erase(*place_);
  place_.reset();
}

void Session::CloseIfIdle() {
  if (phase_ != Phase::kWaiting) return;
  if (HasInput()) return BeginRequest();
  // A client that has only just connected is about to send its request.
  if (request_ > 0) Close();
}

bool Session::HasInput() {
  ErrorCode error;
  const std::size_t unread = socket_.available(error);
  return buffer_.size() > 0 || (!error && unread > 0);
}

void Session::Close() {
  if (closed_) return;
  closed_ = true;
  EndRequest();
  KeepPlace();
  account_.Set(0);
  if (refusing_) --server_->refusing;
  if (watchdog_) watchdog_->Stop();
  ErrorCode ignored;
  socket_.close(ignored);
  server_->sessions.erase(shared_from_this());
}

void Session::BeginRequest() {
  if (request_open_) return;
  request_open_ = true;
  ++server_->open_requests;
}

void Session::EndRequest() {
  if (!request_open_) return;
  request_open_ = false;
  --server_->open_requests;
}

void Session::WaitForRequest() {
  phase_ = Phase::kWaiting;
  if (buffer_.size() > 0) return ReadHeader();
  buffer_.shrink_to_fit();
  if (!UpdateAccount()) return;
  const ServerLimits& limits = server_->limits;
  watchdog_->SetAfter(request_ == 0 ? limits.header_timeout
                                    : limits.idle_timeout);
  socket_.async_wait(Socket::wait_read,
                     [self = shared_from_this()](ErrorCode error) {
                       self->OnReadable(error);
                     });
}

void Session::OnReadable(ErrorCode error) {
  if (closed_) return;
  if (error) return Close();
  ReadHeader();
}

void Session::ReadHeader() {
  BeginRequest();
  phase_ = Phase::kReading;
  read_timed_out_ = false;
  head_ = false;
  field_bytes_ = 0;
  parser_.emplace();
  parser_->header_limit(
      static_cast<std::uint32_t>(server_->limits.max_header_bytes));
  parser_->body_limit(server_->limits.max_body_bytes);
  buffer_.reserve(std::min(kFirstReadBytes, buffer_.max_size()));
  watchdog_->SetAfter(server_->limits.header_timeout);
  Parse();
}

void Session::OnHeader() {
  if (parser_->is_done()) return Dispatch();
  field_bytes_ = BytesOf(parser_->get());
  parser_->eager(true);
  const beast::string_view expect = parser_->get()[beast_http::field::expect];
  if (beast::iequals(expect, "100-continue")) return Continue();
  ReadBody();
}

void Session::Continue() {
  if (!UpdateAccount()) return;
  watchdog_->SetAfter(server_->limits.body_timeout);
  asio::async_write(socket_, asio::buffer(kContinue),
                    [self = shared_from_this()](ErrorCode error, std::size_t) {
                      if (self->closed_) return;
                      if (error) return self->OnReadError(error);
                      self->ReadBody();
                    });
}

void Session::ReadBody() {
  read_timed_out_ = false;
  watchdog_->SetAfter(server_->limits.body_timeout);
  Parse();
}

void Session::Parse() {
  while (buffer_.size() > 0) {
    const bool had_header = parser_->is_header_done();
    // Found before the parser makes an object of each field.
    if (!had_header && HasMoreFields(BufferedText(buffer_),
                                     server_->limits.max_header_fields)) {
      return OnReadError(beast_http::error::header_limit);
    }
    ErrorCode error;
    buffer_.consume(parser_->put(buffer_.data(), error));
    if (error == beast_http::error::need_more) break;
    if (error) return OnReadError(error);
    if (!had_header && parser_->is_header_done()) return OnHeader();
    if (parser_->is_done()) return Dispatch();
  }
  ReadMore();
}

void Session::ReadMore() {
  const std::size_t room = buffer_.max_size() - buffer_.size();
  if (room == 0) return OnReadError(beast_http::error::buffer_overflow);
  // A long body gets a larger buffer as it comes, not as it is announced.
  const std::size_t wanted = std::min(
      kMaxReadBytes, std::max(kFirstReadBytes, parser_->get().body().size()));
  buffer_.reserve(std::min(wanted, buffer_.max_size()));
  const std::size_t free = buffer_.capacity() - buffer_.size();
  const auto space =
      buffer_.prepare(std::min(room, std::max(kMinReadBytes, free)));
  if (!UpdateAccount()) return;
  socket_.async_read_some(
      space, [self = shared_from_this()](ErrorCode error, std::size_t size) {
        self->OnRead(error, size);
      });
}

void Session::OnRead(ErrorCode error, std::size_t size) {
  if (closed_) return;
  if (error) return OnReadError(error);
  buffer_.commit(size);
  Parse();
}

void Session::OnReadError(ErrorCode error) {
  if (read_timed_out_) {
    return AnswerError(408, "bad_request", "The request came too slowly.");
  }
  if (!IsProtocolError(error)) return Close();
  const Refusal refusal = RefusalFor(error);
  AnswerError(refusal.status, refusal.reason, refusal.detail);
}

void Session::Dispatch() {
  watchdog_->Clear();
  // On a busy server a request may be read long after its client has left; the
  // client may have sent it again elsewhere by now.
  if (server_->limits.half_close_is_gone && PeerHasLeft()) return Close();
  ++request_;
  KeepPlace();
  BeastRequest message = parser_->release();
  parser_.reset();
  buffer_.shrink_to_fit();
  if (!UpdateAccount()) return;
  keep_alive_ = message.keep_alive();
  version_ = message.version();
  head_ = message.method() == beast_http::verb::head;
  std::optional<Request> request = ToRequest(std::move(message), peer_);
  if (!request) {
    return AnswerError(400, "bad_request", "The path is malformed.");
  }
  phase_ = Phase::kHandling;
  request_id_ = ++server_->last_request;
  request->id = request_id_;
  // The handler may close the server, and with it this session.
  const std::shared_ptr<Session> self = shared_from_this();
  server_->handler(std::move(*request), MakeResponder(self, request_));
  if (!closed_ && phase_ == Phase::kHandling) WatchForLeave();
}

/// A peer that only closed its sending side may still wait for its answer, but
/// a reset ends both directions. One wait serves all requests of the
/// connection.
void Session::WatchForLeave() {
  if (watching_leave_) return;
  watching_leave_ = true;
  const bool half_close = server_->limits.half_close_is_gone;
  socket_.async_wait(half_close ? Socket::wait_read : Socket::wait_error,
                     [self = shared_from_this()](ErrorCode error) {
                       self->watching_leave_ = false;
                       if (error || self->closed_) return;
                       if (self->phase_ != Phase::kHandling) return;
                       if (self->PeerHasLeft()) self->Leave();
                     });
}

bool Session::PeerHasLeft() {
  if (!server_->limits.half_close_is_gone) return true;
  ErrorCode error;
  char next = 0;
  socket_.non_blocking(true, error);
  socket_.receive(asio::buffer(&next, 1), Socket::message_peek, error);
  // A pipelined request may have come instead.
  return error && error != asio::error::would_block;
}

void Session::Leave() {
  const std::uint64_t id = request_id_;
  const std::shared_ptr<ServerState> server = server_;
  Close();
  if (server->gone) server->gone(id);
}

void Session::Answer(std::uint64_t number, Response response) {
  if (closed_ || number != request_ || phase_ != Phase::kHandling) return;
  if (response.status == 0) return Close();
  Write(std::move(response));
}

void Session::AnswerError(int status, const char* reason, const char* detail) {
  keep_alive_ = false;
  parser_.reset();
  Response response;
  response.status = status;
  response.body = std::string(R"({"outcome":"not_run","reason":")") + reason +
                  R"(","detail":")" + detail + "\"}";
  Write(std::move(response));
}

void Session::Write(Response response) {
  phase_ = Phase::kWriting;
  if (server_->stopping) keep_alive_ = false;
  response_.emplace(ToBeast(std::move(response), version_, keep_alive_));
  if (!LengthMatches(*response_)) keep_alive_ = false;
  serializer_.emplace(*response_);
  if (!UpdateAccount()) return;
  if (!refusing_) MakeReplaceable(Turn::kLast);
  watchdog_->SetAfter(server_->limits.write_timeout);
  const auto written = [self = shared_from_this()](ErrorCode error,
                                                   std::size_t) {
    self->OnWritten(error);
  };
  if (!head_) return beast_http::async_write(socket_, *serializer_, written);
  serializer_->split(true);
  beast_http::async_write_header(socket_, *serializer_, written);
}

void Session::OnWritten(ErrorCode error) {
  if (closed_) return;
  serializer_.reset();
  response_.reset();
  EndRequest();
  if (error) return Close();
  if (!keep_alive_) return Linger();
  if (server_->stopping && !HasInput()) return Linger();
  WaitForRequest();
}

void Session::Linger() {
  phase_ = Phase::kLingering;
  if (!refusing_) MakeReplaceable(Turn::kFirst);
  ErrorCode error;
  socket_.shutdown(Socket::shutdown_send, error);
  if (error) return Close();
  buffer_.clear();
  buffer_.shrink_to_fit();
  if (!UpdateAccount()) return;
  watchdog_->SetAfter(kLingerTime);
  DropInput();
}

void Session::DropInput() {
  socket_.async_read_some(
      buffer_.prepare(kFirstReadBytes),
      [self = shared_from_this()](ErrorCode error, std::size_t) {
        if (self->closed_) return;
        if (error) return self->Close();
        self->DropInput();
      });
}

void Session::OnExpired() {
  if (closed_) return;
  if (phase_ != Phase::kReading) return Close();
  // The pending read ends with an error and sends the answer.
  read_timed_out_ = true;
  ErrorCode ignored;
  socket_.cancel(ignored);
}

}  // namespace tarragon::http
