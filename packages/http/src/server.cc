#include "jasminespar/http/server.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http/write.hpp>
#include <optional>
#include <unordered_map>
#include <utility>

#include "jasminespar/clients/client_budget.h"
#include "jasminespar/runtime/clock.h"
#include "jasminespar/runtime/sleep.h"
#include "server_messages.h"

namespace jasminespar::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using clients::ConnectionNumber;
using clients::Phase;
using Tcp = asio::ip::tcp;

namespace {

constexpr Duration kAcceptRetryDelay = 50ms;
constexpr Duration kIdleSweepInterval = 5s;
constexpr std::size_t kMaxPieceBytes = 64U << 10;

/// A buffer larger than this is given back between requests.
constexpr std::size_t kIdleBufferBytes = 4U << 10;

clients::BudgetLimits BudgetOf(const ServerLimits& limits) {
  return {limits.max_held_bytes, limits.max_connections};
}

}  // namespace

class Server::Impl : public std::enable_shared_from_this<Server::Impl> {
 public:
  Impl(asio::io_context& context, const std::string& host, std::uint16_t port,
       const ServerLimits& limits, Handler handler, RejectHandler reject)
      : context_(context),
        acceptor_(context, Tcp::endpoint(asio::ip::make_address(host), port)),
        limits_(limits),
        handler_(std::move(handler)),
        reject_(std::move(reject)),
        sweep_timer_(context),
        budget_(BudgetOf(limits)) {
    port_ = acceptor_.local_endpoint().port();
  }

  void Start() {
    asio::co_spawn(context_, Accept(shared_from_this()), asio::detached);
    asio::co_spawn(context_, SweepIdle(shared_from_this()), asio::detached);
  }

  void StopAccepting() {
    stopping_ = true;
    beast::error_code ignored;
    acceptor_.close(ignored);
    sweep_timer_.cancel();
  }

  void CloseAfterResponses(bool enabled) { close_after_responses_ = enabled; }
  void SetMaxBodyBytes(std::size_t bytes) { limits_.max_body_bytes = bytes; }

  [[nodiscard]] std::size_t requests_in_progress() const {
    return requests_in_progress_;
  }
  [[nodiscard]] std::uint16_t port() const { return port_; }
  [[nodiscard]] std::size_t connections() const { return connections_.size(); }

 private:
  /// One connection; lives in the frame of its Serve().
  struct Connection {
    ConnectionNumber number;
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    bool over_limit = false;
    bool chosen_to_end = false;
    /// Told to the client when it is chosen to end; nothing: it is just closed.
    std::optional<Reason> end_reason = std::nullopt;
  };

  /// A request, or why there is none.
  struct ReadResult {
    std::optional<Request> request;
    bool keep_alive = false;
    std::optional<Reason> reason;
  };

  /// Counts a request as in progress during its own lifetime: from the
  /// request's last byte to the end of its response.
  class InProgress {
   public:
    explicit InProgress(std::atomic<std::size_t>& count) : count_(count) {
      ++count_;
    }
    ~InProgress() { --count_; }
    InProgress(const InProgress&) = delete;
    InProgress& operator=(const InProgress&) = delete;

   private:
    std::atomic<std::size_t>& count_;
  };

  // The coroutines share ownership of the Impl, because they may outlive the
  // Server.
  static asio::awaitable<void> Accept(std::shared_ptr<Impl> self) {
    while (!self->stopping_) {
      beast::error_code error;
      Tcp::socket socket = co_await self->acceptor_.async_accept(
          asio::redirect_error(asio::use_awaitable, error));
      if (error) {
        if (self->stopping_) co_return;
        // Most likely out of file descriptors; an immediate retry would spin.
        self->End(self->budget_.ChooseOldest(0, runtime::SteadyNow()),
                  Reason::kConnectionLimit);
        co_await runtime::Sleep(self->context_, kAcceptRetryDelay);
        continue;
      }
      socket.set_option(Tcp::no_delay(true), error);
      asio::co_spawn(self->context_, Serve(self, std::move(socket)),
                     asio::detached);
    }
  }

  /// Closes the connections that have been idle for too long.
  static asio::awaitable<void> SweepIdle(std::shared_ptr<Impl> self) {
    while (!self->stopping_ || !self->connections_.empty()) {
      self->sweep_timer_.expires_after(std::clamp(
          self->limits_.idle_timeout, kAcceptRetryDelay, kIdleSweepInterval));
      beast::error_code ignored;
      co_await self->sweep_timer_.async_wait(
          asio::redirect_error(asio::use_awaitable, ignored));
      for (const ConnectionNumber idle : self->budget_.ChooseIdleFor(
               self->limits_.idle_timeout, runtime::SteadyNow())) {
        self->End(idle, std::nullopt);
      }
    }
  }

