// Tests the front with real HTTP requests and a simulated store link.
#include "jasminespar/jobserver/job_front.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/use_future.hpp>
#include <catch2/catch.hpp>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <utility>

#include "jasminespar/core/overloaded.h"
#include "jasminespar/fleet/fleet_codec.h"
#include "jasminespar/http/client.h"
#include "jasminespar/standins/site_plan.h"

namespace jasminespar::jobserver {
namespace {

namespace asio = boost::asio;

constexpr std::size_t kRingCapacity = 64;
constexpr std::size_t kBodyLimit = 400;
const std::string kJobPath = "/match/5c0e7a21d94b36f8";
const std::string kJobBody =
    R"({"spec":"text","steps":[{"count":1,"cpu":500,"mem_mb":256,"gpu":1}]})";

std::shared_ptr<const jobs::ConfigurationSnapshot> Configuration() {
  jobs::SiteConfiguration site;
  jobs::QueueConfiguration queue;
  queue.name.value = "match";
  queue.host = "pairs.example";
  queue.prefix = "/match/";
  queue.service.value = "matching";
  site.queues.push_back(queue);
  site.accounts.push_back({{"school"}, {"good-key"}, 8});
  site.version = Revision{3};
  site.max_body_bytes = kBodyLimit;
  return std::make_shared<const jobs::ConfigurationSnapshot>(std::move(site));
}

/// Connects the front to a duty that answers in place of the store link.
class FrontFixture {
 public:
  FrontFixture()
      : port_(standins::FindFreePorts(2)),
        front_(front_duty_, Settings(port_), fleet::MakeFleetCodec(),
               {to_store_, to_peers_, to_telemetry_}, metrics_) {
    runtime::ConnectDuties(
        to_store_, front_duty_, table_duty_,
        [this](FrontToStore&& message) { AnswerRequest(std::move(message)); });
    runtime::ConnectDuties(
        to_peers_, front_duty_, table_duty_, [this](ToPeers&& message) {
          if (auto* own = std::get_if<OwnUnsettledSubmissions>(&message)) {
            published_unsettled_ = own->jobs;
          }
        });
    runtime::ConnectDuties(to_telemetry_, front_duty_, table_duty_,
                           [](ToTelemetry&&) {});
    runtime::ConnectConsumer(to_front_, table_duty_, front_duty_, front_);
    asio::post(front_duty_.context(), [this] { front_.Start(); });
    front_duty_.Start();
    table_duty_.Start();
    SendToFront(ConfigurationUpdate{Configuration()});
  }

  ~FrontFixture() {
    front_duty_.Stop();
    table_duty_.Stop();
  }

  FrontFixture(const FrontFixture&) = delete;
  FrontFixture& operator=(const FrontFixture&) = delete;

  void SendToFront(ToFront message) {
    RunOnTableDuty([this, &message] { to_front_.Send(std::move(message)); });
  }

  /// Sets the table's answer to all further writes.
  void SetWriteOutcome(site::TableOutcome outcome) {
    RunOnTableDuty([this, &outcome] { write_outcome_ = std::move(outcome); });
  }

  /// @return the unsettled submissions last published to peers.
  std::vector<jobs::JobId> published_unsettled() {
    std::vector<jobs::JobId> jobs;
    RunOnTableDuty([this, &jobs] { jobs = published_unsettled_; });
    return jobs;
  }

  http::Response Submit(const std::string& body = kJobBody,
                        const std::string& key = "good-key",
                        const std::string& path = kJobPath) {
    return Send("POST", body, key, path);
  }

  http::Response Cancel() { return Send("DELETE", "", "good-key", kJobPath); }

  /// @return the keys of all rows written so far.
  std::vector<std::string> written() {
    std::vector<std::string> keys;
    RunOnTableDuty([this, &keys] { keys = written_; });
    return keys;
  }

 private:
  http::Response Send(const std::string& method, const std::string& body,
                      const std::string& key, const std::string& path) {
    http::Request request;
    request.method = method;
    request.target = path;
    request.headers = {{"Host", "pairs.example"},
                       {"Authorization", "Token " + key},
                       {"Content-Type", "application/json"}};
    request.body = body;
    asio::io_context context{1};
    http::Client client(context, "127.0.0.1", port_, 1);
    auto response = asio::co_spawn(context, client.Send(std::move(request), 5s),
                                   asio::use_future);
    context.run_for(std::chrono::seconds(10));
    return response.get();
  }

