/// @file
/// Encoding of the rows that store a cell's jobs.

#ifndef JASMINESPAR_PROTOCOL_JOB_RECORDS_H_
#define JASMINESPAR_PROTOCOL_JOB_RECORDS_H_

#include <string>
#include <string_view>

#include "jasminespar/jobs/messages.h"
#include "jasminespar/jobs/ownership.h"
#include "jasminespar/jobs/progress.h"

namespace jasminespar::protocol {

[[nodiscard]] std::string Encode(const jobs::AcceptedJob& job);
[[nodiscard]] std::string Encode(const jobs::JobProgress& progress);
[[nodiscard]] std::string Encode(const jobs::JobStatus& status);
[[nodiscard]] std::string Encode(const jobs::OwnerRow& row);
[[nodiscard]] std::string Encode(const jobs::WorkerEnrolled& worker);
[[nodiscard]] std::string Encode(const jobs::QueueRecord& record);

// Each throws Error kMalformedRequest/kNotRun when the bytes are not such a
// row.
[[nodiscard]] jobs::AcceptedJob DecodeAcceptedJob(std::string_view bytes);
[[nodiscard]] jobs::JobProgress DecodeJobProgress(std::string_view bytes);
[[nodiscard]] jobs::JobStatus DecodeJobStatus(std::string_view bytes);
[[nodiscard]] jobs::OwnerRow DecodeOwnerRow(std::string_view bytes);
[[nodiscard]] jobs::WorkerEnrolled DecodeWorkerEnrolled(std::string_view bytes);
[[nodiscard]] jobs::QueueRecord DecodeQueueRecord(std::string_view bytes);

}  // namespace jasminespar::protocol

#endif  // JASMINESPAR_PROTOCOL_JOB_RECORDS_H_
