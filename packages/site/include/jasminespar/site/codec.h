/// @file
/// Tables of functions that encode and decode the messages of a site's own
/// platform. An adapter fills them in; no other code knows those formats.

#ifndef JASMINESPAR_SITE_CODEC_H_
#define JASMINESPAR_SITE_CODEC_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jasminespar/core/ids.h"
#include "jasminespar/http/message.h"
#include "jasminespar/jobs/messages.h"
#include "jasminespar/site/table.h"

namespace jasminespar::site {

/// Why a text could not be decoded; the message is meant for people.
struct DecodeError {
  std::string message;
};

template <typename Value>
using Decoded = std::variant<Value, DecodeError>;

struct TableCodec {
  http::Request (*encode)(const TableRequest&);
  /// @return NoAnswer when the response does not say whether the request took
  ///     effect.
  TableOutcome (*decode)(const TableRequest&, const http::Response&);
};

struct WorkerCodec {
  http::Request (*encode_order)(const jobs::SendOrder&, Epoch);
  /// @return OrderUnanswered when the response does not say whether the order
  ///     took effect.
  jobs::OrderOutcome (*decode_response)(const jobs::SendOrder&,
                                        const http::Response&);
};

/// Requests of a caller to a queue.
struct SubmitJob {
  jobs::JobId id;
};
struct ShowJob {
  jobs::JobId id;
};
struct CancelJob {
  jobs::JobId id;
};
struct CountPending {};
struct UnknownRequest {};
using CallerRequest =
    std::variant<SubmitJob, ShowJob, CancelJob, CountPending, UnknownRequest>;

struct CallerCodec {
  /// @param rest the path after the queue's prefix.
  /// @return UnknownRequest when method and path name none of the others.
  CallerRequest (*decode_request)(std::string_view method,
                                  std::string_view rest);
  Decoded<jobs::JobSpec> (*decode_job)(const std::string& body);
  /// @return the caller's API key; empty when there is none.
  std::string (*api_key_of)(const http::Request&);
  /// @return how long the caller waits for the response; nullopt when the
  ///     request does not say.
  std::optional<Duration> (*timeout_of)(const http::Request&);
  std::string (*encode_phase)(jobs::JobPhase);
  std::string (*encode_pending)(std::size_t);
  /// Path of the load balancer's readiness check.
  std::string_view readiness_path;
};

struct OperatorCodec {
  std::string_view configuration_table;
  RowKey configuration_row;
  Decoded<jobs::SiteConfiguration> (*decode_configuration)(const std::string&);
  std::string_view worker_table;
  std::string_view worker_partition;
  Decoded<jobs::WorkerEntry> (*decode_worker)(const Row&);
  /// Rows of the data centres that the operator empties, as long as they exist.
  RowRange evacuations;
  /// @param row of that range.
  /// @return the data centre that it empties; empty if it names none.
  DataCentreId (*decode_evacuation)(const Row& row);
};

struct SiteCodec {
  TableCodec table;
  WorkerCodec worker;
  CallerCodec caller;
  OperatorCodec operators;
};

}  // namespace jasminespar::site

#endif  // JASMINESPAR_SITE_CODEC_H_
