/// @file
/// Requests to another duty whose replies are awaited by coroutines.

#ifndef JASMINESPAR_RUNTIME_REPLY_TABLE_H_
#define JASMINESPAR_RUNTIME_REPLY_TABLE_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <utility>

#include "jasminespar/core/ids.h"
#include "jasminespar/core/time.h"

namespace jasminespar::runtime {

/// Matches replies to waiting coroutines by the number of the request. Not
/// thread-safe: owned by one duty.
template <typename Reply>
class ReplyTable {
 public:
  /// @param initial_number requests are numbered upwards after it. Numbers of
  ///     two processes must not collide at one owner.
  ReplyTable(boost::asio::io_context& context, std::uint64_t initial_number)
      : context_(context), last_number_(initial_number) {}

  /// Registers a request.
  /// @return its number, for one call of `Wait`.
  [[nodiscard]] std::uint64_t Register() {
    auto entry = std::make_shared<Entry>(context_);
    entries_.emplace(++last_number_, std::move(entry));
    return last_number_;
  }

  /// Waits for the reply and removes the request; a later reply is ignored.
  /// @return the reply, or nothing after `timeout`.
  /// @throws std::out_of_range when no request with that number is registered.
  [[nodiscard]] boost::asio::awaitable<std::optional<Reply>> Wait(
      std::uint64_t number, Duration timeout) {
    std::shared_ptr<Entry> entry = entries_.at(number);
    if (!entry->reply) {
      entry->wakeup.expires_after(timeout);
      boost::system::error_code ignored;
      co_await entry->wakeup.async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    entries_.erase(number);
    co_return std::move(entry->reply);
  }

  /// Stores the reply and resumes the waiting coroutine.
  /// @return false when the request is not registered or already has a reply.
  bool Complete(std::uint64_t number, Reply reply) {
    const auto found = entries_.find(number);
    if (found == entries_.end() || found->second->reply) return false;
    found->second->reply = std::move(reply);
    found->second->wakeup.cancel();
    return true;
  }

  /// Calls `visitor(number)` for each request without a reply.
  template <typename Visitor>
  void ForEachWaiting(Visitor visitor) const {
    for (const auto& [number, entry] : entries_) {
      if (!entry->reply) visitor(number);
    }
  }

 private:
  struct Entry {
    explicit Entry(boost::asio::io_context& context) : wakeup(context) {}
    boost::asio::steady_timer wakeup;
    std::optional<Reply> reply;
  };

  boost::asio::io_context& context_;
  std::uint64_t last_number_;
  std::map<std::uint64_t, std::shared_ptr<Entry>> entries_;
};

}  // namespace jasminespar::runtime

#endif  // JASMINESPAR_RUNTIME_REPLY_TABLE_H_
