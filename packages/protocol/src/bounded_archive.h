/// @file
/// Reads the format of cereal's portable binary archive from bytes that may be
/// damaged or hostile: a size greater than the remaining bytes is rejected.

#ifndef JASMINESPAR_PROTOCOL_SRC_BOUNDED_ARCHIVE_H_
#define JASMINESPAR_PROTOCOL_SRC_BOUNDED_ARCHIVE_H_

#include <bit>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <type_traits>

namespace jasminespar::protocol {

static_assert(std::endian::native == std::endian::little,
              "values are written and read in the byte order of this machine");

/// Input archive over bytes that must outlive it.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive,
                                  cereal::AllowEmptyClassElision> {
 public:
  /// @throws cereal::Exception when the first byte does not denote
  ///     little-endian order.
  explicit BoundedInputArchive(std::string_view bytes)
      : InputArchive(this), remaining_(bytes) {
    std::uint8_t little_endian = 0;
    LoadBytes(&little_endian, sizeof little_endian);
    if (little_endian != 1) {
      throw cereal::Exception("byte order is not little-endian");
    }
  }

  /// Copies the next `size` bytes to `data`.
  /// @throws cereal::Exception when fewer bytes remain.
  void LoadBytes(void* data, std::size_t size) {
    if (size > remaining_.size()) {
      throw cereal::Exception("unexpected end of input");
    }
    std::memcpy(data, remaining_.data(), size);
    remaining_.remove_prefix(size);
  }

  [[nodiscard]] std::size_t bytes_left() const noexcept {
    return remaining_.size();
  }

 private:
  std::string_view remaining_;
};

// cereal finds these overloads by argument-dependent lookup.

template <typename Number>
requires std::is_arithmetic_v<Number>
void load(BoundedInputArchive& archive, Number& value) {
  archive.LoadBytes(&value, sizeof value);
}

inline void load(BoundedInputArchive& archive, bool& value) {
  std::uint8_t byte = 0;
  archive.LoadBytes(&byte, sizeof byte);
  if (byte > 1) throw cereal::Exception("boolean is neither 0 nor 1");
  value = byte == 1;
}

template <typename Value>
void serialize(BoundedInputArchive& archive,
               cereal::NameValuePair<Value>& pair) {
  archive(pair.value);
}

template <typename Size>
void serialize(BoundedInputArchive& archive, cereal::SizeTag<Size>& tag) {
  archive(tag.size);
  // Each element occupies at least one byte.
  if (tag.size > archive.bytes_left()) {
    throw cereal::Exception("size exceeds the remaining bytes");
  }
}

template <typename Value>
void load(BoundedInputArchive& archive, cereal::BinaryData<Value>& data) {
  archive.LoadBytes(data.data, static_cast<std::size_t>(data.size));
}

}  // namespace jasminespar::protocol

/// Names the output archive that corresponds to `BoundedInputArchive`.
template <>
struct cereal::traits::detail::get_output_from_input<
    jasminespar::protocol::BoundedInputArchive> {
  using type = cereal::PortableBinaryOutputArchive;
};

#endif  // JASMINESPAR_PROTOCOL_SRC_BOUNDED_ARCHIVE_H_
