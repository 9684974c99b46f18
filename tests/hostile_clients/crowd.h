/// @file
/// Clients that keep to no rule: many connections that send what they are told
/// and read nothing.

#ifndef JASMINESPAR_TESTS_HOSTILE_CLIENTS_CROWD_H_
#define JASMINESPAR_TESTS_HOSTILE_CLIENTS_CROWD_H_

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace jasminespar::hostile_clients {

/// What each connection sends.
struct Flood {
  std::string first;      ///< Once.
  std::string repeat;     ///< Then this, again and again.
  std::size_t bytes = 0;  ///< In all; a connection stops there.
};

/// Sends by itself; the connections stay open until it is destroyed.
class Crowd {
 public:
  /// Connects to a port of 127.0.0.1. A connection that is refused is left out.
  Crowd(std::uint16_t port, std::size_t connections);
  ~Crowd();

  Crowd(const Crowd&) = delete;
  Crowd& operator=(const Crowd&) = delete;

  /// Sends until every connection has sent all its bytes, was closed by the
  /// server, or took no more for a while.
  void Send(const Flood& flood);

 private:
  std::vector<int> sockets_;
};

}  // namespace jasminespar::hostile_clients

#endif  // JASMINESPAR_TESTS_HOSTILE_CLIENTS_CROWD_H_
