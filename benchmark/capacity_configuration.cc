#include <string>
#include <variant>
#include <vector>

#include "capacity_series.h"
#include "jasminespar/configuration/compile.h"
#include "jasminespar/configuration/release_note.h"
#include "jasminespar/configuration/split.h"

namespace jasminespar::benchmark {
namespace {

using namespace configuration;  // NOLINT(google-build-using-namespace)

constexpr int kWorkersPerRack = 8;

std::vector<CellTopology> MakeCells(int workers, std::uint32_t racks_per_cell) {
  std::vector<Worker> list;
  for (int i = 0; i < workers; ++i) {
    Worker worker;
    worker.id = WorkerId{static_cast<std::uint64_t>(i)};
    worker.data_centre = DataCentreId{"dc-" + std::to_string(i % 14)};
    worker.rack = static_cast<std::uint32_t>(i / 14 / kWorkersPerRack);
    worker.accelerators = 8;
    list.push_back(worker);
  }
  return GroupIntoCells(std::move(list), racks_per_cell);
}

Configuration MakeConfiguration(int accounts) {
  Configuration configuration;
  configuration.revision = Revision{1000};
  for (int i = 0; i < accounts; ++i) {
    ClientAccount account;
    account.id = ClientAccountId{"account-" + std::to_string(i)};
    account.guarantees.push_back({ShapeLevel::kQuad, 4});
    configuration.accounts[account.id] = account;
    Service service;
    service.id = ServiceId{"service-" + std::to_string(i)};
    configuration.services[service.id] = service;
  }
  return configuration;
}

/// @return a note that changes the weight of one account.
ReleaseNote MakeReleaseNote(const Configuration& configuration) {
  ReleaseNote note;
  note.id = NoteId{"note-1"};
  note.base = configuration.revision;
  note.title = "Raise a weight";
  ClientAccount account = configuration.accounts.begin()->second;
  account.weight = 2;
  note.accounts.changed.push_back(account);
  return note;
}

}  // namespace

void MeasureConfiguration() {
  const std::vector<CellTopology> cells = MakeCells(3840, 4);
  for (const int accounts : {16, 66, 132, 264, 528}) {
    const double before = HeapBytes();
    const Configuration configuration = MakeConfiguration(accounts);
    Print({"configuration_bytes", "accounts and services", "bytes"}, accounts,
          HeapBytes() - before);
    const ReleaseNote note = MakeReleaseNote(configuration);
    if (!std::holds_alternative<Configuration>(
            Compile(configuration, note, cells))) {
      std::fprintf(stderr, "the note does not compile\n");
      return;
    }
    Print({"compile", "accounts and services", "us"}, accounts,
          MicrosecondsOf(
              3, [&] { DoNotOptimize(Compile(configuration, note, cells)); }));
    const SplitResult previous = Split(configuration, cells, {});
    Print({"split", "accounts and services", "us"}, accounts,
          MicrosecondsOf(2, [&] {
            DoNotOptimize(Split(configuration, cells, previous.shares));
          }));
  }
}

}  // namespace jasminespar::benchmark
