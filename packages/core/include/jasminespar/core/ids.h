/// @file
/// Strong types for identifiers and counters that packages share.

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

/// Textual identifier, chosen by an operator or by the platform.
template <typename Tag>
struct TextId {
  std::string value;
  auto operator<=>(const TextId&) const = default;
};

/// Numeric identifier or counter.
template <typename Tag>
struct NumericId {
  std::uint64_t value = 0;
  auto operator<=>(const NumericId&) const = default;
};

using ClientAccountId = TextId<struct ClientAccountTag>;
using ServiceId = TextId<struct ServiceTag>;
using DataCentreId = TextId<struct DataCentreTag>;
using InstanceId = TextId<struct InstanceTag>;

/// Id of a cell, the unit of scheduling: whole racks of one data centre.
/// Written as "data-centre/index", such as "dc-a/0".
using CellId = TextId<struct CellTag>;

/// Number of a worker in the platform's list.
using WorkerId = NumericId<struct WorkerTag>;

/// Number of an accepted configuration; increases monotonically.
using Revision = NumericId<struct RevisionTag>;

/// Number of a run of one call, from 1; 0 when the call never started.
using Attempt = NumericId<struct AttemptTag>;

/// Position in the journal of one cell and one epoch.
using Sequence = NumericId<struct SequenceTag>;

/// Fencing token of a cell's owner; compares `durable` first. The platform's
/// table increments `durable`; a provisional owner in a partitioned data
/// centre increments only `provisional`.
struct Epoch {
  std::uint64_t durable = 0;
  std::uint32_t provisional = 0;
  auto operator<=>(const Epoch&) const = default;
};

/// Hash of a call's key, so equal keys have equal ids on every instance.
struct CallId {
  std::uint64_t high = 0;
  std::uint64_t low = 0;
  auto operator<=>(const CallId&) const = default;
};

/// @return the id as 32 hexadecimal digits.
[[nodiscard]] std::string ToString(const CallId& id);

/// @param text 32 hexadecimal digits.
/// @return the id, or nothing when the text has another form.
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
    return static_cast<std::size_t>(id.low);  // Uniformly distributed.
  }
};

#endif  // JASMINESPAR_CORE_IDS_H_
