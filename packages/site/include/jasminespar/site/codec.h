/// @file
/// What a site's own formats must be translated to and from. A site fills
/// these tables of functions; nothing else knows its formats.

#ifndef JASMINESPAR_SITE_CODEC_H_
#define JASMINESPAR_SITE_CODEC_H_

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "jasminespar/http/message.h"
#include "jasminespar/jobs/messages.h"
#include "jasminespar/site/table.h"

namespace jasminespar::site {

/// Why a text could not be decoded, for a person.
struct DecodeError {
  std::string message;
};

template <typename Value>
using Decoded = std::variant<Value, DecodeError>;

struct TableCodec {
  http::Request (*encode)(const TableRequest&);
  /// @return NoAnswer when the response does not tell what was done.
  TableOutcome (*decode)(const TableRequest&, const http::Response&);
};

struct WorkerCodec {
  http::Request (*encode_order)(const jobs::SendOrder&, Epoch);
  /// @return OrderUnanswered when the answer does not tell what was done.
  jobs::OrderOutcome (*decode_response)(const jobs::SendOrder&,
                                        const http::Response&);
};

/// What a caller asks of a queue.
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
struct UnknownCall {};
using CallerRequest =
    std::variant<SubmitJob, ShowJob, CancelJob, CountPending, UnknownCall>;

struct CallerCodec {
  /// @param rest of the path after the queue's prefix.
  CallerRequest (*decode_request)(std::string_view method,
                                  std::string_view rest);
  Decoded<jobs::JobSpec> (*decode_job)(const std::string& body);
  /// @return the caller's key; empty when there is none.
  std::string (*api_key_of)(const http::Request&);
  /// @return how long the caller waits; nothing when it does not say.
  std::optional<Duration> (*timeout_of)(const http::Request&);
  std::string (*encode_phase)(jobs::JobPhase);
  std::string (*encode_pending)(std::size_t);
  /// @return the path of the balancer's question.
  std::string_view readiness_path;
};

struct OperatorCodec {
  std::string_view configuration_table;
  RowKey configuration_row;
  Decoded<jobs::SiteConfiguration> (*decode_configuration)(const std::string&);
  std::string_view worker_table;
  std::string_view worker_partition;
  Decoded<jobs::WorkerEntry> (*decode_worker)(const Row&);
};

struct SiteCodec {
  TableCodec table;
  WorkerCodec worker;
  CallerCodec caller;
  OperatorCodec operators;
};

}  // namespace jasminespar::site

#endif  // JASMINESPAR_SITE_CODEC_H_