  static JobFrontSettings Settings(std::uint16_t port) {
    JobFrontSettings settings;
    settings.callers = {"127.0.0.1", port};
    settings.readiness = {"127.0.0.1", static_cast<std::uint16_t>(port + 1)};
    return settings;
  }

  template <typename Action>
  void RunOnTableDuty(Action action) {
    std::promise<void> done;
    asio::post(table_duty_.context(), [&] {
      action();
      done.set_value();
    });
    done.get_future().wait();
  }

  void AnswerRequest(FrontToStore message) {
    std::visit(
        Overloaded{
            [this](WriteRows& write) {
              for (const site::Row& row : write.transaction.writes) {
                written_.push_back(row.key.key);
              }
              to_front_.Send(WriteCompleted{write.number, write_outcome_});
            },
            [this](ReadRow& read) {
              to_front_.Send(ReadCompleted{read.number, site::RowPage{}});
            },
        },
        message);
  }

  std::uint16_t port_;
  telemetry::Metrics metrics_;
  runtime::Channel<FrontToStore> to_store_{kRingCapacity};
  runtime::Channel<ToPeers> to_peers_{kRingCapacity};
  runtime::Channel<ToTelemetry> to_telemetry_{kRingCapacity};
  runtime::Channel<ToFront> to_front_{kRingCapacity};
  runtime::Duty front_duty_{"front"};
  runtime::Duty table_duty_{"table"};
  JobFront front_;
  site::TableOutcome write_outcome_ = site::Committed{};
  std::vector<jobs::JobId> published_unsettled_;
  std::vector<std::string> written_;
};

TEST_CASE("a job is accepted once the table has stored it, also when resent") {
  FrontFixture fixture;
  CHECK(fixture.Submit().status == 200);
  CHECK(fixture.Submit().status == 200);
}

TEST_CASE("a submission that the table rejects is refused with Retry-After") {
  FrontFixture fixture;
  fixture.SetWriteOutcome(site::Refused{});
  const http::Response response = fixture.Submit();
  CHECK(response.status == 503);
  CHECK_FALSE(http::HeaderOf(response.headers, "Retry-After").empty());
}

TEST_CASE("after an unknown outcome no answer says that the job never runs") {
  // A refusal would tell the caller that the job never runs, while the earlier
  // write may still be carried out.
  FrontFixture fixture;
  const bool here = GENERATE(true, false);
  if (here) {
    fixture.SetWriteOutcome(site::NoAnswer{});
    CHECK(fixture.Submit().status == 504);
    CHECK(fixture.published_unsettled() ==
          std::vector<jobs::JobId>{{"5c0e7a21d94b36f8"}});
  } else {
    fixture.SendToFront(
        PeerUnsettledSubmissions{{"edge-2"}, {{"5c0e7a21d94b36f8"}}});
  }
  fixture.SetWriteOutcome(site::Refused{});
  CHECK(fixture.Submit().status == 504);
  // The conflict shows that an attempt has stored the job.
  fixture.SetWriteOutcome(site::Conflict{});
  CHECK(fixture.Submit().status == 200);
  CHECK(fixture.published_unsettled().empty());
}

TEST_CASE("a cancellation holds against an acceptance under way") {
  // Shown by the review: 410, and nothing in the table, while an instance that
  // was frozen had yet to store the job.
  FrontFixture fixture;
  CHECK(fixture.Cancel().status == 410);
  CHECK(fixture.written() == std::vector<std::string>{"x5c0e7a21d94b36f8"});
  // It is accepted after all, and shown as cancelled.
  const http::Response late = fixture.Submit();
  CHECK(late.status == 200);
  CHECK(late.body.find("cancelled") != std::string::npos);
}

TEST_CASE("a cancellation that was not stored is not acknowledged") {
  FrontFixture fixture;
  fixture.SetWriteOutcome(site::Refused{});
  CHECK(fixture.Cancel().status == 503);
  fixture.SetWriteOutcome(site::NoAnswer{});
  CHECK(fixture.Cancel().status == 504);
}

TEST_CASE("requests that the configuration does not allow are refused") {
  FrontFixture fixture;
  CHECK(fixture.Submit(kJobBody, "other-key").status == 401);
  CHECK(
      fixture.Submit(kJobBody, "good-key", "/other/5c0e7a21d94b36f8").status ==
      404);
  CHECK(fixture.Submit("{not json").status == 400);
  CHECK(fixture.Submit(std::string(kBodyLimit + 1, 'x')).status == 413);
}

}  // namespace
}  // namespace jasminespar::jobserver
