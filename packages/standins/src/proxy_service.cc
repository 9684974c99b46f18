#include "jasminespar/standins/proxy_service.h"

#include <utility>

#include "jasminespar/core/digest.h"
#include "jasminespar/core/overloaded.h"
#include "jasminespar/standins/responses.h"

namespace jasminespar::standins {

namespace asio = boost::asio;
using nlohmann::json;

ProxyService::ProxyService(asio::io_context& context, std::uint16_t admin_port,
                           std::uint64_t seed)
    : context_(context),
      seed_(seed),
      server_(
          context, "127.0.0.1", admin_port, http::ServerLimits{},
          [this](http::Request request,
                 std::shared_ptr<http::ConnectionState>) {
            return Handle(std::move(request));
          },
          RejectionResponse) {}

asio::awaitable<http::Response> ProxyService::Handle(http::Request request) {
  try {
    co_return HandleAdmin(request);
  } catch (const std::exception& error) {
    json body = json::object();
    body["reason"] = "malformed_request";
    body["detail"] = error.what();
    co_return JsonResponse(400, body);
  }
}

http::Response ProxyService::HandleAdmin(const http::Request& request) {
  const std::string_view path = http::PathOf(request.target);
  if (path == "/admin/stats") return Statistics();
  if (path == "/admin/routes") {
    for (const json& route : json::parse(request.body)) AddRoute(route);
    return JsonResponse(200, json::object());
  }
  if (path == "/admin/faults") {
    const json body = json::parse(request.body);
    SetFaults(body.value("route", ""), ParseLinkFaults(body));
    return JsonResponse(200, json::object());
  }
  return RejectionResponse(Reason::kNotFound);
}

void ProxyService::AddRoute(const json& route) {
  const std::string name = route.at("name");
  const std::uint16_t port = route.at("port");
  const std::uint16_t target = route.at("target_port");
  const std::uint64_t seed = SeededHash(name, seed_);
  if (route.at("protocol") == "udp") {
    auto udp = std::make_shared<UdpRoute>(context_, port, target, seed);
    udp->Start();
    routes_[name] = std::move(udp);
    return;
  }
  auto tcp = std::make_shared<TcpRoute>(context_, port, target, seed);
  tcp->Start();
  routes_[name] = std::move(tcp);
}

void ProxyService::SetFaults(const std::string& prefix,
                             const LinkFaults& faults) {
  for (auto& [name, route] : routes_) {
    if (!name.starts_with(prefix)) continue;
    std::visit([&faults](const auto& link) { link->SetFaults(faults); }, route);
  }
}

http::Response ProxyService::Statistics() const {
  json body = json::object();
  for (const auto& [name, route] : routes_) {
    body[name] = std::visit(
        Overloaded{
            [](const std::shared_ptr<TcpRoute>& tcp) {
              return json{{"bytes", tcp->bytes()},
                          {"closed_by_fault", tcp->closed_by_fault()}};
            },
            [](const std::shared_ptr<UdpRoute>& udp) {
              return json{{"received", udp->received()}, {"sent", udp->sent()}};
            }},
        route);
  }
  return JsonResponse(200, body);
}

}  // namespace jasminespar::standins
