#include "jasminespar/standins/watched_table_service.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <memory>
#include <optional>
#include <utility>

#include "jasminespar/core/error.h"
#include "jasminespar/protocol/job_peer_message.h"
#include "jasminespar/runtime/clock.h"

namespace jasminespar::standins {

namespace asio = boost::asio;

namespace {

constexpr int kOk = 200;

http::Request EncodeRequest(const site::TableRequest& request) {
  http::Request encoded;
  encoded.method = "POST";
  encoded.body = protocol::Encode(
      protocol::JobPeerMessage(protocol::RelayRequest{0, request}));
  return encoded;
}

site::TableOutcome DecodeResponse(const site::TableRequest& /*request*/,
                                  const http::Response& response) {
  if (response.status != kOk) return site::Refused{response.status};
  try {
    protocol::JobPeerMessage message =
        protocol::DecodeJobPeerMessage(response.body);
    return std::get<protocol::RelayReply>(std::move(message)).outcome;
  } catch (const Error&) {
    return site::NoAnswer{};
  }
}

http::Response RejectUnread(Reason reason) {
  http::Response response;
  response.status = HttpStatusOf(reason);
  return response;
}

}  // namespace

site::TableCodec MakeWatchedTableCodec() {
  return {EncodeRequest, DecodeResponse};
}

WatchedTableService::WatchedTableService(asio::io_context& context,
                                         std::uint16_t port)
    : context_(context),
      server_(
          context, "127.0.0.1", port, http::ServerLimits{},
          [this](http::Request request,
                 const std::shared_ptr<http::ConnectionState>&) {
            return Serve(std::move(request));
          },
          RejectUnread) {}

void WatchedTableService::Put(const site::RowKey& key, std::string value) {
  table_.Put(key, std::move(value));
  WakeWatches();
}

void WatchedTableService::Delete(const site::RowKey& key) {
  site::Transaction transaction;
  transaction.deletes.push_back(key);
  [[maybe_unused]] const auto outcome = table_.Handle(transaction);
  WakeWatches();
}

void WatchedTableService::WakeWatches() {
  for (const auto& watch : std::exchange(watches_, {})) watch->cancel();
}

asio::awaitable<http::Response> WatchedTableService::Serve(
    http::Request request) {
  protocol::JobPeerMessage message =
      protocol::DecodeJobPeerMessage(request.body);
  auto& relayed = std::get<protocol::RelayRequest>(message);
  protocol::RelayReply reply;
  reply.outcome = co_await Handle(std::move(relayed.request));
  http::Response response;
  response.body = protocol::Encode(protocol::JobPeerMessage(std::move(reply)));
  co_return response;
}

asio::awaitable<site::TableOutcome> WatchedTableService::Handle(
    site::TableRequest request) {
  std::optional<site::TableOutcome> outcome = table_.Handle(request);
  if (std::holds_alternative<site::Transaction>(request)) WakeWatches();
  const auto* watch = std::get_if<site::Watch>(&request);
  if (watch == nullptr) co_return *std::move(outcome);
  const TimePoint deadline = runtime::SteadyNow() + watch->wait;
  while (!outcome && runtime::SteadyNow() < deadline) {
    auto changed = std::make_shared<asio::steady_timer>(context_);
    changed->expires_after(deadline - runtime::SteadyNow());
    watches_.push_back(changed);
    boost::system::error_code ignored;
    co_await changed->async_wait(
        asio::redirect_error(asio::use_awaitable, ignored));
    std::erase(watches_, changed);
    outcome = table_.Handle(request);
  }
  if (outcome) co_return *std::move(outcome);
  site::RowPage unchanged;
  unchanged.version = table_.version();
  co_return unchanged;
}

}  // namespace jasminespar::standins