  static asio::awaitable<void> Serve(std::shared_ptr<Impl> self,
                                     Tcp::socket socket) {
    auto state = std::make_shared<ConnectionState>();
    state->number = ++self->last_connection_number_;
    Connection connection{state->number, beast::tcp_stream(std::move(socket)),
                          beast::flat_buffer(self->limits_.max_header_bytes +
                                             self->limits_.max_framing_bytes)};
    self->connections_[connection.number] = &connection;
    try {
      if (self->Admit(connection)) {
        co_await self->ServeRequests(connection, state);
      }
    } catch (const std::exception&) {
      // The connection failed; nothing more can be sent to this peer.
    }
    state->closed = true;
    self->connections_.erase(connection.number);
    self->budget_.Close(connection.number);
  }

  /// Makes room for a new connection if there are too many.
  /// @return false when it is to be closed at once.
  bool Admit(Connection& connection) {
    const TimePoint now = runtime::SteadyNow();
    budget_.Open(connection.number, now);
    if (!budget_.OverConnections()) return true;
    const auto oldest = budget_.ChooseOldest(connection.number, now);
    connection.over_limit = !oldest;
    End(oldest, Reason::kConnectionLimit);
    return connections_.size() <=
           limits_.max_connections + clients::RefusalSlots(budget_.limits());
  }

  /// Ends a connection that the budget chose, unless it has read a whole
  /// request meanwhile.
  void End(std::optional<ConnectionNumber> number,
           std::optional<Reason> reason) {
    const auto found = number ? connections_.find(*number) : connections_.end();
    if (found == connections_.end()) return;
    found->second->chosen_to_end = true;
    found->second->end_reason = reason;
    found->second->stream.cancel();
  }

  /// Records what a connection holds, and ends some if it is too much.
  void Update(const Connection& connection, Phase phase, std::size_t bytes) {
    const TimePoint now = runtime::SteadyNow();
    budget_.Update(connection.number, phase, bytes, now);
    if (budget_.held_bytes() <= limits_.max_held_bytes) return;
    for (const ConnectionNumber number : budget_.ChooseOverBudget(now)) {
      End(number, Reason::kMemoryLimit);
    }
  }

  asio::awaitable<void> ServeRequests(Connection& connection,
                                      std::shared_ptr<ConnectionState> state) {
    beast::tcp_stream& stream = connection.stream;
    while (!stopping_) {
      if (connection.buffer.size() == 0) {
        beast::error_code error;
        co_await WaitForRequest(connection, error);
        if (error) co_return;
      }
      ReadResult read = co_await ReadRequest(connection);
      const std::size_t held = read.request ? HeldBy(*read.request) : 0;
      if (read.request && connection.over_limit) {
        read = {{}, false, Reason::kConnectionLimit};
      } else if (read.request && !budget_.MayHandle(held)) {
        read = {{}, false, Reason::kMemoryLimit};
      }
      if (!read.request) {
        co_await Reject(connection, read.reason);
        co_return;
      }
      Update(connection, Phase::kHandling, held);
      const InProgress in_progress(requests_in_progress_);
      stream.expires_never();
      Response response = co_await handler_(*std::move(read.request), state);
      Update(connection, Phase::kWriting, response.body.size());
      const bool keep_alive =
          read.keep_alive && !stopping_ && !close_after_responses_;
      auto message = ToMessage(std::move(response), keep_alive);
      stream.expires_after(limits_.write_timeout);
      co_await beast::http::async_write(stream, message, asio::use_awaitable);
      if (!keep_alive) break;
    }
    beast::error_code ignored;
    stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
  }

  /// Reads one request in pieces that the connection's buffer holds. Its read
  /// timeout uses a separate timer that only cancels the read: a timeout of the
  /// stream itself would close the socket, and the client would not receive the
  /// reason.
  asio::awaitable<ReadResult> ReadRequest(Connection& connection) {
    Parser parser;
    SetLimits(parser, limits_);
    bool timed_out = false;
    asio::steady_timer timer(context_, limits_.read_timeout);
    timer.async_wait([&connection, &timed_out](beast::error_code cancelled) {
      if (cancelled) return;
      timed_out = true;
      connection.stream.cancel();
    });
    connection.stream.expires_never();
    beast::error_code error;
    co_await ReadMessage(connection, parser, error);
    // The timer's handler refers to this coroutine frame, so it must not run
    // after this function. If the timer has already expired, its handler is
    // queued before the completion of a zero sleep, so the sleep waits for it.
    if (timer.cancel() == 0 && !timed_out)
      co_await runtime::Sleep(context_, 0s);
    ReadResult result;
    if (parser.is_done()) {
      connection.chosen_to_end = false;
      result.keep_alive = parser.get().keep_alive();
      result.request = ToRequest(parser.release());
    } else if (connection.chosen_to_end) {
      result.reason = connection.end_reason;
    } else {
      if (timed_out) error = beast::error::timeout;
      result.reason = ReasonOf(error, !parser.is_header_done());
    }
    co_return result;
  }

