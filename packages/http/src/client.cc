#include "jasminespar/http/client.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <optional>
#include <set>
#include <utility>

#include "jasminespar/core/error.h"

namespace jasminespar::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;
using SteadyClock = std::chrono::steady_clock;

namespace {

/// A connection of the pool. `buffer` holds bytes that were received after the
/// end of the previous response.
struct Connection {
  explicit Connection(asio::io_context& context) : stream(context) {}
  beast::tcp_stream stream;
  beast::flat_buffer buffer;
  bool needs_connect = true;
};

using Message = beast::http::request<beast::http::string_body>;

Message ToMessage(Request request, const std::string& host) {
  Message message;
  message.version(11);
  message.method_string(request.method);
  message.target(request.target);
  message.set(beast::http::field::host, host);
  for (const Header& header : request.headers) {
    message.set(header.name, header.value);
  }
  message.body() = std::move(request.body);
  message.prepare_payload();
  return message;
}

Response ToResponse(beast::http::response<beast::http::string_body> message) {
  Response response;
  response.status = static_cast<int>(message.result_int());
  for (const auto& field : message) {
    response.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  response.body = std::move(message.body());
  return response;
}

using Parser = beast::http::response_parser<beast::http::string_body>;

/// @return how much of the response was received, for the error's text; empty
///     when there was nothing of its body.
std::string ReceivedText(const Parser& parser) {
  const std::size_t received = parser.get().body().size();
  if (received == 0) return {};
  return ", received " + std::to_string(received) + " of " +
         std::to_string(parser.content_length().value_or(0)) + " bytes";
}

/// @return whether an idle connection cannot be reused: a peek that would not
///     block means that the server closed it, it failed, or unexpected bytes
///     arrived.
bool IsStale(Connection& connection) {
  beast::error_code error;
  char byte = 0;
  Tcp::socket& socket = connection.stream.socket();
  socket.non_blocking(true, error);
  socket.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek, error);
  return error != asio::error::would_block;
}

}  // namespace

class Client::Impl : public std::enable_shared_from_this<Client::Impl> {
 public:
  Impl(asio::io_context& context, std::string host, std::uint16_t port,
       std::size_t max_connections)
      : context_(context),
        host_(std::move(host)),
        endpoint_(asio::ip::make_address(host_), port),
        max_connections_(max_connections) {}

  asio::awaitable<Response> Send(Request request, ExchangeLimits limits) {
    const SteadyClock::time_point deadline =
        SteadyClock::now() + limits.response;
    std::shared_ptr<Connection> connection = co_await Acquire(deadline);
    BusyConnection busy(*this, connection);
    co_await Connect(*connection, deadline);
    if (limits.may_send && !limits.may_send()) {
      throw Error(Reason::kWorkerUnreachable, Verdict::kNotRun,
                  "not sent, as it was no longer allowed");
    }
    Message message = ToMessage(std::move(request), host_);
    co_await Write(*connection, message, limits, deadline);
    Response response = co_await Read(*connection, busy, limits, deadline);
    co_return response;
  }

  void Close() {
    idle_.clear();
    for (const std::shared_ptr<Connection>& connection : busy_) {
      connection->stream.cancel();
    }
  }

 private:
  /// A request that waits for a pool slot.
  struct Waiter {
    Waiter(asio::io_context& context, SteadyClock::time_point deadline)
        : timer(context, deadline) {}
    asio::steady_timer timer;
    /// A slot is reserved for it. The wait's result does not tell: the deadline
    /// may pass just before it is woken.
    bool woken = false;
  };

  /// Marks a connection as busy. Its destructor returns the connection to the
  /// pool if it is reusable, drops it otherwise, and wakes a waiting request.
  class BusyConnection {
   public:
    BusyConnection(Impl& impl, std::shared_ptr<Connection> connection)
        : impl_(impl.shared_from_this()), connection_(std::move(connection)) {
      impl_->busy_.insert(connection_);
    }
    ~BusyConnection() {
      impl_->busy_.erase(connection_);
      if (reusable) impl_->idle_.push_back(connection_);
      impl_->WakeWaiter();
    }
    BusyConnection(const BusyConnection&) = delete;
    BusyConnection& operator=(const BusyConnection&) = delete;
    bool reusable = false;

   private:
    std::shared_ptr<Impl> impl_;
    std::shared_ptr<Connection> connection_;
  };

