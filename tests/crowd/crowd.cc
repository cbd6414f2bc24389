#include "crowd.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <cstddef>
#include <utility>

namespace tarragon::crowd {
namespace {

using boost::asio::ip::tcp;
using ErrorCode = boost::system::error_code;

/// Most bytes of one write, so that the clients take turns.
constexpr std::size_t kWriteBytes = std::size_t{64} * 1024;
/// Receive buffer of a client that does not read, so that what it is sent fills
/// the server's send buffer.
constexpr int kUnreadBytes = 4096;

}  // namespace

class Crowd::Client : public std::enable_shared_from_this<Client> {
 public:
  Client(boost::asio::io_context& io, tcp::endpoint server,
         std::shared_ptr<const CrowdPlan> plan, int number)
      : io_(io),
        server_(std::move(server)),
        plan_(std::move(plan)),
        socket_(io),
        connections_left_(plan_->connections),
        head_(plan_->head ? plan_->head(number) : std::string()),
        rest_(plan_->rests.empty()
                  ? plan_->rest
                  : plan_->rests[static_cast<std::size_t>(number) %
                                 plan_->rests.size()]) {}

  void Connect() {
    --connections_left_;
    ++connection_;
    sent_ = 0;
    socket_ = tcp::socket(io_);
    ErrorCode ignored;
    socket_.open(server_.protocol(), ignored);
    if (!plan_->reads) {
      socket_.set_option(
          boost::asio::socket_base::receive_buffer_size(kUnreadBytes), ignored);
    }
    socket_.async_connect(server_,
                          [self = shared_from_this(),
                           connection = connection_](const ErrorCode& error) {
                            if (connection != self->connection_) return;
                            self->has_arrived_ = true;
                            if (error) return self->OnClosed();
                            self->is_open_ = true;
                            self->Write();
                            if (self->plan_->reads) self->Read();
                          });
  }

  void Leave() {
    connections_left_ = 0;
    OnClosed();
  }

  bool has_arrived() const { return has_arrived_; }
  bool is_settled() const { return is_settled_; }
  bool is_open() const { return is_open_; }

 private:
  void Write() {
    std::size_t at = sent_;
    const std::string* text = &head_;
    if (at >= head_.size()) {
      at -= head_.size();
      if (plan_->endless) at %= rest_.size();
      text = &rest_;
    }
    if (at >= text->size()) {
      is_settled_ = true;
      return;
    }
    socket_.async_write_some(
        boost::asio::buffer(text->data() + at,
                            std::min(text->size() - at, kWriteBytes)),
        [self = shared_from_this(), connection = connection_](
            const ErrorCode& error, std::size_t size) {
          if (connection != self->connection_) return;
          if (error) return self->OnClosed();
          self->sent_ += size;
          self->Write();
        });
  }

  void Read() {
    socket_.async_read_some(
        boost::asio::buffer(input_),
        [self = shared_from_this(), connection = connection_](
            const ErrorCode& error, std::size_t /*size*/) {
          if (connection != self->connection_) return;
          if (error) return self->OnClosed();
          self->Read();
        });
  }

  void OnClosed() {
    ++connection_;
    is_open_ = false;
    ErrorCode ignored;
    socket_.close(ignored);
    if (connections_left_ == 0) {
      is_settled_ = true;
      return;
    }
    boost::asio::post(io_, [self = shared_from_this()] {
      if (self->connections_left_ > 0) self->Connect();
    });
  }

  boost::asio::io_context& io_;
  tcp::endpoint server_;
  std::shared_ptr<const CrowdPlan> plan_;
  tcp::socket socket_;
  int connections_left_;
  /// Rises with each connection and each close, so that handlers of an earlier
  /// connection are told apart.
  int connection_ = 0;
  std::string head_;
  /// Part of the plan.
  const std::string& rest_;
  std::size_t sent_ = 0;
  std::array<char, 1024> input_{};
  bool has_arrived_ = false;
  bool is_settled_ = false;
  bool is_open_ = false;
};

Crowd::Crowd(boost::asio::io_context& io, tcp::endpoint server,
             CrowdPlan plan) {
  const auto shared = std::make_shared<const CrowdPlan>(std::move(plan));
  for (int i = 0; i < shared->clients; ++i) {
    clients_.push_back(std::make_shared<Client>(io, server, shared, i));
  }
}

Crowd::~Crowd() { Leave(); }

void Crowd::Start() {
  for (const std::shared_ptr<Client>& client : clients_) client->Connect();
}

void Crowd::Leave() {
  for (const std::shared_ptr<Client>& client : clients_) client->Leave();
}

bool Crowd::HasArrived() const {
  return std::all_of(clients_.begin(), clients_.end(),
                     [](const auto& client) { return client->has_arrived(); });
}

bool Crowd::IsSettled() const {
  return std::all_of(clients_.begin(), clients_.end(),
                     [](const auto& client) { return client->is_settled(); });
}

int Crowd::open_connections() const {
  return static_cast<int>(
      std::count_if(clients_.begin(), clients_.end(),
                    [](const auto& client) { return client->is_open(); }));
}

}  // namespace tarragon::crowd
