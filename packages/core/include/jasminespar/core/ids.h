/// @file
/// Strong types for identifiers and counters that cross package borders.

#ifndef JASMINESPAR_CORE_IDS_H_
#define JASMINESPAR_CORE_IDS_H_

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace jasminespar {

/// Identifier that an operator or the platform writes as text.
template <typename Tag>
struct TextId {
  std::string value;
  auto operator<=>(const TextId&) const = default;
};

/// Identifier or counter held as a number.
template <typename Tag>
struct NumericId {
  std::uint64_t value = 0;
  auto operator<=>(const NumericId&) const = default;
};

using ClientAccountId = TextId<struct ClientAccountTag>;
using ServiceId = TextId<struct ServiceTag>;
using DataCentreId = TextId<struct DataCentreTag>;
using InstanceId = TextId<struct InstanceTag>;

/// Scheduling unit: whole racks of one data centre, written "dc/index".
using CellId = TextId<struct CellTag>;

/// Number that the platform's list gives a worker.
using WorkerId = NumericId<struct WorkerTag>;

/// Number of the accepted configuration; only rises.
using Revision = NumericId<struct RevisionTag>;

/// Counts the runs of one call from 1; 0 means never started.
using Attempt = NumericId<struct AttemptTag>;

/// Position in the journal of one cell and epoch.
using Sequence = NumericId<struct SequenceTag>;

/// Fencing token of a cell's owner. The platform's table raises `durable`;
/// a provisional owner in a cut-off data centre raises `provisional` only.
struct Epoch {
  std::uint64_t durable = 0;
  std::uint32_t provisional = 0;
  auto operator<=>(const Epoch&) const = default;
};

/// Identifies a call by its key: equal keys give equal ids on every instance.
struct CallId {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  auto operator<=>(const CallId&) const = default;
};

/// @return 32 hexadecimal digits.
[[nodiscard]] std::string ToString(const CallId& id);

/// @param text 32 hexadecimal digits.
/// @return the id, or nothing when the text is anything else.
[[nodiscard]] std::optional<CallId> ParseCallId(std::string_view text);

}  // namespace jasminespar

template <typename Tag>
struct std::hash<jasminespar::TextId<Tag>> {
  std::size_t operator()(const jasminespar::TextId<Tag>& id) const noexcept {
    return std::hash<std::string>{}(id.value);
  }
};

template <typename Tag>
struct std::hash<jasminespar::NumericId<Tag>> {
  std::size_t operator()(const jasminespar::NumericId<Tag>& id) const noexcept {
    return std::hash<std::uint64_t>{}(id.value);
  }
};

template <>
struct std::hash<jasminespar::CallId> {
  std::size_t operator()(const jasminespar::CallId& id) const noexcept {
    return static_cast<std::size_t>(id.low);  // Already a uniform hash.
  }
};

#endif  // JASMINESPAR_CORE_IDS_H_
