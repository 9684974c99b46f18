#include "jasminespar/peers/frame_connection.h"

#include <netinet/in.h>
#include <netinet/tcp.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <utility>

namespace jasminespar::peers {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

namespace {

constexpr std::size_t kLengthBytes = 4;

/// A connection whose bytes are not acknowledged for this long is closed by the
/// kernel; it may have gone silent without a reset.
constexpr int kUnacknowledgedTimeoutMs = 3000;

using UnacknowledgedTimeout =
    asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;

constexpr std::size_t kPieceBytes = 64U << 10;

std::string ToFrame(const std::string& body) {
  std::string frame(kLengthBytes, '\0');
  boost::endian::store_big_u32(reinterpret_cast<unsigned char*>(frame.data()),
                               static_cast<std::uint32_t>(body.size()));
  return frame + body;
}

}  // namespace

FrameConnection::FrameConnection(asio::io_context& context,
                                 std::uint64_t number, FrameHandlers handlers,
                                 FrameLimits limits)
    : context_(context),
      number_(number),
      handlers_(std::move(handlers)),
      limits_(limits),
      socket_(context),
      wakeup_(context) {}

void FrameConnection::Adopt(Tcp::socket socket) {
  socket_ = std::move(socket);
  Start();
}

void FrameConnection::Connect(configuration::Address address,
                              Duration timeout) {
  asio::co_spawn(context_,
                 ConnectAndRun(shared_from_this(), std::move(address), timeout),
                 asio::detached);
}

void FrameConnection::Start() {
  boost::system::error_code ignored;
  socket_.set_option(Tcp::no_delay(true), ignored);
  socket_.set_option(UnacknowledgedTimeout(kUnacknowledgedTimeoutMs), ignored);
  connected_ = true;
  asio::co_spawn(context_, ReadFrames(shared_from_this()), asio::detached);
  asio::co_spawn(context_, WriteFrames(shared_from_this()), asio::detached);
}

bool FrameConnection::Send(const std::string& body) {
  if (closed_ || unsent_bytes_ > limits_.max_unsent_bytes) return false;
  if (body.size() > kMaxFrameBytes) return false;
  std::string frame = ToFrame(body);
  unsent_bytes_ += frame.size();
  unsent_.push_back(std::move(frame));
  wakeup_.cancel();
  ReportHeld();
  return true;
}

void FrameConnection::Close() {
  if (closed_) return;
  closed_ = true;
  boost::system::error_code ignored;
  socket_.close(ignored);
  wakeup_.cancel();
  // Posted, because the caller may be iterating over a container that the
  // handler changes.
  asio::post(context_, [self = shared_from_this()] {
    self->handlers_.on_closed(self->number_);
  });
}

asio::awaitable<void> FrameConnection::ConnectAndRun(
    Self self, configuration::Address address, Duration timeout) {
  asio::steady_timer timer(self->context_, timeout);
  timer.async_wait([self](const boost::system::error_code& error) {
    if (!error && !self->connected_) self->Close();
  });
  boost::system::error_code error;
  const Tcp::endpoint endpoint(asio::ip::make_address(address.host, error),
                               address.port);
  if (!error) {
    co_await self->socket_.async_connect(
        endpoint, asio::redirect_error(asio::use_awaitable, error));
  }
  if (error || self->closed_) {
    self->Close();
    co_return;
  }
  self->Start();
}

asio::awaitable<void> FrameConnection::ReadFrames(Self self) {
  boost::system::error_code error;
  std::array<unsigned char, kLengthBytes> length{};
  std::string body;
  while (!self->closed_) {
    co_await asio::async_read(self->socket_, asio::buffer(length),
                              asio::redirect_error(asio::use_awaitable, error));
    if (error) break;
    const std::uint32_t size = boost::endian::load_big_u32(length.data());
    if (size > self->limits_.max_frame_bytes) break;
    co_await self->ReadBody(body, size, error);
    if (error || self->closed_) break;
    if (!self->handlers_.on_frame(self->number_, std::move(body))) break;
    body = {};
    self->read_bytes_ = 0;
    self->ReportHeld();
  }
  self->Close();
}

asio::awaitable<void> FrameConnection::ReadBody(
    std::string& body, std::size_t size, boost::system::error_code& error) {
  while (read_bytes_ < size && !closed_) {
    const std::size_t piece = std::min(size - read_bytes_, kPieceBytes);
    body.resize(read_bytes_ + piece);
    co_await asio::async_read(socket_,
                              asio::buffer(body.data() + read_bytes_, piece),
                              asio::redirect_error(asio::use_awaitable, error));
    if (error) co_return;
    read_bytes_ += piece;
    ReportHeld();
  }
}

void FrameConnection::ReportHeld() {
  if (handlers_.on_held) handlers_.on_held(number_);
}

asio::awaitable<void> FrameConnection::WriteFrames(Self self) {
  boost::system::error_code error;
  while (!self->closed_) {
    if (self->unsent_.empty()) {
      self->wakeup_.expires_at(asio::steady_timer::time_point::max());
      co_await self->wakeup_.async_wait(
          asio::redirect_error(asio::use_awaitable, error));
      continue;
    }
    const std::string frame = std::move(self->unsent_.front());
    self->unsent_.pop_front();
    co_await asio::async_write(
        self->socket_, asio::buffer(frame),
        asio::redirect_error(asio::use_awaitable, error));
    self->unsent_bytes_ -= frame.size();
    if (error) break;
    self->ReportHeld();
  }
  self->Close();
}

}  // namespace jasminespar::peers
