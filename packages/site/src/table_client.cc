#include "jasminespar/site/table_client.h"

#include <algorithm>
#include <utility>

#include "jasminespar/core/error.h"
#include "jasminespar/core/overloaded.h"
#include "jasminespar/runtime/clock.h"
#include "jasminespar/runtime/sleep.h"

namespace jasminespar::site {

namespace asio = boost::asio;

namespace {

/// A watch is answered within its wait and this.
constexpr Duration kWatchMargin = 500ms;

/// Watches in progress at once, those of peers included.
constexpr std::size_t kMaxWatches = 24;

}  // namespace

TableClient::TableClient(asio::io_context& context,
                         const TableClientSettings& settings,
                         const TableCodec& codec, Hooks hooks)
    : context_(context),
      settings_(settings),
      codec_(codec),
      hooks_(std::move(hooks)),
      client_(context, settings.address.host, settings.address.port,
              settings.max_connections),
      watch_client_(context, settings.address.host, settings.address.port,
                    kMaxWatches) {}

asio::awaitable<TableOutcome> TableClient::SendDirect(TableRequest request) {
  const bool is_watch = std::holds_alternative<Watch>(request);
  http::Client& client = is_watch ? watch_client_ : client_;
  const Duration timeout = std::visit(
      Overloaded{
          [](const Watch& watch) { return watch.wait + kWatchMargin; },
          [this](const RowRange&) { return settings_.read_timeout; },
          [this](const Transaction&) { return settings_.write_timeout; },
      },
      request);
  http::Request encoded = codec_.encode(request);
  TableOutcome outcome = NoAnswer{};
  try {
    const http::Response response =
        co_await client.Send(std::move(encoded), timeout);
    outcome = codec_.decode(request, response);
    if (!IsServed(outcome)) {
      last_fault_ = "status " + std::to_string(response.status);
    }
  } catch (const Error& error) {
    // The observer counts it and logs the change with this text.
    last_fault_ = error.what();
    if (error.verdict() == Verdict::kNotRun) outcome = Refused{};
  }
  path_.SeeStraight(outcome, runtime::SteadyNow());
  hooks_.observe(TablePath::kDirect, outcome);
  co_return outcome;
}

bool TableClient::reachable() const {
  return !path_.lost(runtime::SteadyNow()) || hooks_.peer_ready();
}

asio::awaitable<TableOutcome> TableClient::Send(TableRequest request) {
  const TablePath path =
      path_.Choose(request, hooks_.peer_ready(), runtime::SteadyNow());
  if (path == TablePath::kDirect) {
    co_return co_await SendDirect(std::move(request));
  }
  TableOutcome outcome = co_await hooks_.relay(std::move(request));
  hooks_.observe(TablePath::kThroughPeer, outcome);
  co_return outcome;
}

asio::awaitable<TableOutcome> TableClient::Transact(Transaction transaction,
                                                    Duration span,
                                                    Duration turned_away_span) {
  const TimePoint begun = runtime::SteadyNow();
  const TimePoint deadline = begun + span;
  bool uncertain = false;
  TableOutcome outcome = Refused{};
  while (runtime::SteadyNow() < deadline) {
    // Nothing is sent without a way to the table: then the refusal is true.
    if (reachable()) {
      TableRequest request = transaction;
      outcome = co_await Send(std::move(request));
    } else {
      outcome = Refused{};
    }
    if (IsServed(outcome)) co_return outcome;
    uncertain = uncertain || std::holds_alternative<NoAnswer>(outcome);
    const bool hopeful = uncertain && reachable();
    if (!hopeful && runtime::SteadyNow() - begun >= turned_away_span) break;
    co_await runtime::Sleep(context_, settings_.retry_pause);
  }
  if (uncertain) outcome = NoAnswer{};
  co_return outcome;
}

asio::awaitable<TableOutcome> TableClient::ReadAll(RowRange range,
                                                   Duration span) {
  const TimePoint deadline = runtime::SteadyNow() + span;
  RowPage all;
  bool first = true;
  while (true) {
    TableRequest request = range;
    TableOutcome outcome = co_await Send(std::move(request));
    if (auto* page = std::get_if<RowPage>(&outcome)) {
      if (std::exchange(first, false)) all.version = page->version;
      std::move(page->rows.begin(), page->rows.end(),
                std::back_inserter(all.rows));
      if (!page->has_more || page->rows.empty()) co_return all;
      // The lowest key after the last one read.
      range.from = all.rows.back().key.key + '\0';
      continue;
    }
    if (IsServed(outcome)) co_return outcome;
    if (runtime::SteadyNow() >= deadline) co_return outcome;
    co_await runtime::Sleep(context_, settings_.retry_pause);
  }
}

}  // namespace jasminespar::site
