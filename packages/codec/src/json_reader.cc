#include "json_reader.h"

#include <algorithm>
#include <cmath>

namespace jasminespar::codec {

std::string Dump(const Json& json) {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

void ErrorList::Add(std::string path, std::string message) {
  if (errors_.size() >= kMaxParseErrors) return;
  errors_.push_back({std::move(path), std::move(message)});
}

ObjectReader::ObjectReader(const Json& json, std::string path,
                           ErrorList& errors)
    : path_(std::move(path)), errors_(errors) {
  if (json.is_object()) {
    object_ = &json;
  } else {
    errors_.Add(path_, "not an object");
  }
}

std::string ObjectReader::PathOf(std::string_view name) const {
  return path_.empty() ? std::string(name) : path_ + "." + std::string(name);
}

const Json* ObjectReader::Find(std::string_view name, Presence presence) {
  known_names_.push_back(name);
  if (object_ == nullptr) return nullptr;
  const auto found = object_->find(name);
  if (found != object_->end()) return &*found;
  if (presence == Presence::kRequired) errors_.Add(PathOf(name), "missing");
  return nullptr;
}

void ObjectReader::Read(std::string_view name, Presence presence,
                        std::string& target) {
  const Json* member = Find(name, presence);
  if (member == nullptr) return;
  if (member->is_string()) {
    target = member->get<std::string>();
  } else {
    errors_.Add(PathOf(name), "not a string");
  }
}

void ObjectReader::Read(std::string_view name, Presence presence,
                        double& target) {
  const Json* member = Find(name, presence);
  if (member == nullptr) return;
  if (member->is_number() && std::isfinite(member->get<double>())) {
    target = member->get<double>();
  } else {
    errors_.Add(PathOf(name), "not a number");
  }
}

void ObjectReader::ReadUnsigned(std::string_view name, Presence presence,
                                std::uint64_t max, std::uint64_t& target) {
  const Json* member = Find(name, presence);
  if (member == nullptr) return;
  if (member->is_number_unsigned() && member->get<std::uint64_t>() <= max) {
    target = member->get<std::uint64_t>();
  } else {
    errors_.Add(PathOf(name),
                "not a whole number from 0 to " + std::to_string(max));
  }
}

void ObjectReader::Read(std::string_view name, Presence presence,
                        std::uint64_t& target) {
  // The largest number is excluded, because a revision needs a successor.
  ReadUnsigned(name, presence, std::numeric_limits<std::uint64_t>::max() - 1,
               target);
}

void ObjectReader::Read(std::string_view name, Presence presence,
                        std::uint32_t& target) {
  std::uint64_t wide = target;
  ReadUnsigned(name, presence, std::numeric_limits<std::uint32_t>::max(), wide);
  target = static_cast<std::uint32_t>(wide);
}

void ObjectReader::ReadMilliseconds(std::string_view name, Presence presence,
                                    Duration& target) {
  constexpr std::uint64_t kMaxMilliseconds = 1'000'000'000'000;
  std::uint64_t milliseconds = kMaxMilliseconds + 1;  // Not read.
  ReadUnsigned(name, presence, kMaxMilliseconds, milliseconds);
  if (milliseconds > kMaxMilliseconds) return;
  target = std::chrono::milliseconds(milliseconds);
}

void ObjectReader::ReadEach(
    std::string_view name, Presence presence,
    const std::function<void(const Json&, const std::string&)>& read) {
  const Json* member = Find(name, presence);
  if (member == nullptr) return;
  if (!member->is_array()) {
    errors_.Add(PathOf(name), "not an array");
    return;
  }
  for (std::size_t i = 0; i < member->size(); ++i) {
    read((*member)[i], PathOf(name) + "[" + std::to_string(i) + "]");
  }
}

const Json* ObjectReader::FindObject(std::string_view name, Presence presence) {
  const Json* member = Find(name, presence);
  if (member == nullptr || member->is_object()) return member;
  errors_.Add(PathOf(name), "not an object");
  return nullptr;
}

void ObjectReader::ReportUnknownMembers() {
  if (object_ == nullptr || errors_.unknown() == UnknownMembers::kIgnore) {
    return;
  }
  for (const auto& [name, value] : object_->items()) {
    if (std::find(known_names_.begin(), known_names_.end(), name) !=
        known_names_.end()) {
      continue;
    }
    errors_.Add(PathOf(name), "unknown member");
  }
}

}  // namespace jasminespar::codec
