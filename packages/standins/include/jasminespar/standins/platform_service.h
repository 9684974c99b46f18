/// @file
/// HTTP service of the stand-in platform: table service, object store and list
/// of instances and workers.

#ifndef JASMINESPAR_STANDINS_PLATFORM_SERVICE_H_
#define JASMINESPAR_STANDINS_PLATFORM_SERVICE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <random>
#include <string>

#include "jasminespar/core/time.h"
#include "jasminespar/http/message.h"
#include "jasminespar/http/server.h"
#include "jasminespar/standins/store_fault.h"
#include "jasminespar/standins/table.h"
#include "jasminespar/standins/token_bucket.h"

namespace jasminespar::standins {

struct PlatformSettings {
  std::string host = "127.0.0.1";
  std::uint16_t port = 0;
  double writes_per_second = 300;  ///< Budget of rows and objects.
  double reads_per_second = 2000;  ///< Budget of read requests.
};

/// Keeps everything in memory. Use on one thread.
class PlatformService {
 public:
  PlatformService(boost::asio::io_context& context,
                  const PlatformSettings& settings);

  void Start() { server_.Start(); }
  [[nodiscard]] std::uint16_t port() const { return server_.port(); }

 private:
  struct Counters {
    std::uint64_t writes = 0;
    std::uint64_t reads = 0;
    std::uint64_t refused = 0;
    std::uint64_t conflicts = 0;
    std::uint64_t lost_answers = 0;
    std::map<std::string, std::uint64_t> writes_by_prefix;
  };
  struct ListVersion {
    TimePoint since;  ///< When it was posted.
    nlohmann::json machines;
  };

  boost::asio::awaitable<http::Response> Handle(http::Request request);
  boost::asio::awaitable<void> Delay(Duration delay);
  http::Response HandleWithoutFault(const http::Request& request,
                                    TimePoint now);
  http::Response Transact(const http::Request& request, TimePoint now);
  http::Response Read(const http::Request& request, TimePoint now);
  http::Response Scan(const http::Request& request, TimePoint now);
  http::Response AccessObject(const http::Request& request, TimePoint now);
  http::Response ListInstances(TimePoint now);
  http::Response HandleAdmin(const http::Request& request, TimePoint now);
  http::Response Statistics() const;
  /// Takes one read from the budget.
  /// @return false when the budget is used up.
  bool ChargeRead(TimePoint now);
  /// @return false when the budget does not cover `rows`.
  bool ChargeWrites(double rows, TimePoint now);

  boost::asio::io_context& context_;
  Table table_;
  std::map<std::string, std::string> objects_;
  std::deque<ListVersion> list_;  // Oldest first; the last is current.
  Duration list_lag_{};           // Until a posted list is served.
  TokenBucket writes_;
  TokenBucket reads_;
  StoreFault fault_ = StoreOk{};
  std::mt19937_64 random_{1};
  Counters counters_;
  http::Server server_;
};

}  // namespace jasminespar::standins

#endif  // JASMINESPAR_STANDINS_PLATFORM_SERVICE_H_
