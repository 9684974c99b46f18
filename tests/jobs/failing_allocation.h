/// @file
/// Lets one memory allocation of the calling thread fail, for tests of what an
/// unexpected exception leaves behind.

#ifndef JASMINESPAR_TESTS_JOBS_FAILING_ALLOCATION_H_
#define JASMINESPAR_TESTS_JOBS_FAILING_ALLOCATION_H_

namespace jasminespar::jobs {

/// While it exists, the allocation with that number, from 0, throws
/// std::bad_alloc.
class FailingAllocation {
 public:
  explicit FailingAllocation(int number) noexcept;
  ~FailingAllocation();

  FailingAllocation(const FailingAllocation&) = delete;
  FailingAllocation& operator=(const FailingAllocation&) = delete;

  /// @return whether that allocation has been requested.
  [[nodiscard]] bool failed() const noexcept;
};

}  // namespace jasminespar::jobs

#endif  // JASMINESPAR_TESTS_JOBS_FAILING_ALLOCATION_H_
