/// @file
/// Reads what cereal's portable binary archive wrote, from bytes that may be
/// damaged or hostile: no size is believed that the bytes left cannot hold.

#ifndef JASMINESPAR_PROTOCOL_BOUNDED_ARCHIVE_H_
#define JASMINESPAR_PROTOCOL_BOUNDED_ARCHIVE_H_

#include <bit>
#include <cereal/archives/portable_binary.hpp>
#include <cereal/cereal.hpp>
#include <cstdint>
#include <cstring>
#include <string_view>
#include <type_traits>

namespace jasminespar::protocol {

static_assert(std::endian::native == std::endian::little,
              "the portable archive writes the order of this machine");

/// The bytes must outlive it.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive,
                                  cereal::AllowEmptyClassElision> {
 public:
  /// @throws cereal::Exception when the first byte names another byte order.
  explicit BoundedInputArchive(std::string_view bytes)
      : InputArchive(this), rest_(bytes) {
    std::uint8_t little_endian = 0;
    LoadBytes(&little_endian, sizeof little_endian);
    if (little_endian != 1) throw cereal::Exception("byte order");
  }

  /// @throws cereal::Exception when fewer bytes are left.
  void LoadBytes(void* data, std::size_t size) {
    if (size > rest_.size()) throw cereal::Exception("bytes missing");
    std::memcpy(data, rest_.data(), size);
    rest_.remove_prefix(size);
  }

  [[nodiscard]] std::size_t bytes_left() const noexcept { return rest_.size(); }

 private:
  std::string_view rest_;
};

// Found by cereal through the archive's namespace.

template <typename Number>
requires std::is_arithmetic_v<Number>
void load(BoundedInputArchive& archive, Number& value) {
  archive.LoadBytes(&value, sizeof value);
}

inline void load(BoundedInputArchive& archive, bool& value) {
  std::uint8_t byte = 0;
  archive.LoadBytes(&byte, sizeof byte);
  if (byte > 1) throw cereal::Exception("neither false nor true");
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
  // Each element takes at least one byte.
  if (tag.size > archive.bytes_left()) throw cereal::Exception("size");
}

template <typename Value>
void load(BoundedInputArchive& archive, cereal::BinaryData<Value>& data) {
  archive.LoadBytes(data.data, static_cast<std::size_t>(data.size));
}

}  // namespace jasminespar::protocol

/// Tells cereal which archive wrote the bytes.
template <>
struct cereal::traits::detail::get_output_from_input<
    jasminespar::protocol::BoundedInputArchive> {
  using type = cereal::PortableBinaryOutputArchive;
};

#endif  // JASMINESPAR_PROTOCOL_BOUNDED_ARCHIVE_H_
