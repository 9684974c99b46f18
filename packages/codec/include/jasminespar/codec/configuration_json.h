/// @file
/// JSON encoding of release notes, configurations and the cells' shares.

#ifndef JASMINESPAR_CODEC_CONFIGURATION_JSON_H_
#define JASMINESPAR_CODEC_CONFIGURATION_JSON_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "jasminespar/codec/parse_error.h"
#include "jasminespar/configuration/configuration.h"
#include "jasminespar/configuration/release_note.h"
#include "jasminespar/core/ids.h"

namespace jasminespar::codec {

/// Share of each cell, as configuration::Split returns it.
using CellShares = std::map<CellId, configuration::CellShare>;

// Each Parse function accepts any bytes and never throws. It does not check
// ranges of values, which configuration::Compile does.

[[nodiscard]] std::string EncodeNote(const configuration::ReleaseNote& note);
[[nodiscard]] Parsed<configuration::ReleaseNote> ParseNote(
    std::string_view text, UnknownMembers unknown = UnknownMembers::kReject);

/// @return {"notes": [...]}.
[[nodiscard]] std::string EncodeNotes(
    const std::vector<configuration::ReleaseNote>& notes);
[[nodiscard]] Parsed<std::vector<configuration::ReleaseNote>> ParseNotes(
    std::string_view text);

[[nodiscard]] std::string EncodeConfiguration(
    const configuration::Configuration& configuration);
[[nodiscard]] Parsed<configuration::Configuration> ParseConfiguration(
    std::string_view text);

/// @return {"cells": [{"id", "revision", "accounts": [...]}]}.
[[nodiscard]] std::string EncodeShares(const CellShares& shares);
[[nodiscard]] Parsed<CellShares> ParseShares(std::string_view text);

}  // namespace jasminespar::codec

#endif  // JASMINESPAR_CODEC_CONFIGURATION_JSON_H_
