/// @file
/// Reads the members of JSON objects, checks their types and collects errors.

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

#include "jasminespar/codec/parse_error.h"
#include "jasminespar/core/name_table.h"
#include "jasminespar/core/time.h"

namespace jasminespar::codec {

using Json = nlohmann::json;

/// @return compact JSON. Invalid UTF-8 is replaced, so that nothing is thrown.
[[nodiscard]] std::string Dump(const Json& json);

enum class Presence : std::uint8_t { kRequired, kOptional };

/// Errors of one JSON text, up to kMaxParseErrors.
class ErrorList {
 public:
  explicit ErrorList(UnknownMembers unknown) : unknown_(unknown) {}

  void Add(std::string path, std::string message);

  [[nodiscard]] bool empty() const noexcept { return errors_.empty(); }
  [[nodiscard]] UnknownMembers unknown() const noexcept { return unknown_; }
  [[nodiscard]] std::vector<ParseError> Take() { return std::move(errors_); }

 private:
  UnknownMembers unknown_;
  std::vector<ParseError> errors_;
};

/// Reads the JSON object at `path`. The value and the error list must outlive
/// the reader.
///
/// When a member is missing or has the wrong type, a read function leaves its
/// target unchanged and adds an error, unless a missing member is optional.
class ObjectReader {
 public:
  ObjectReader(const Json& json, std::string path, ErrorList& errors);

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
      errors_.Add(PathOf(name), "not one of the known names");
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
        errors_.Add(path, "not a string");
      }
    });
  }

  /// @return the member if it is an object, otherwise null.
  [[nodiscard]] const Json* FindObject(std::string_view name,
                                       Presence presence);

  /// @return the path of a member from the top of the text.
  [[nodiscard]] std::string PathOf(std::string_view name) const;
  [[nodiscard]] ErrorList& errors() noexcept { return errors_; }

  /// Adds an error for each member that no preceding call named, unless the
  /// error list ignores unknown members.
  void ReportUnknownMembers();

 private:
  const Json* Find(std::string_view name, Presence presence);
  void ReadUnsigned(std::string_view name, Presence presence, std::uint64_t max,
                    std::uint64_t& target);

  const Json* object_ = nullptr;  // Null if the value is not an object.
  std::string path_;
  ErrorList& errors_;
  std::vector<std::string_view> known_names_;
};

/// Parses a text whose top-level value is an object.
/// @param read reads the members: `read(ObjectReader&, Value&)`.
template <typename Value, typename Read>
Parsed<Value> ParseObject(std::string_view text, UnknownMembers unknown,
                          Read read) {
  ErrorList errors(unknown);
  const Json json = Json::parse(text, nullptr, false);
  if (json.is_discarded()) {
    errors.Add("", "not JSON");
    return errors.Take();
  }
  ObjectReader reader(json, "", errors);
  Value value{};
  read(reader, value);
  reader.ReportUnknownMembers();
  if (!errors.empty()) return errors.Take();
  return value;
}

}  // namespace jasminespar::codec

#endif  // JASMINESPAR_CODEC_SRC_JSON_READER_H_
