/// @file
/// What the answer to a watch shows about the watched table.

#ifndef JASMINESPAR_SITE_WATCH_PROGRESS_H_
#define JASMINESPAR_SITE_WATCH_PROGRESS_H_

#include <optional>

#include "jasminespar/core/time.h"
#include "jasminespar/site/table.h"

namespace jasminespar::site {

/// @param wait the longest that the table waited for a change.
/// @return the time up to which every change of the table is known; nothing
///     after a full page, as the watch is behind by an unknown time.
[[nodiscard]] inline std::optional<TimePoint> CurrentAsOf(const RowPage& page,
                                                          TimePoint sent_at,
                                                          Duration wait) {
  if (page.has_more) return std::nullopt;
  // An answer without rows shows that nothing changed during the whole wait.
  return page.rows.empty() ? sent_at + wait : sent_at;
}

}  // namespace jasminespar::site

#endif  // JASMINESPAR_SITE_WATCH_PROGRESS_H_
