/// @file
/// Coroutines that wait for a numbered reply from another duty.

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

/// Not thread-safe: one duty owns it.
template <typename Reply>
class ReplyTable {
 public:
  /// @param first_number numbers of two processes must not meet at one owner.
  ReplyTable(boost::asio::io_context& context, std::uint64_t first_number)
      : context_(context), last_number_(first_number) {}

  /// Opens a place for one reply. Waiting starts with `Wait`.
  [[nodiscard]] std::uint64_t Register() {
    auto entry = std::make_shared<Entry>(context_);
    entries_.emplace(++last_number_, std::move(entry));
    return last_number_;
  }

  /// Waits for the reply and closes the place; a later reply is ignored.
  /// @return nothing when `timeout` passed first.
  [[nodiscard]] boost::asio::awaitable<std::optional<Reply>> Wait(
      std::uint64_t number, Duration timeout) {
    std::shared_ptr<Entry> entry = entries_.at(number);
    if (!entry->reply) {
      entry->signal.expires_after(timeout);
      boost::system::error_code ignored;
      co_await entry->signal.async_wait(
          boost::asio::redirect_error(boost::asio::use_awaitable, ignored));
    }
    entries_.erase(number);
    co_return std::move(entry->reply);
  }

  /// @return false when nobody waits under that number any more.
  bool Complete(std::uint64_t number, Reply reply) {
    const auto found = entries_.find(number);
    if (found == entries_.end() || found->second->reply) return false;
    found->second->reply = std::move(reply);
    found->second->signal.cancel();
    return true;
  }

  /// Visits the numbers that still wait.
  template <typename Visitor>
  void ForEachWaiting(Visitor visitor) const {
    for (const auto& [number, entry] : entries_) {
      if (!entry->reply) visitor(number);
    }
  }

 private:
  struct Entry {
    explicit Entry(boost::asio::io_context& context) : signal(context) {}
    boost::asio::steady_timer signal;
    std::optional<Reply> reply;
  };

  boost::asio::io_context& context_;
  std::uint64_t last_number_;
  std::map<std::uint64_t, std::shared_ptr<Entry>> entries_;
};

}  // namespace jasminespar::runtime

#endif  // JASMINESPAR_RUNTIME_REPLY_TABLE_H_
