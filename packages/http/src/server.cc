#include "jasminespar/http/server.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <utility>

namespace jasminespar::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using Tcp = asio::ip::tcp;
using Parser = beast::http::request_parser<beast::http::string_body>;

namespace {

Request ToRequest(beast::http::request<beast::http::string_body> message) {
  Request request;
  request.method = std::string(message.method_string());
  request.target = std::string(message.target());
  for (const auto& field : message) {
    request.headers.push_back(
        {std::string(field.name_string()), std::string(field.value())});
  }
  request.body = std::move(message.body());
  return request;
}

beast::http::response<beast::http::string_body> ToMessage(Response response,
                                                          bool keep_alive) {
  beast::http::response<beast::http::string_body> message;
  message.version(11);
  message.result(static_cast<unsigned>(response.status));
  for (const Header& header : response.headers) {
    message.set(header.name, header.value);
  }
  message.keep_alive(keep_alive);
  message.body() = std::move(response.body);
  message.prepare_payload();
  return message;
}

constexpr Duration kAcceptRetryDelay = 50ms;

/// @return why a request that could not be read is rejected; nothing when the
///     connection is lost and no response can be sent.
std::optional<Reason> ReasonOf(const beast::error_code& error) {
  using HttpError = beast::http::error;
  if (error == HttpError::header_limit) return Reason::kHeadersTooLarge;
  if (error == HttpError::body_limit) return Reason::kBodyTooLarge;
  if (error == beast::error::timeout) return Reason::kClientTooSlow;
  if (error.category() == make_error_code(HttpError::bad_version).category() &&
      error != HttpError::end_of_stream &&
      error != HttpError::partial_message) {
    return Reason::kMalformedRequest;
  }
  return std::nullopt;  // The peer closed the connection or it failed.
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
        reject_(std::move(reject)) {
    port_ = acceptor_.local_endpoint().port();
  }

  void Start() {
    asio::co_spawn(context_, Accept(shared_from_this()), asio::detached);
  }

  void StopAccepting() {
    stopping_ = true;
    beast::error_code ignored;
    acceptor_.close(ignored);
  }

  void CloseAfterResponses(bool enabled) { close_after_responses_ = enabled; }

  [[nodiscard]] std::size_t requests_in_progress() const {
    return requests_in_progress_;
  }
  [[nodiscard]] std::uint16_t port() const { return port_; }
  [[nodiscard]] std::size_t connections() const { return connections_; }

 private:
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
        co_await Sleep(self->context_, kAcceptRetryDelay);
        continue;
      }
      socket.set_option(Tcp::no_delay(true), error);
      asio::co_spawn(self->context_, Serve(self, std::move(socket)),
                     asio::detached);
    }
  }

  static asio::awaitable<void> Serve(std::shared_ptr<Impl> self,
                                     Tcp::socket socket) {
    ++self->connections_;
    auto state = std::make_shared<ConnectionState>();
    state->number = ++self->last_connection_number_;
    beast::tcp_stream stream(std::move(socket));
    try {
      co_await self->ServeRequests(stream, state);
    } catch (const std::exception&) {
      // The connection failed; nothing more can be sent to this peer.
    }
    state->closed = true;
    --self->connections_;
  }

  asio::awaitable<void> ServeRequests(beast::tcp_stream& stream,
                                      std::shared_ptr<ConnectionState> state) {
    beast::flat_buffer buffer;
    const bool over_connection_limit = connections_ > limits_.max_connections;
    while (!stopping_) {
      if (buffer.size() == 0) {
        beast::error_code error;
        co_await WaitForRequest(stream, error);
        if (error) co_return;
      }
      Parser parser;
      parser.header_limit(static_cast<std::uint32_t>(limits_.max_header_bytes));
      parser.body_limit(limits_.max_body_bytes);
      beast::error_code error;
      co_await ReadRequest(stream, buffer, parser, error);
      if (error) {
        co_await Reject(stream, ReasonOf(error));
        co_return;
      }
      if (over_connection_limit) {
        co_await Reject(stream, Reason::kConnectionLimit);
        co_return;
      }
      const bool client_keep_alive = parser.get().keep_alive();
      Request request = ToRequest(parser.release());
      const InProgress in_progress(requests_in_progress_);
      stream.expires_never();
      Response response = co_await handler_(std::move(request), state);
      const bool keep_alive =
          client_keep_alive && !stopping_ && !close_after_responses_;
      auto message = ToMessage(std::move(response), keep_alive);
      stream.expires_after(limits_.write_timeout);
      co_await beast::http::async_write(stream, message, asio::use_awaitable);
      if (!keep_alive) break;
    }
    beast::error_code ignored;
    stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
  }

  /// Reads one request, and sets `error` to timeout after `read_timeout`. Uses
  /// a separate timer that only cancels the read: a timeout of the stream
  /// itself would close the socket, and the client would not receive the
  /// reason.
  asio::awaitable<void> ReadRequest(beast::tcp_stream& stream,
                                    beast::flat_buffer& buffer, Parser& parser,
                                    beast::error_code& error) {
    bool timed_out = false;
    asio::steady_timer timer(context_, limits_.read_timeout);
    timer.async_wait([&stream, &timed_out](beast::error_code cancelled) {
      if (cancelled) return;
      timed_out = true;
      stream.cancel();
    });
    stream.expires_never();
    co_await beast::http::async_read(
        stream, buffer, parser,
        asio::redirect_error(asio::use_awaitable, error));
    // The timer's handler refers to this coroutine frame, so it must not run
    // after this function. If the timer has already expired, its handler is
    // queued before the completion of a zero sleep, so the sleep waits for it.
    if (timer.cancel() == 0 && !timed_out) co_await Sleep(context_, 0s);
    if (timed_out && error) error = beast::error::timeout;
  }

  static asio::awaitable<void> Sleep(asio::io_context& context,
                                     Duration duration) {
    asio::steady_timer timer(context, duration);
    beast::error_code ignored;
    co_await timer.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }

  /// Waits for the first byte of a request; fails after `idle_timeout`.
  asio::awaitable<void> WaitForRequest(beast::tcp_stream& stream,
                                       beast::error_code& error) {
    stream.expires_after(limits_.idle_timeout);
    co_await stream.socket().async_wait(
        Tcp::socket::wait_read,
        asio::redirect_error(asio::use_awaitable, error));
  }

  /// Sends the rejection of a request, if there is a reason, and ends the
  /// connection.
  asio::awaitable<void> Reject(beast::tcp_stream& stream,
                               std::optional<Reason> reason) {
    if (!reason) co_return;
    auto message = ToMessage(reject_(*reason), false);
    stream.expires_after(limits_.write_timeout);
    beast::error_code ignored;
    co_await beast::http::async_write(
        stream, message, asio::redirect_error(asio::use_awaitable, ignored));
    stream.socket().shutdown(Tcp::socket::shutdown_send, ignored);
    co_await DiscardInput(stream);
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
  std::uint16_t port_ = 0;
  std::size_t connections_ = 0;
  std::uint64_t last_connection_number_ = 0;
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
std::size_t Server::requests_in_progress() const {
  return impl_->requests_in_progress();
}
std::uint16_t Server::port() const { return impl_->port(); }
std::size_t Server::connections() const { return impl_->connections(); }

}  // namespace jasminespar::http
