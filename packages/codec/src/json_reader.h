/// @file
/// Reads members of a JSON text with checks of their types, collecting faults.

#ifndef JASMINESPAR_CODEC_SRC_JSON_READER_H_
#define JASMINESPAR_CODEC_SRC_JSON_READER_H_

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <limits>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "jasminespar/codec/parse_fault.h"
#include "jasminespar/core/name_table.h"
#include "jasminespar/core/time.h"

namespace jasminespar::codec {

using Json = nlohmann::json;

/// Compact text; invalid UTF-8 is replaced, so this never throws.
[[nodiscard]] std::string Dump(const Json& json);

enum class Needed : std::uint8_t { kRequired, kOptional };

/// Faults of one text.
class FaultList {
 public:
  explicit FaultList(UnknownMembers unknown) : unknown_(unknown) {}

  void Add(std::string path, std::string message);

  [[nodiscard]] bool empty() const noexcept { return faults_.empty(); }
  [[nodiscard]] UnknownMembers unknown() const noexcept { return unknown_; }
  [[nodiscard]] std::vector<ParseFault> Take() { return std::move(faults_); }

 private:
  UnknownMembers unknown_;
  std::vector<ParseFault> faults_;
};

/// One JSON object at `path`. Refers to the value and the list.
///
/// A read member that is absent, or has a wrong type, leaves its target as it
/// is and adds a fault, unless it is optional and absent.
class ObjectReader {
 public:
  ObjectReader(const Json& json, std::string path, FaultList& faults);

  void Read(std::string_view name, Needed needed, std::string& target);
  void Read(std::string_view name, Needed needed, double& target);
  void Read(std::string_view name, Needed needed, std::uint64_t& target);
  void Read(std::string_view name, Needed needed, std::uint32_t& target);

  /// Reads whole milliseconds.
  void ReadMilliseconds(std::string_view name, Needed needed, Duration& target);

  /// Reads a name of an enumerator.
  template <typename Row, std::size_t kSize, typename Enum>
  void ReadName(std::string_view name, Needed needed,
                const std::array<Row, kSize>& table, Enum& target) {
    std::string text;
    const Json* member = Find(name, needed);
    if (member == nullptr) return;
    if (member->is_string()) text = member->template get<std::string>();
    const std::optional<Enum> value = ParseName(table, text);
    if (value) {
      target = *value;
    } else {
      faults_.Add(PathOf(name), "not one of the known names");
    }
  }

  /// Calls `read(json, path)` for each element of an array.
  void ReadEach(
      std::string_view name, Needed needed,
      const std::function<void(const Json&, const std::string&)>& read);

  /// Reads an array of strings into ids.
  template <typename Id>
  void ReadIds(std::string_view name, Needed needed, std::vector<Id>& target) {
    ReadEach(name, needed, [&](const Json& json, const std::string& path) {
      if (json.is_string()) {
        target.push_back(Id{json.get<std::string>()});
      } else {
        faults_.Add(path, "not a string");
      }
    });
  }

  /// @return a member that is an object, or null.
  [[nodiscard]] const Json* FindObject(std::string_view name, Needed needed);

  [[nodiscard]] std::string PathOf(std::string_view name) const;
  [[nodiscard]] FaultList& faults() noexcept { return faults_; }

  /// Adds a fault for each member that no call has asked for.
  void Finish();

 private:
  const Json* Find(std::string_view name, Needed needed);
  void ReadUnsigned(std::string_view name, Needed needed, std::uint64_t max,
                    std::uint64_t& target);

  const Json* object_ = nullptr;  // Null when the value is no object.
  std::string path_;
  FaultList& faults_;
  std::vector<std::string_view> asked_;
};

/// Parses a text whose top is an object.
/// @param read fills the value: `read(ObjectReader&, Value&)`.
template <typename Value, typename Read>
Parsed<Value> ParseObject(std::string_view text, UnknownMembers unknown,
                          Read read) {
  FaultList faults(unknown);
  const Json json = Json::parse(text, nullptr, false);
  if (json.is_discarded()) {
    faults.Add("", "not JSON");
    return faults.Take();
  }
  ObjectReader reader(json, "", faults);
  Value value{};
  read(reader, value);
  reader.Finish();
  if (!faults.empty()) return faults.Take();
  return value;
}

}  // namespace jasminespar::codec

#endif  // JASMINESPAR_CODEC_SRC_JSON_READER_H_