  /// Waits for a free pool slot.
  /// @return an idle connection, or a new one that is not yet connected.
  asio::awaitable<std::shared_ptr<Connection>> Acquire(
      SteadyClock::time_point deadline) {
    while (busy_.size() + reserved_slots_ >= max_connections_) {
      auto waiter = std::make_shared<Waiter>(context_, deadline);
      waiters_.push_back(waiter);
      beast::error_code error;
      co_await waiter->timer.async_wait(
          asio::redirect_error(asio::use_awaitable, error));
      if (!waiter->woken) {
        std::erase(waiters_, waiter);
        throw Error(Reason::kWorkerUnreachable, Verdict::kNotRun,
                    "timed out waiting for a free connection to " + host_);
      }
      --reserved_slots_;  // WakeWaiter reserved this slot for this request.
      break;
    }
    while (!idle_.empty()) {
      std::shared_ptr<Connection> connection = idle_.back();
      idle_.pop_back();
      if (!IsStale(*connection)) co_return connection;
    }
    co_return std::make_shared<Connection>(context_);
  }

  /// Reserves the slot just freed for the first waiting request and resumes it.
  void WakeWaiter() {
    if (waiters_.empty()) return;
    std::shared_ptr<Waiter> waiter = waiters_.front();
    waiters_.pop_front();
    ++reserved_slots_;
    waiter->woken = true;
    waiter->timer.cancel();
  }

  asio::awaitable<void> Connect(Connection& connection,
                                SteadyClock::time_point deadline) {
    if (!connection.needs_connect) co_return;
    connection.stream.expires_at(deadline);
    beast::error_code error;
    co_await connection.stream.async_connect(
        endpoint_, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
      throw Error(Reason::kWorkerUnreachable, Verdict::kNotRun,
                  error.message());
    }
    connection.needs_connect = false;
    connection.stream.socket().set_option(Tcp::no_delay(true), error);
  }

  asio::awaitable<void> Write(Connection& connection, Message& message,
                              const ExchangeLimits& limits,
                              SteadyClock::time_point deadline) {
    connection.stream.expires_at(deadline);
    beast::http::request_serializer<beast::http::string_body> serializer(
        message);
    beast::error_code error;
    while (!error && !serializer.is_done()) {
      co_await beast::http::async_write_some(
          connection.stream, serializer,
          asio::redirect_error(asio::use_awaitable, error));
      ExtendDeadline(connection, limits.idle);
    }
    if (error) ThrowAfterSend(error.message());
  }

  asio::awaitable<Response> Read(Connection& connection, BusyConnection& busy,
                                 const ExchangeLimits& limits,
                                 SteadyClock::time_point deadline) {
    if (limits.idle) {
      connection.stream.expires_after(limits.response);
    } else {
      connection.stream.expires_at(deadline);
    }
    Parser parser;
    parser.body_limit(limits.max_body_bytes);
    beast::error_code error;
    std::optional<SteadyClock::time_point> first_bytes;
    while (!error && !parser.is_done()) {
      co_await beast::http::async_read_some(
          connection.stream, connection.buffer, parser,
          asio::redirect_error(asio::use_awaitable, error));
      if (!first_bytes) first_bytes = SteadyClock::now();
      ExtendDeadline(connection, limits.idle);
    }
    if (error == beast::http::error::body_limit) {
      throw Error(Reason::kBodyTooLarge, Verdict::kMayHaveRun, error.message());
    }
    if (error) ThrowAfterSend(error.message() + ReceivedText(parser));
    connection.stream.expires_never();
    busy.reusable = parser.get().keep_alive();
    Response response = ToResponse(parser.release());
    response.transfer =
        std::chrono::duration_cast<Duration>(SteadyClock::now() - *first_bytes);
    co_return response;
  }

  /// After a piece of a message was transferred.
  static void ExtendDeadline(Connection& connection,
                             const std::optional<Duration>& idle) {
    if (idle) connection.stream.expires_after(*idle);
  }

  [[noreturn]] static void ThrowAfterSend(const std::string& detail) {
    throw Error(Reason::kWorkerUnreachable, Verdict::kMayHaveRun, detail);
  }

  asio::io_context& context_;
  std::string host_;
  Tcp::endpoint endpoint_;
  std::size_t max_connections_;
  /// Pool slots reserved for woken requests that have not resumed yet.
  std::size_t reserved_slots_ = 0;
  std::set<std::shared_ptr<Connection>> busy_;
  std::vector<std::shared_ptr<Connection>> idle_;
  std::deque<std::shared_ptr<Waiter>> waiters_;
};

Client::Client(asio::io_context& context, std::string host, std::uint16_t port,
               std::size_t max_connections)
    : impl_(std::make_shared<Impl>(context, std::move(host), port,
                                   max_connections)) {}

Client::~Client() { impl_->Close(); }

asio::awaitable<Response> Client::Send(Request request, Duration timeout) {
  ExchangeLimits limits;
  limits.response = timeout;
  return Send(std::move(request), limits);
}

asio::awaitable<Response> Client::Send(Request request, ExchangeLimits limits) {
  // Keeps the pool alive while the request is in progress, also when the
  // Client is destroyed meanwhile.
  std::shared_ptr<Impl> impl = impl_;
  co_return co_await impl->Send(std::move(request), limits);
}

void Client::Close() { impl_->Close(); }

}  // namespace jasminespar::http
