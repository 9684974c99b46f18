/// @file
/// What a delay costs the caller of a job.

#ifndef JASMINESPAR_JOBS_CALLER_COST_H_
#define JASMINESPAR_JOBS_CALLER_COST_H_

#include "jasminespar/core/time.h"

namespace jasminespar::jobs {

/// A job gains its caller nothing once its age exceeds this multiple of its
/// objective.
inline constexpr int kNoValueFactor = 3;

/// @param objective age by which the job's caller wants it to be complete.
/// @return whether the job has waited so long after the end of its value that
///     it goes before newer work without a guarantee.
[[nodiscard]] bool IsOverdue(Duration age, Duration objective) noexcept;

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_JOBS_CALLER_COST_H_
