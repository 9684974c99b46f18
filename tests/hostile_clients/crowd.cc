#include "hostile_clients/crowd.h"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <string_view>

namespace jasminespar::hostile_clients {

namespace {

/// The crowd gives up when no connection takes a byte for this long.
constexpr int kStuckMs = 2'000;

constexpr std::size_t kPieceBytes = 64U << 10;

/// What one connection still has to send.
class Sender {
 public:
  Sender(const Flood& flood, int socket)
      : flood_(&flood), socket_(socket), piece_(flood.first) {
    Fill();
  }

  /// Sends as much as the connection takes at once.
  /// @return whether more is to be sent.
  bool Continue() {
    while (sent_ < flood_->bytes) {
      const std::size_t length =
          std::min(piece_.size() - at_, flood_->bytes - sent_);
      const ssize_t taken = send(socket_, piece_.data() + at_, length,
                                 MSG_DONTWAIT | MSG_NOSIGNAL);
      if (taken < 0) return errno == EAGAIN;
      sent_ += static_cast<std::size_t>(taken);
      at_ += static_cast<std::size_t>(taken);
      if (at_ < piece_.size()) continue;
      piece_.clear();
      at_ = 0;
      Fill();
    }
    return false;
  }

  [[nodiscard]] pollfd event() const { return {socket_, POLLOUT, 0}; }

 private:
  void Fill() {
    while (!flood_->repeat.empty() && piece_.size() < kPieceBytes) {
      piece_ += flood_->repeat;
    }
  }

  const Flood* flood_;
  int socket_;
  std::string piece_;
  std::size_t at_ = 0;
  std::size_t sent_ = 0;
};

}  // namespace

Crowd::Crowd(std::uint16_t port, std::size_t connections) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  for (std::size_t i = 0; i < connections; ++i) {
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    if (connect(socket, reinterpret_cast<const sockaddr*>(&address),
                sizeof address) == 0) {
      sockets_.push_back(socket);
    } else {
      close(socket);
    }
  }
}

Crowd::~Crowd() {
  for (const int socket : sockets_) close(socket);
}

void Crowd::Send(const Flood& flood) {
  std::vector<Sender> senders;
  for (const int socket : sockets_) senders.emplace_back(flood, socket);
  while (true) {
    std::erase_if(senders, [](Sender& sender) { return !sender.Continue(); });
    if (senders.empty()) return;
    std::vector<pollfd> events;
    for (const Sender& sender : senders) events.push_back(sender.event());
    if (poll(events.data(), events.size(), kStuckMs) == 0) return;
  }
}

}  // namespace jasminespar::hostile_clients
