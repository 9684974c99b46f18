#include <string>

#include "capacity_series.h"
#include "jasminespar/protocol/journal_batch.h"
#include "jasminespar/protocol/peer_message.h"

namespace jasminespar::benchmark {
namespace {

CallRequest MakeRequest(std::size_t body_bytes, std::uint64_t number) {
  CallRequest request;
  request.key =
      CallKey{ClientAccountId{"account-7"}, ServiceId{"reading-list-building"},
              "key-" + std::to_string(number)};
  request.id = IdOf(request.key);
  request.time_left = 60s;
  request.declared_run_time = 5s;
  request.body = std::string(body_bytes, 'x');
  return request;
}

/// @return the journal records of one call, from admission to end.
std::vector<cell::JournalRecord> MakeRecords(std::uint64_t number) {
  constexpr std::size_t kBodyBytes = 1000;
  const CallRequest request = MakeRequest(kBodyBytes, number);
  const scheduling::Placement placement{
      {scheduling::Allocation{WorkerId{number}, 255}}};
  return {cell::CallAccepted{request, cell::WallTime{1}},
          cell::AttemptStarting{request.id, Attempt{1}, placement},
          cell::CallEnded{request.id, Answer{200, std::string(kBodyBytes, 'y')},
                          cell::WallTime{2}}};
}

void MeasureJournalRecord() {
  for (const int body : {0, 256, 1024, 4096, 16384}) {
    protocol::JournalBatch batch;
    batch.epoch = Epoch{1000, 0};
    batch.records.emplace_back(cell::CallAccepted{
        MakeRequest(static_cast<std::size_t>(body), 1), cell::WallTime{1}});
    const std::string bytes = protocol::Encode(batch);
    Print({"journal_record_bytes", "body bytes", "bytes"}, body,
          static_cast<double>(bytes.size()));
    Print(
        {"journal_record_encode", "body bytes", "us"}, body,
        MicrosecondsOf(1000, [&] { DoNotOptimize(protocol::Encode(batch)); }));
  }
}

void MeasureJournalBatch() {
  for (const int calls : {1, 4, 16, 64}) {
    protocol::JournalBatch batch;
    for (int i = 0; i < calls; ++i) {
      for (cell::JournalRecord& record :
           MakeRecords(static_cast<std::uint64_t>(i))) {
        batch.records.push_back(std::move(record));
      }
    }
    const std::string bytes = protocol::Encode(batch);
    Print({"journal_batch_bytes", "calls of 1 kB", "bytes"}, calls,
          static_cast<double>(bytes.size()));
    Print({"journal_batch_encode", "calls of 1 kB", "us"}, calls,
          MicrosecondsOf(200, [&] { DoNotOptimize(protocol::Encode(batch)); }));
    Print({"journal_batch_decode", "calls of 1 kB", "us"}, calls,
          MicrosecondsOf(200, [&] {
            DoNotOptimize(protocol::DecodeJournalBatch(bytes));
          }));
  }
}

void MeasureForwarding() {
  for (const int body : {0, 256, 1024, 4096, 16384}) {
    const protocol::PeerMessage message = protocol::ForwardedCall{
        1, CellId{"region-dc-1/3"}, 1,
        protocol::SubmitOp{MakeRequest(static_cast<std::size_t>(body), 1)}};
    const std::string bytes = protocol::Encode(message);
    Print({"forward_bytes", "body bytes", "bytes"}, body,
          static_cast<double>(bytes.size()));
    Print(
        {"forward_encode_decode", "body bytes", "us"}, body,
        MicrosecondsOf(1000, [&] {
          DoNotOptimize(protocol::DecodePeerMessage(protocol::Encode(message)));
        }));
  }
}

}  // namespace

void MeasureMessages() {
  MeasureJournalRecord();
  MeasureJournalBatch();
  MeasureForwarding();
}

}  // namespace jasminespar::benchmark
