/// @file
/// The store link's reads of the data centres that the operator empties. The
/// whole range is read each time: unlike a watch, a reading cannot be behind by
/// changes that it missed, and no history of the table is needed.

#include <utility>

#include "jasminespar/jobserver/store_link.h"
#include "jasminespar/runtime/clock.h"
#include "jasminespar/runtime/sleep.h"

namespace jasminespar::jobserver {

namespace asio = boost::asio;

namespace {

constexpr Duration kRetryDelay = 100ms;

}  // namespace

asio::awaitable<void> StoreLink::ReadEvacuations(Epoch epoch,
                                                 Duration interval) {
  site::RowVersion newest;
  while (owned_epoch_ == epoch) {
    const TimePoint sent_at = runtime::SteadyNow();
    site::TableRequest request = codec_.operators.evacuations;
    site::TableOutcome outcome = co_await client_.Send(std::move(request));
    if (owned_epoch_ != epoch) co_return;
    const auto* page = std::get_if<site::RowPage>(&outcome);
    // A lower version is an old state of the table. There are far fewer data
    // centres than rows in a page.
    if (page == nullptr || page->version < newest || page->has_more) {
      co_await runtime::Sleep(duty_.context(), kRetryDelay);
      continue;
    }
    newest = page->version;
    jobs::EvacuationsRead read;
    read.as_of = sent_at;
    for (const site::Row& row : page->rows) {
      DataCentreId emptied = codec_.operators.decode_evacuation(row);
      if (!emptied.value.empty()) read.emptied.insert(std::move(emptied));
    }
    rings_.dispatch.Send(EvacuationsFound{epoch, std::move(read)});
    co_await runtime::Sleep(duty_.context(), interval);
  }
}

}  // namespace jasminespar::jobserver
