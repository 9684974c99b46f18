/// @file
/// Measures how the costs of an instance grow, for docs/CAPACITY.md.
///
///     bench_capacity > docs/capacity/capacity.csv
///
/// Columns: series, what the size counts, size, value, unit.

#include <cstdio>

#include "capacity_series.h"

int main() {
  std::printf("series,size_of,size,value,unit\n");
  jasminespar::benchmark::MeasureMembership();
  jasminespar::benchmark::MeasureMessages();
  jasminespar::benchmark::MeasureConfiguration();
  jasminespar::benchmark::MeasureDecisions();
  return 0;
}
