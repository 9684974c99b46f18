/// @file
/// Reads the members of JSON objects, checks their types and collects faults.

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

/// @return compact JSON. Invalid UTF-8 is replaced, so that nothing is thrown.
[[nodiscard]] std::string Dump(const Json& json);

enum class Presence : std::uint8_t { kRequired, kOptional };

/// Faults of one JSON text, up to kMaxParseFaults.
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

/// Reads the JSON object at `path`. The value and the fault list must outlive
/// the reader.
///
/// When a member is missing or has the wrong type, a read function leaves its
/// target unchanged and adds a fault, unless a missing member is optional.
class ObjectReader {
 public:
  ObjectReader(const Json& json, std::string path, FaultList& faults);

  void Read(std::string_view name, Presence presence, std::string& target);
  void Read(std::string_view name, Presence presence, double& target);
  void Read(std::string_view name, Presence presence, std::uint64_t& target);
  void Read(std::string_view name, Presence presence, std::uint32_t& target);

  /// Reads an integer number of milliseconds.
  void ReadMilliseconds(std::string_view name, Presence presence,
                        Duration& target);

  /// Reads an enumerator by its name in `table`.
  template <typename Row, std::size_t kSize, typename Enum>
  void ReadName(std::string_view name, Presence presence,
                const std::array<Row, kSize>& table, Enum& target) {
    std::string text;
    const Json* member = Find(name, presence);
    if (member == nullptr) return;
    if (member->is_string()) text = member->template get<std::string>();
    const std::optional<Enum> value = ParseName(table, text);
    if (value) {
      target = *value;
    } else {
      faults_.Add(PathOf(name), "not one of the known names");
    }
  }

  /// Calls `read(element, path)` for each element of an array.
  void ReadEach(
      std::string_view name, Presence presence,
      const std::function<void(const Json&, const std::string&)>& read);

  /// Reads an array of strings into ids.
  template <typename Id>
  void ReadIds(std::string_view name, Presence presence,
               std::vector<Id>& target) {
    ReadEach(name, presence, [&](const Json& json, const std::string& path) {
      if (json.is_string()) {
        target.push_back(Id{json.get<std::string>()});
      } else {
        faults_.Add(path, "not a string");
      }
    });
  }

  /// @return the member if it is an object, otherwise null.
  [[nodiscard]] const Json* FindObject(std::string_view name,
                                       Presence presence);

  /// @return the path of a member from the top of the text.
  [[nodiscard]] std::string PathOf(std::string_view name) const;
  [[nodiscard]] FaultList& faults() noexcept { return faults_; }

  /// Adds a fault for each member that no preceding call named, unless the
  /// fault list ignores unknown members.
  void ReportUnknownMembers();

 private:
  const Json* Find(std::string_view name, Presence presence);
  void ReadUnsigned(std::string_view name, Presence presence, std::uint64_t max,
                    std::uint64_t& target);

  const Json* object_ = nullptr;  // Null if the value is not an object.
  std::string path_;
  FaultList& faults_;
  std::vector<std::string_view> known_names_;
};

/// Parses a text whose top-level value is an object.
/// @param read reads the members: `read(ObjectReader&, Value&)`.
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
  reader.ReportUnknownMembers();
  if (!faults.empty()) return faults.Take();
  return value;
}

}  // namespace jasminespar::codec

#endif  // JASMINESPAR_CODEC_SRC_JSON_READER_H_
