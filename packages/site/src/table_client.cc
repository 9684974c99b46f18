#include "jasminespar/site/table_client.h"

#include <algorithm>
#include <utility>

#include "jasminespar/core/overloaded.h"
#include "jasminespar/runtime/clock.h"
#include "jasminespar/runtime/sleep.h"

namespace jasminespar::site {

namespace asio = boost::asio;

namespace {

/// Added to the wait of a watch, for the first byte of its response.
constexpr Duration kWatchMargin = 500ms;

/// Concurrent watches, including those relayed for peers.
constexpr std::size_t kMaxWatches = 24;

}  // namespace

TableClient::TableClient(asio::io_context& context,
                         const TableClientSettings& settings,
                         const TableCodec& codec, Callbacks callbacks)
    : context_(context),
      settings_(settings),
      callbacks_(std::move(callbacks)),
      requests_(context, settings.address, codec, settings.max_connections),
      watches_(context, settings.address, codec, kMaxWatches) {}

asio::awaitable<TableOutcome> TableClient::SendDirect(TableRequest request) {
  const bool is_watch = std::holds_alternative<Watch>(request);
  TableExchange& exchange = is_watch ? watches_ : requests_;
  http::ExchangeLimits limits;
  limits.idle = settings_.idle_timeout;
  limits.response = std::visit(
      Overloaded{
          [](const Watch& watch) { return watch.wait + kWatchMargin; },
          [this](const RowRange&) { return settings_.read_timeout; },
          [this](const Transaction&) { return settings_.write_timeout; },
      },
      request);
  TableAnswer answer = co_await exchange.Send(std::move(request), limits);
  RecordDirectOutcome(answer.outcome, answer.error);
  co_return std::move(answer.outcome);
}

void TableClient::RecordDirectOutcome(const TableOutcome& outcome,
                                      const std::string& error) {
  // `on_outcome` counts the failure and logs changes with this text.
  if (!IsServed(outcome)) last_error_ = error;
  path_.RecordDirectOutcome(outcome, runtime::SteadyNow());
  callbacks_.on_outcome(TablePath::kDirect, outcome);
}

bool TableClient::reachable() const {
  return !path_.direct_path_down(runtime::SteadyNow()) ||
         callbacks_.relay_available();
}

asio::awaitable<TableOutcome> TableClient::Send(TableRequest request) {
  const TablePath path =
      path_.Choose(request, callbacks_.relay_available(), runtime::SteadyNow());
  if (path == TablePath::kDirect) {
    co_return co_await SendDirect(std::move(request));
  }
  TableOutcome outcome = co_await callbacks_.relay(std::move(request));
  callbacks_.on_outcome(TablePath::kThroughPeer, outcome);
  co_return outcome;
}

asio::awaitable<TableOutcome> TableClient::Transact(Transaction transaction,
                                                    Duration timeout,
                                                    Duration refused_timeout) {
  const TimePoint start = runtime::SteadyNow();
  const TimePoint deadline = start + timeout;
  bool uncertain = false;
  TableOutcome outcome = Refused{};
  while (runtime::SteadyNow() < deadline) {
    // While the table is unreachable, nothing is sent, so that Refused is
    // correct.
    if (reachable()) {
      TableRequest request = transaction;
      outcome = co_await Send(std::move(request));
    } else {
      outcome = Refused{};
    }
    if (IsServed(outcome)) co_return outcome;
    uncertain = uncertain || std::holds_alternative<NoAnswer>(outcome);
    // A further attempt may settle whether an earlier one took effect.
    const bool may_settle = uncertain && reachable();
    if (!may_settle && runtime::SteadyNow() - start >= refused_timeout) break;
    co_await runtime::Sleep(context_, settings_.retry_delay);
  }
  if (uncertain) outcome = NoAnswer{};
  co_return outcome;
}

asio::awaitable<TableOutcome> TableClient::ReadAll(RowRange range,
                                                   Duration timeout) {
  const TimePoint deadline = runtime::SteadyNow() + timeout;
  RowPage all;
  bool first = true;
  while (true) {
    range.limit = page_rows_;
    TableRequest request = range;
    TableOutcome outcome = co_await Send(std::move(request));
    AdaptPageRows(outcome);
    if (auto* page = std::get_if<RowPage>(&outcome)) {
      if (std::exchange(first, false)) all.version = page->version;
      std::move(page->rows.begin(), page->rows.end(),
                std::back_inserter(all.rows));
      if (!page->has_more || page->rows.empty()) co_return all;
      // The lowest key that sorts after the last one read.
      range.from = all.rows.back().key.key + '\0';
      continue;
    }
    if (IsServed(outcome)) co_return outcome;
    if (runtime::SteadyNow() >= deadline) co_return outcome;
    co_await runtime::Sleep(context_, settings_.retry_delay);
  }
}

void TableClient::AdaptPageRows(const TableOutcome& outcome) {
  if (std::holds_alternative<RowPage>(outcome)) {
    page_rows_ = std::min(2 * page_rows_, kMaxPageRows);
  } else if (std::holds_alternative<NoAnswer>(outcome)) {
    page_rows_ = std::max(page_rows_ / 2, std::size_t{1});
  }
}

}  // namespace jasminespar::site