  /// Reads until the request is whole or `error` is set.
  asio::awaitable<void> ReadMessage(Connection& connection, Parser& parser,
                                    beast::error_code& error) {
    beast::flat_buffer& buffer = connection.buffer;
    clients::MessageBytes message;
    while (true) {
      message.raw += Parse(parser, buffer, error);
      if (error || parser.is_done()) co_return;
      message.body = parser.get().body().size();
      const std::size_t piece = beast::read_size(buffer, kMaxPieceBytes);
      if (piece == 0 || ExceedsFraming(message, limits_.max_header_bytes,
                                       limits_.max_framing_bytes)) {
        error = beast::http::error::buffer_overflow;
        co_return;
      }
      if (connection.chosen_to_end) co_return;
      Update(connection, Phase::kReading, HeldBy(parser, buffer) + piece);
      if (connection.chosen_to_end) co_return;
      const std::size_t received = co_await connection.stream.async_read_some(
          buffer.prepare(piece),
          asio::redirect_error(asio::use_awaitable, error));
      buffer.commit(received);
      if (error) co_return;
    }
  }

  /// Waits for the first byte of a request.
  /// @param error is set when the connection is to end.
  asio::awaitable<void> WaitForRequest(Connection& connection,
                                       beast::error_code& error) {
    if (connection.buffer.capacity() > kIdleBufferBytes) {
      connection.buffer.shrink_to_fit();
    }
    Update(connection, Phase::kIdle, connection.buffer.capacity());
    co_await connection.stream.socket().async_wait(
        Tcp::socket::wait_read,
        asio::redirect_error(asio::use_awaitable, error));
    const bool ends = error && connection.chosen_to_end;
    if (!error) connection.chosen_to_end = false;  // A request is there.
    if (ends && connection.end_reason) {
      co_await WriteRejection(connection, *connection.end_reason);
    }
  }

  /// Sends the rejection of a request, if there is a reason, and ends the
  /// connection.
  asio::awaitable<void> Reject(Connection& connection,
                               std::optional<Reason> reason) {
    connection.buffer.clear();
    connection.buffer.shrink_to_fit();
    Update(connection, Phase::kEnding, 0);
    if (!reason) co_return;
    co_await WriteRejection(connection, *reason);
    co_await DiscardInput(connection.stream);
  }

  asio::awaitable<void> WriteRejection(Connection& connection, Reason reason) {
    auto message = ToMessage(reject_(reason), false);
    connection.stream.expires_after(limits_.write_timeout);
    beast::error_code ignored;
    co_await beast::http::async_write(
        connection.stream, message,
        asio::redirect_error(asio::use_awaitable, ignored));
    connection.stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
  }

  /// Reads and drops the rest of the input, up to a size and a time limit.
  /// Closing a socket with unread input resets the connection, and the client
  /// could lose the rejection before reading it.
  asio::awaitable<void> DiscardInput(beast::tcp_stream& stream) {
    constexpr std::size_t kMaxDiscardedBytes = 1U << 20;
    constexpr auto kDiscardTimeout = 1s;
    char scratch[4096];
    std::size_t discarded = 0;
    stream.expires_after(kDiscardTimeout);
    beast::error_code error;
    while (!error && discarded < kMaxDiscardedBytes) {
      discarded += co_await stream.async_read_some(
          asio::buffer(scratch),
          asio::redirect_error(asio::use_awaitable, error));
    }
  }

  asio::io_context& context_;
  Tcp::acceptor acceptor_;
  ServerLimits limits_;
  Handler handler_;
  RejectHandler reject_;
  asio::steady_timer sweep_timer_;
  clients::ClientBudget budget_;
  std::unordered_map<ConnectionNumber, Connection*> connections_;
  std::uint16_t port_ = 0;
  ConnectionNumber last_connection_number_ = 0;
  std::atomic<std::size_t> requests_in_progress_{0};
  bool stopping_ = false;
  bool close_after_responses_ = false;
};

Server::Server(asio::io_context& context, const std::string& host,
               std::uint16_t port, const ServerLimits& limits, Handler handler,
               RejectHandler reject)
    : impl_(std::make_shared<Impl>(context, host, port, limits,
                                   std::move(handler), std::move(reject))) {}

Server::~Server() { impl_->StopAccepting(); }

void Server::Start() { impl_->Start(); }
void Server::StopAccepting() { impl_->StopAccepting(); }
void Server::CloseAfterResponses(bool enabled) {
  impl_->CloseAfterResponses(enabled);
}
void Server::SetMaxBodyBytes(std::size_t bytes) {
  impl_->SetMaxBodyBytes(bytes);
}
std::size_t Server::requests_in_progress() const {
  return impl_->requests_in_progress();
}
std::uint16_t Server::port() const { return impl_->port(); }
std::size_t Server::connections() const { return impl_->connections(); }

}  // namespace jasminespar::http
