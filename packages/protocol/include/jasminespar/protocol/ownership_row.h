/// @file
/// Encoding of the row that names a cell's owner.

#ifndef JASMINESPAR_PROTOCOL_OWNERSHIP_ROW_H_
#define JASMINESPAR_PROTOCOL_OWNERSHIP_ROW_H_

#include <string>
#include <string_view>

#include "jasminespar/membership/ownership.h"

namespace jasminespar::protocol {

[[nodiscard]] std::string Encode(const membership::OwnershipRow& row);

/// @throws Error kMalformedRequest/kNotRun when the bytes are not such a row.
[[nodiscard]] membership::OwnershipRow DecodeOwnershipRow(
    std::string_view bytes);

}  // namespace jasminespar::protocol

#endif  // JASMINESPAR_PROTOCOL_OWNERSHIP_ROW_H_
