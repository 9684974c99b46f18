#include "failing_allocation.h"

#include <cstdlib>
#include <new>

namespace jasminespar::jobs {
namespace {

constexpr int kNone = -1;

/// Allocations before the one that fails.
thread_local int allocations_left = kNone;

}  // namespace

FailingAllocation::FailingAllocation(int number) noexcept {
  allocations_left = number;
}

FailingAllocation::~FailingAllocation() { allocations_left = kNone; }

bool FailingAllocation::failed() const noexcept {
  return allocations_left == kNone;
}

}  // namespace jasminespar::jobs

void* operator new(std::size_t size) {
  using jasminespar::jobs::allocations_left;
  using jasminespar::jobs::kNone;
  if (allocations_left != kNone && allocations_left-- == 0) {
    throw std::bad_alloc();
  }
  void* memory = std::malloc(size == 0 ? 1 : size);
  if (memory == nullptr) throw std::bad_alloc();
  return memory;
}

void operator delete(void* memory) noexcept { std::free(memory); }
void operator delete(void* memory, std::size_t) noexcept { std::free(memory); }
