#include "jasminespar/site/table_client.h"

#include <algorithm>
#include <utility>

#include "jasminespar/core/error.h"
#include "jasminespar/runtime/clock.h"
#include "jasminespar/runtime/sleep.h"

namespace jasminespar::site {

namespace asio = boost::asio;

namespace {

/// A watch is answered within its wait and this.
constexpr Duration kWatchMargin = 1500ms;

/// Watches of one process; each holds a connection while it waits.
constexpr std::size_t kMaxWatches = 8;

}  // namespace

TableClient::TableClient(asio::io_context& context,
                         const TableClientSettings& settings,
                         const TableCodec& codec, Observer observer)
    : context_(context),
      settings_(settings),
      codec_(codec),
      observer_(std::move(observer)),
      client_(context, settings.address.host, settings.address.port,
              settings.max_connections),
      watch_client_(context, settings.address.host, settings.address.port,
                    kMaxWatches) {}

asio::awaitable<std::optional<http::Response>> TableClient::Ask(
    http::Request request, Duration timeout) {
  std::optional<http::Response> response;
  try {
    response = co_await client_.Send(std::move(request), timeout);
  } catch (const Error&) {
    // Reported to the observer below; the outcome is NoAnswer.
  }
  observer_(response ? TableHealth::kAnswered : TableHealth::kFailed);
  co_return response;
}

asio::awaitable<TransactionOutcome> TableClient::Transact(
    Transaction transaction, Duration span) {
  const http::Request request = codec_.encode_transaction(transaction);
  const TimePoint deadline = runtime::SteadyNow() + span;
  bool uncertain = false;
  TransactionOutcome outcome = TurnedAway{};
  while (true) {
    const Duration left = deadline - runtime::SteadyNow();
    if (left <= Duration{}) break;
    http::Request copy = request;
    std::optional<http::Response> response = co_await Ask(
        std::move(copy), std::min(left, settings_.request_timeout));
    if (response) {
      outcome = codec_.decode_transaction(*response);
      if (!std::holds_alternative<TurnedAway>(outcome)) co_return outcome;
    } else {
      uncertain = true;
    }
    co_await runtime::Sleep(context_, settings_.retry_pause);
  }
  if (uncertain) outcome = NoAnswer{};
  co_return outcome;
}

asio::awaitable<ReadOutcome> TableClient::Read(RowRange range) {
  http::Request request = codec_.encode_read(range);
  std::optional<http::Response> response =
      co_await Ask(std::move(request), settings_.request_timeout);
  ReadOutcome outcome = NoAnswer{};
  if (response) outcome = codec_.decode_read(*response);
  co_return outcome;
}

asio::awaitable<ReadOutcome> TableClient::ReadAll(RowRange range,
                                                  Duration span) {
  const TimePoint deadline = runtime::SteadyNow() + span;
  RowPage all;
  bool first = true;
  while (true) {
    ReadOutcome outcome = co_await Read(range);
    if (auto* page = std::get_if<RowPage>(&outcome)) {
      if (std::exchange(first, false)) all.version = page->version;
      std::move(page->rows.begin(), page->rows.end(),
                std::back_inserter(all.rows));
      if (!page->has_more || page->rows.empty()) co_return all;
      // The lowest key after the last one read.
      range.from = all.rows.back().key.key + '\0';
      continue;
    }
    if (std::holds_alternative<Malformed>(outcome)) co_return outcome;
    if (runtime::SteadyNow() >= deadline) co_return outcome;
    co_await runtime::Sleep(context_, settings_.retry_pause);
  }
}

asio::awaitable<WatchOutcome> TableClient::Changes(Watch watch) {
  http::Request request = codec_.encode_watch(watch);
  WatchOutcome outcome = NoAnswer{};
  bool answered = false;
  try {
    const http::Response response = co_await watch_client_.Send(
        std::move(request), watch.wait + kWatchMargin);
    outcome = codec_.decode_watch(response);
    answered = true;
  } catch (const Error&) {
    // The observer is told below; the outcome is NoAnswer.
  }
  observer_(answered ? TableHealth::kAnswered : TableHealth::kFailed);
  co_return outcome;
}

}  // namespace jasminespar::site
