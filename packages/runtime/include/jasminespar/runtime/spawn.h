/// @file
/// Coroutines that must run as long as their duty.

#ifndef JASMINESPAR_RUNTIME_SPAWN_H_
#define JASMINESPAR_RUNTIME_SPAWN_H_

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <exception>
#include <memory>

#include "jasminespar/core/time.h"

namespace jasminespar::runtime {

/// Before a coroutine that failed is started again.
inline constexpr Duration kRespawnDelay = 100ms;

/// Starts a coroutine on the context, and again each time an exception ends it.
/// The exception reaches whoever runs the context. A coroutine that returns is
/// not started again.
/// @param make returns the coroutine; called once for each start.
template <typename Make>
void SpawnPersistent(boost::asio::io_context& context, Make make) {
  boost::asio::co_spawn(
      context, make, [&context, make](std::exception_ptr error) {
        if (error == nullptr) return;
        auto timer =
            std::make_shared<boost::asio::steady_timer>(context, kRespawnDelay);
        timer->async_wait([timer, &context, make](const auto& cancelled) {
          if (!cancelled) SpawnPersistent(context, make);
        });
        std::rethrow_exception(error);
      });
}

}  // namespace jasminespar::runtime

#endif  // JASMINESPAR_RUNTIME_SPAWN_H_
