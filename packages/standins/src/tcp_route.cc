#include "jasminespar/standins/tcp_route.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace jasminespar::standins {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr std::size_t kChunkBytes = 16U << 10;

}  // namespace

TcpRoute::TcpRoute(asio::io_context& context, std::uint16_t port,
                   std::uint16_t target_port, std::uint64_t seed)
    : context_(context),
      acceptor_(context, {asio::ip::address_v4::loopback(), port}),
      target_(asio::ip::address_v4::loopback(), target_port),
      random_(seed),
      faults_changed_(context, std::chrono::steady_clock::time_point::max()) {}

void TcpRoute::Start() {
  asio::co_spawn(context_, Accept(shared_from_this()), asio::detached);
}

void TcpRoute::SetFaults(const LinkFaults& faults) {
  faults_ = faults;
  faults_changed_.cancel();
}

asio::awaitable<void> TcpRoute::Accept(std::shared_ptr<TcpRoute> self) {
  while (true) {
    error_code error;
    asio::ip::tcp::socket socket = co_await self->acceptor_.async_accept(
        asio::redirect_error(asio::use_awaitable, error));
    if (error == asio::error::operation_aborted) co_return;
    if (error) continue;
    auto connection = std::make_shared<Connection>(std::move(socket));
    asio::co_spawn(self->context_, Connect(self, std::move(connection)),
                   asio::detached);
  }
}

asio::awaitable<void> TcpRoute::Connect(
    std::shared_ptr<TcpRoute> self, std::shared_ptr<Connection> connection) {
  co_await self->WaitWhileCut(Direction::kToTarget);
  error_code error;
  co_await connection->target.async_connect(
      self->target_, asio::redirect_error(asio::use_awaitable, error));
  if (error) co_return;
  connection->source.set_option(asio::ip::tcp::no_delay(true), error);
  connection->target.set_option(asio::ip::tcp::no_delay(true), error);
  asio::co_spawn(self->context_, Relay(self, connection, Direction::kToTarget),
                 asio::detached);
  asio::co_spawn(self->context_, Relay(self, connection, Direction::kToSource),
                 asio::detached);
}

asio::awaitable<void> TcpRoute::Relay(std::shared_ptr<TcpRoute> self,
                                      std::shared_ptr<Connection> connection,
                                      Direction direction) {
  const bool forward = direction == Direction::kToTarget;
  Socket& from = forward ? connection->source : connection->target;
  Socket& to = forward ? connection->target : connection->source;
  std::vector<char> chunk(kChunkBytes);
  error_code error;
  while (!error) {
    const std::size_t bytes = co_await from.async_read_some(
        asio::buffer(chunk), asio::redirect_error(asio::use_awaitable, error));
    co_await self->WaitWhileCut(direction);
    if (error) break;
    co_await self->Delay(ChunkDelay(self->faults_, bytes));
    std::bernoulli_distribution closes(self->faults_.close_probability);
    const bool close = closes(self->random_);
    const std::size_t passed = close ? bytes / 2 : bytes;
    co_await asio::async_write(
        to, asio::buffer(chunk.data(), passed),
        asio::redirect_error(asio::use_awaitable, error));
    self->bytes_ += passed;
    if (!close) continue;
    ++self->closed_by_fault_;
    connection->source.close(error);
    connection->target.close(error);
    co_return;
  }
  error_code ignored;
  to.shutdown(Socket::shutdown_send, ignored);
}

asio::awaitable<void> TcpRoute::WaitWhileCut(Direction direction) {
  while (faults_.IsCut(direction)) {
    error_code ignored;
    co_await faults_changed_.async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
  }
}

asio::awaitable<void> TcpRoute::Delay(Duration delay) {
  if (delay <= Duration{}) co_return;
  asio::steady_timer timer(context_, delay);
  co_await timer.async_wait(asio::use_awaitable);
}

}  // namespace jasminespar::standins
