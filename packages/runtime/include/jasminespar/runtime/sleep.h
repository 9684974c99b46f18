/// @file
/// Asynchronous sleep for coroutines.

#ifndef JASMINESPAR_RUNTIME_SLEEP_H_
#define JASMINESPAR_RUNTIME_SLEEP_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "jasminespar/core/time.h"

namespace jasminespar::runtime {

/// Suspends the coroutine, not its thread, for `duration` and resumes it on
/// `context`.
[[nodiscard]] boost::asio::awaitable<void> Sleep(
    boost::asio::io_context& context, Duration duration);

}  // namespace jasminespar::runtime

#endif  // JASMINESPAR_RUNTIME_SLEEP_H_
