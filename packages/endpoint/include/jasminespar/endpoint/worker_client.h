/// @file
/// HTTP client of the endpoint on one worker. Encodes orders and decodes
/// reports and answers; makes no decisions.

#ifndef JASMINESPAR_ENDPOINT_WORKER_CLIENT_H_
#define JASMINESPAR_ENDPOINT_WORKER_CLIENT_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <cstdint>
#include <variant>
#include <vector>

#include "jasminespar/cell/task.h"
#include "jasminespar/configuration/topology.h"
#include "jasminespar/core/call.h"
#include "jasminespar/core/error.h"
#include "jasminespar/core/time.h"
#include "jasminespar/http/client.h"

namespace jasminespar::endpoint {

/// The cell on whose behalf a request is made.
struct CellRef {
  CellId cell;
  Epoch epoch;
};

/// The worker refused the request, or it is unknown whether it carried it out.
struct OrderFailed {
  Reason reason = Reason::kWorkerRefused;
  Verdict verdict = Verdict::kNotRun;
};

/// The task's state after the request, or why the request failed.
using TaskReply = std::variant<cell::TaskState, OrderFailed>;

struct Report {
  WorkerId worker;
  std::uint64_t change = 0;  ///< Latest change; `after` of the next request.
  std::uint64_t incarnation = 0;  ///< Changes when the worker loses its tasks.
  bool leaving = false;
  std::vector<cell::ReportedTask> tasks;
};

/// The worker knows a higher epoch of the cell; the request had no effect.
class StaleEpochError : public Error {
 public:
  explicit StaleEpochError(Epoch highest)
      : Error(Reason::kStaleEpoch, Verdict::kNotRun,
              "the worker knows a higher epoch of the cell"),
        highest_(highest) {}

  /// @return the epoch that the worker knows; 0.0 when its reply has none.
  [[nodiscard]] Epoch highest() const noexcept { return highest_; }

 private:
  Epoch highest_;
};

/// Not thread-safe; used only on the io_context passed to the constructor.
class WorkerClient {
 public:
  /// @param max_connections of the endpoint's 64 connections, for everything
  ///     but reports, which have 2 more.
  /// @param timeout for each request; a long poll adds its own wait.
  WorkerClient(boost::asio::io_context& context,
               const configuration::Address& address,
               std::size_t max_connections, Duration timeout);

  [[nodiscard]] boost::asio::awaitable<TaskReply> SendOrder(
      cell::TaskOrder order);

  [[nodiscard]] boost::asio::awaitable<TaskReply> Release(CellRef cell,
                                                          cell::TaskRef task);

  [[nodiscard]] boost::asio::awaitable<TaskReply> Stop(CellRef cell,
                                                       cell::TaskRef task,
                                                       cell::StopMode mode);

  /// Deletes the result that the worker keeps. Failures are ignored, because
  /// the worker drops the result when its retention ends.
  [[nodiscard]] boost::asio::awaitable<void> DeleteResult(CellRef cell,
                                                          cell::TaskRef task);

  /// @throws Error kAnswerDamaged/kRan when length or digest do not match those
  ///     in `task`, kWorkerUnreachable when there is no complete response.
  [[nodiscard]] boost::asio::awaitable<Answer> FetchAnswer(
      CellRef cell, cell::ReportedTask task);

  /// Long poll for changed tasks.
  /// @param after the `change` of the previous report; 0 for all tasks.
  /// @param wait longest wait for a change.
  /// @throws StaleEpochError when the worker knows a higher epoch, another
  ///     Error when there is no complete report.
  [[nodiscard]] boost::asio::awaitable<Report> FetchReport(CellRef cell,
                                                           std::uint64_t after,
                                                           Duration wait);

 private:
  boost::asio::awaitable<TaskReply> SendTaskRequest(http::Request request);

  http::Client orders_;
  http::Client reports_;
  Duration timeout_;
};

}  // namespace jasminespar::endpoint

#endif  // JASMINESPAR_ENDPOINT_WORKER_CLIENT_H_
