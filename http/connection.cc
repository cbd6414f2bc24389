#include "connection.h"

#include <algorithm>
#include <utility>

namespace tarragon::http {
namespace {

constexpr std::size_t kMaxResponseHeaderBytes = std::size_t{16} * 1024;
constexpr int kSwitchingProtocols = 101;

bool IsInterim(unsigned status) {
  return status / 100 == 1 && status != kSwitchingProtocols;
}

}  // namespace

Connection::Connection(std::shared_ptr<ClientState> client,
                       core::Address address, Tcp::endpoint endpoint)
    : client_(std::move(client)),
      address_(std::move(address)),
      endpoint_(std::move(endpoint)),
      socket_(client_->io->get_executor()),
      buffer_(kMaxReadBytes) {}

void Connection::Run(Exchange exchange) {
  ++generation_;
  write_done_ = false;
  nothing_sent_ = false;
  exchange_.emplace(std::move(exchange));
  if (phase_ == Phase::kConnecting) return Connect();
  reused_ = true;
  ErrorCode ignored;
  socket_.cancel(ignored);  // The wait of the idle time.
  Transmit();
}

void Connection::Connect() {
  watchdog_ =
      std::make_shared<Watchdog>(*client_->io, [weak = weak_from_this()] {
        if (const std::shared_ptr<Connection> self = weak.lock()) {
          self->OnExpired();
        }
      });
  watchdog_->SetAt(std::min(exchange_->deadline,
                            MomentAfter(client_->limits.connect_timeout)));
  socket_.async_connect(endpoint_,
                        [self = shared_from_this()](ErrorCode error) {
                          if (self->phase_ == Phase::kConnecting)
                            self->OnConnected(error);
                        });
}

void Connection::OnConnected(ErrorCode error) {
  if (error) {
    return Fail(HttpErrorKind::kNotSent, "Connect: " + error.message() + ".",
                error == asio::error::connection_refused);
  }
  // The system may connect a socket to itself when nobody listens on a port
  // that it also hands out to clients.
  ErrorCode ignored;
  if (socket_.local_endpoint(ignored) == endpoint_) {
    return Fail(HttpErrorKind::kNotSent, "Connect: nobody listens.", true);
  }
  socket_.set_option(Tcp::no_delay(true), ignored);
  Transmit();
}

/// Reads while it writes, since a peer may answer before it has read all.
void Connection::Transmit() {
  phase_ = Phase::kExchanging;
  watchdog_->SetAt(exchange_->deadline);
  buffer_.reserve(kFirstReadBytes);
  beast_http::async_write(
      socket_, *exchange_->request,
      [self = shared_from_this(), request = exchange_->request,
       generation = generation_](ErrorCode error, std::size_t written) {
        if (self->generation_ == generation) self->OnWritten(error, written);
      });
  ReadHeader();
}

void Connection::OnWritten(ErrorCode error, std::size_t written) {
  if (!error) {
    write_done_ = true;
    return;
  }
  // The peer may have answered before it closed: the read tells.
  nothing_sent_ = written == 0;
}

void Connection::ReadHeader() {
  parser_.emplace();
  parser_->header_limit(kMaxResponseHeaderBytes);
  parser_->body_limit(client_->limits.max_response_bytes);
  parser_->skip(exchange_->request->method() == beast_http::verb::head);
  beast_http::async_read_header(
      socket_, buffer_, *parser_,
      [self = shared_from_this(), generation = generation_](ErrorCode error,
                                                            std::size_t) {
        if (self->generation_ == generation) self->OnHeader(error);
      });
}

void Connection::OnHeader(ErrorCode error) {
  if (error) return OnRead(error);
  if (IsInterim(parser_->get().result_int())) return ReadHeader();
  if (parser_->is_done()) return OnRead(error);
  if (parser_->need_eof()) {
    return Fail(HttpErrorKind::kNoAnswer, "The answer states no length.");
  }
  const std::size_t expected = static_cast<std::size_t>(
      parser_->content_length().value_or(kMaxReadBytes));
  buffer_.reserve(std::min(std::max(expected, kFirstReadBytes), kMaxReadBytes));
  beast_http::async_read(socket_, buffer_, *parser_,
                         [self = shared_from_this(), generation = generation_](
                             ErrorCode failure, std::size_t) {
                           if (self->generation_ == generation)
                             self->OnRead(failure);
                         });
}

void Connection::OnRead(ErrorCode error) {
  if (!error) return OnAnswer();
  if (error == beast_http::error::body_limit ||
      error == beast_http::error::header_limit ||
      error == beast_http::error::buffer_overflow) {
    return Fail(HttpErrorKind::kTooLarge, "The answer is too long.");
  }
  Fail(FailureKind(), "Read: " + error.message() + ".");
}

void Connection::OnAnswer() {
  BeastResponse message = parser_->release();
  parser_.reset();
  const bool reuse = message.keep_alive() && write_done_ && buffer_.size() == 0;
  const Exchange ended = TakeExchange();
  if (reuse) {
    GoIdle();
  } else {
    Close();
  }
  ended.done(ToResponse(std::move(message)), HttpError());
}

void Connection::GoIdle() {
  phase_ = Phase::kIdle;
  buffer_.shrink_to_fit();
  if (!AddIdle(client_.get(), shared_from_this())) return Close();
  answered_at_ = std::chrono::steady_clock::now();
  idle_until_ = MomentAfter(client_->limits.max_idle_age);
  watchdog_->SetAt(idle_until_);
  socket_.async_wait(Socket::wait_read, [self = shared_from_this(),
                                         generation = generation_](ErrorCode) {
    if (self->generation_ != generation) return;
    RemoveIdle(self->client_.get(), *self);
    self->Close();
  });
}

bool Connection::Reusable() {
  if (phase_ != Phase::kIdle) return false;
  if (std::chrono::steady_clock::now() >= idle_until_) return false;
  // The wait may not have told yet of a close that has arrived.
  char byte = 0;
  ErrorCode error;
  socket_.non_blocking(true, error);
  if (error) return false;
  socket_.receive(asio::buffer(&byte, 1), Socket::message_peek, error);
  return error == asio::error::would_block;
}

void Connection::OnExpired() {
  if (phase_ == Phase::kIdle) {
    RemoveIdle(client_.get(), *this);
    return Close();
  }
  if (phase_ == Phase::kConnecting) {
    return Fail(HttpErrorKind::kNotSent, "Connect: timed out.");
  }
  // A path that has silently broken breaks all connections that use it.
  CloseIdleSince(client_.get(), address_, exchange_->sent_at);
  Fail(FailureKind(), reused_ ? "The answer timed out on a reused connection."
                              : "The answer timed out.");
}

HttpErrorKind Connection::FailureKind() const {
  const bool unsent = phase_ == Phase::kConnecting || nothing_sent_;
  return unsent ? HttpErrorKind::kNotSent : HttpErrorKind::kNoAnswer;
}

void Connection::Fail(HttpErrorKind kind, const std::string& text,
                      bool refused) {
  const Exchange ended = TakeExchange();
  Close();
  ended.done(std::nullopt, HttpError{kind, text, refused});
}

void Connection::Cancel() {
  const HttpErrorKind kind = FailureKind();
  PostFailure(client_, kind, "The request was cancelled.", TakeExchange().done);
  Close();
}

Exchange Connection::TakeExchange() {
  Exchange ended = std::move(*exchange_);
  exchange_.reset();
  ++generation_;
  client_->busy.erase(ended.id);
  return ended;
}

void Connection::Close() {
  phase_ = Phase::kClosed;
  ++generation_;
  if (watchdog_) watchdog_->Stop();
  ErrorCode ignored;
  socket_.close(ignored);
}

}  // namespace tarragon::http
