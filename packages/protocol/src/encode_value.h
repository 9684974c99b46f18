/// @file
/// Encodes and decodes one value; used for all rows and messages. Private to
/// this package.

#ifndef JASMINESPAR_PROTOCOL_SRC_ENCODE_VALUE_H_
#define JASMINESPAR_PROTOCOL_SRC_ENCODE_VALUE_H_

#include <sstream>
#include <string>
#include <string_view>
#include <type_traits>
#include <utility>

#include "bounded_archive.h"
#include "jasminespar/core/error.h"

namespace jasminespar::protocol {

/// Serializes fields that were added to the end of a stored value. They keep
/// their defaults when a value is read that was written without them.
template <typename Archive, typename... Fields>
void SerializeAppended(Archive& archive, Fields&... fields) {
  if constexpr (std::is_same_v<Archive, BoundedInputArchive>) {
    if (archive.bytes_left() == 0) return;
  }
  archive(fields...);
}

template <typename Value>
std::string EncodeValue(const Value& value) {
  std::ostringstream stream;
  cereal::PortableBinaryOutputArchive archive(stream);
  archive(value);
  return std::move(stream).str();
}

/// @throws Error kMalformedRequest/kNotRun when the bytes are not exactly one
///     value.
template <typename Value>
Value DecodeValue(std::string_view bytes) {
  Value value;
  std::size_t bytes_left = 0;
  try {
    BoundedInputArchive archive(bytes);
    archive(value);
    bytes_left = archive.bytes_left();
  } catch (const std::exception& error) {
    throw Error(Reason::kMalformedRequest, Verdict::kNotRun, error.what());
  }
  if (bytes_left > 0) {
    throw Error(Reason::kMalformedRequest, Verdict::kNotRun,
                "bytes follow the value");
  }
  return value;
}

}  // namespace jasminespar::protocol

#endif  // JASMINESPAR_PROTOCOL_SRC_ENCODE_VALUE_H_
