// Workers that leave in an orderly way: when what ran there has certainly
// ended, and when the next owner need not know them.
#include "dispatcher_impl.h"

namespace jasminespar::jobs {

namespace {

/// The platform deletes the entry of a worker that it has not heard of for this
/// long.
constexpr Duration kEntryExpiry = 4500ms;

/// A worker reports to the platform about this often.
constexpr Duration kEntryInterval = 1500ms;

/// If the entry of a worker is seen to be deleted within this time after it
/// began to leave, or after its last answer, the entry has not expired: a cut
/// of the worker from all others began later than that would need. A change
/// of the list is seen up to kMaxWorkerListAge late, which makes the time
/// longer, never shorter.
constexpr Duration kExitTimeout = 2500ms;
static_assert(kExitTimeout + kMaxWorkerListAge < kEntryExpiry);
static_assert(kExitTimeout < kEntryExpiry - kEntryInterval);

/// A worker that is cut off from the platform alone still answers; this many
/// polls in a row without an answer, the last of them sent after the deletion,
/// show that it does not.
constexpr std::uint32_t kExitPolls = 2;

/// They take at least this long together: a connection may be reset at once.
constexpr Duration kExitSilence = 400ms;

}  // namespace

void Dispatcher::Impl::NoteListConfirmed(TimePoint as_of, const Now& now) {
  if (as_of - worker_list_as_of_ >= kMaxWorkerListAge) {
    list_current_since_ = now.steady;
  }
  worker_list_as_of_ = std::max(worker_list_as_of_, as_of);
}

void Dispatcher::Impl::NoteDeletedEntry(WorkerState& worker, const Now& now) {
  const std::optional<TimePoint> since = worker.leaving_since;
  if (since && now.steady - *since < kExitTimeout) {
    HandleExit(worker, now);
    return;
  }
  const bool list_current =
      now.steady - worker_list_as_of_ < kMaxWorkerListAge &&
      now.steady - list_current_since_ >= kEntryExpiry;
  if (!worker.leaving || !list_current) return;
  if (now.steady - worker.last_answer >= kExitTimeout) return;
  worker.entry_deleted_at = now.steady;
  worker.poll_soon = true;
}

void Dispatcher::Impl::NoteUnansweredPoll(WorkerState& worker,
                                          const PendingOrder& poll,
                                          const Now& now) {
  ++worker.unanswered_polls;
  if (!worker.entry_deleted_at || poll.sent_at < *worker.entry_deleted_at) {
    return;
  }
  const Duration silence = now.steady - *worker.entry_deleted_at;
  if (worker.unanswered_polls >= kExitPolls && silence >= kExitSilence) {
    HandleExit(worker, now);
  }
}

void Dispatcher::Impl::NoteAnsweredPoll(WorkerState& worker,
                                        const PendingOrder& poll) {
  worker.unanswered_polls = 0;
  // The entry had expired; what happens to the worker later is another matter.
  if (worker.entry_deleted_at && poll.sent_at >= *worker.entry_deleted_at) {
    worker.entry_deleted_at.reset();
  }
}

void Dispatcher::Impl::HandleExit(WorkerState& worker, const Now& now) {
  worker.entry_deleted_at.reset();
  worker.lease_expires_at = now.steady;
  worker.silent = true;
}

}  // namespace jasminespar::jobs
