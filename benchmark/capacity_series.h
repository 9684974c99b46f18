/// @file
/// Measurement and CSV output of the capacity benchmark.

#ifndef JASMINESPAR_BENCHMARK_CAPACITY_SERIES_H_
#define JASMINESPAR_BENCHMARK_CAPACITY_SERIES_H_

#include <malloc.h>
#include <time.h>

#include <algorithm>
#include <cstdint>
#include <cstdio>
#include <limits>
#include <string_view>

namespace jasminespar::benchmark {

/// One series of the CSV: a cost at several sizes.
struct Series {
  std::string_view name;
  std::string_view size;  ///< What the size counts; column `size_of`.
  std::string_view unit;  ///< Of the values.
};

inline void Print(const Series& series, double size, double value) {
  std::printf("%.*s,%.*s,%.0f,%.3f,%.*s\n",
              static_cast<int>(series.name.size()), series.name.data(),
              static_cast<int>(series.size.size()), series.size.data(), size,
              value, static_cast<int>(series.unit.size()), series.unit.data());
}

/// @return CPU time of this thread, in microseconds.
inline double ThreadMicroseconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<double>(time.tv_sec) * 1e6 +
         static_cast<double>(time.tv_nsec) / 1e3;
}

/// @param repeats calls of `run` in each batch.
/// @return CPU time of one call of `run`, in microseconds: the minimum over
///     several batches, since other load on the machine only adds time.
template <typename Run>
double MicrosecondsOf(int repeats, Run run) {
  constexpr int kBatches = 7;
  double best = std::numeric_limits<double>::infinity();
  for (int batch = 0; batch < kBatches; ++batch) {
    const double start = ThreadMicroseconds();
    for (int i = 0; i < repeats; ++i) run();
    best = std::min(best, (ThreadMicroseconds() - start) / repeats);
  }
  return best;
}

/// @return the number of heap bytes in use.
inline double HeapBytes() {
  const auto info = mallinfo2();
  return static_cast<double>(info.uordblks) + static_cast<double>(info.hblkhd);
}

/// Prevents the compiler from removing the computation of `value`.
template <typename Value>
void DoNotOptimize(const Value& value) {
  asm volatile("" : : "r"(&value) : "memory");
}

void MeasureMembership();
void MeasureMessages();
void MeasureConfiguration();
void MeasureDecisions();

}  // namespace jasminespar::benchmark

#endif  // JASMINESPAR_BENCHMARK_CAPACITY_SERIES_H_
