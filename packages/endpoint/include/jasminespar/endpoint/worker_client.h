/// @file
/// Client of the endpoint on one worker. Knows the HTTP form of orders,
/// reports and answers; decides nothing.

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

/// The worker did not do what was asked.
struct OrderFailed {
  Reason reason = Reason::kWorkerRefused;
  Verdict verdict = Verdict::kNotRun;
};

/// The state after the request, or why there was no effect.
using TaskReply = std::variant<cell::TaskState, OrderFailed>;

struct Report {
  WorkerId worker;
  std::uint64_t change = 0;       ///< Pass as `after` next time.
  std::uint64_t incarnation = 0;  ///< Changes when the worker lost its tasks.
  bool leaving = false;
  std::vector<cell::ReportedTask> tasks;
};

/// The worker knows a higher epoch of the cell; nothing was done.
class StaleEpochError : public Error {
 public:
  explicit StaleEpochError(Epoch highest)
      : Error(Reason::kStaleEpoch, Verdict::kNotRun, "a worker knows a higher"),
        highest_(highest) {}

  /// @return the epoch that the worker has seen; 0.0 when it does not say.
  [[nodiscard]] Epoch highest() const noexcept { return highest_; }

 private:
  Epoch highest_;
};

/// Uses at most `max_connections` of the endpoint's 64, plus one for reports.
class WorkerClient {
 public:
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

  /// Drops the kept result; failures do not matter, the worker expires it.
  [[nodiscard]] boost::asio::awaitable<void> DeleteResult(CellRef cell,
                                                          cell::TaskRef task);

  /// @throws Error kAnswerDamaged/kRan when length or digest do not match,
  ///     kWorkerUnreachable when there is no whole reply.
  [[nodiscard]] boost::asio::awaitable<Answer> FetchAnswer(
      CellRef cell, cell::ReportedTask task);

  /// Long poll. @param after 0 for all tasks. @param wait longest wait when
  ///     nothing changed.
  /// @throws StaleEpochError when the worker knows a higher epoch, another
  ///     Error when there is no whole report.
  [[nodiscard]] boost::asio::awaitable<Report> FetchReport(CellRef cell,
                                                           std::uint64_t after,
                                                           Duration wait);

 private:
  boost::asio::awaitable<TaskReply> SendForState(http::Request request);

  http::Client orders_;
  http::Client reports_;
  Duration timeout_;
};

}  // namespace jasminespar::endpoint

#endif  // JASMINESPAR_ENDPOINT_WORKER_CLIENT_H_
