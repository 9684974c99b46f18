/// @file
/// Waiting inside a coroutine.

#ifndef JASMINESPAR_RUNTIME_SLEEP_H_
#define JASMINESPAR_RUNTIME_SLEEP_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>

#include "jasminespar/core/time.h"

namespace jasminespar::runtime {

/// Resumes on the io_context after `span`; other work runs meanwhile.
[[nodiscard]] boost::asio::awaitable<void> Sleep(
    boost::asio::io_context& context, Duration span);

}  // namespace jasminespar::runtime

#endif  // JASMINESPAR_RUNTIME_SLEEP_H_
