#include "jasminespar/runtime/sleep.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace jasminespar::runtime {

boost::asio::awaitable<void> Sleep(boost::asio::io_context& context,
                                   Duration duration) {
  boost::asio::steady_timer timer(context, duration);
  boost::system::error_code ignored;
  co_await timer.async_wait(
      boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
}

}  // namespace jasminespar::runtime
