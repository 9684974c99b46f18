/// @file
/// The compiled configuration: client accounts, guarantees and services.

#ifndef JASMINESPAR_CONFIGURATION_CONFIGURATION_H_
#define JASMINESPAR_CONFIGURATION_CONFIGURATION_H_

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "jasminespar/core/ids.h"
#include "jasminespar/core/name_table.h"
#include "jasminespar/core/time.h"

namespace jasminespar::configuration {

/// Levels of the accelerator topology of one cell, smallest first.
enum class ShapeLevel : std::uint8_t {
  kAccelerator,
  kPair,
  kQuad,
  kWorker,
  kRack,
};

inline constexpr NameTable<ShapeLevel, 5> kShapeLevelNames{{
    {ShapeLevel::kAccelerator, "accelerator", "One accelerator."},
    {ShapeLevel::kPair, "pair", "Two adjacent accelerators of a worker."},
    {ShapeLevel::kQuad, "quad", "Four adjacent accelerators of a worker."},
    {ShapeLevel::kWorker, "worker", "All accelerators of one worker."},
    {ShapeLevel::kRack, "rack", "All workers of one rack."},
}};
static_assert(IsDense(kShapeLevelNames));

/// `count` shapes of one level that an account can always reclaim from
/// borrowers.
struct Guarantee {
  ShapeLevel level = ShapeLevel::kAccelerator;
  std::uint32_t count = 0;
  auto operator<=>(const Guarantee&) const = default;
};

struct ClientAccount {
  ClientAccountId id;
  double weight = 1.0;  ///< Relative share of borrowed capacity; above 0.
  std::vector<Guarantee> guarantees;
  std::uint32_t max_waiting_calls = 10'000;  ///< Per cell.
  auto operator<=>(const ClientAccount&) const = default;
};

struct Service {
  ServiceId id;
  std::uint32_t max_body_bytes = 1U << 20;
  Duration default_deadline = 60s;
  Duration answer_retention = 10min;  ///< How long outcomes are kept.
  /// Data centres that may run the service; empty means all.
  std::vector<DataCentreId> data_centres;
  auto operator<=>(const Service&) const = default;
};

/// The complete configuration of one accepted revision. Only messages between
/// instances contain differences between revisions.
struct Configuration {
  Revision revision;
  std::map<ClientAccountId, ClientAccount> accounts;
  std::map<ServiceId, Service> services;
  auto operator<=>(const Configuration&) const = default;
};

/// The share of one cell: all accounts, each with only the guarantees that this
/// cell provides.
struct CellShare {
  Revision revision;
  std::vector<ClientAccount> accounts;
  auto operator<=>(const CellShare&) const = default;
};

}  // namespace jasminespar::configuration

#endif  // JASMINESPAR_CONFIGURATION_CONFIGURATION_H_
