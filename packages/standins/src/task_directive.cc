#include "jasminespar/standins/task_directive.h"

#include <charconv>
#include <cstdint>
#include <cstdio>

namespace jasminespar::standins {

namespace {

constexpr std::uint64_t kMaxRunTimeMs = 86'400'000;
constexpr std::uint64_t kMaxAnswerBytes = 64U << 20;

std::uint64_t ParseNumber(std::string_view text, std::uint64_t limit) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return std::min(number, limit);
}

void ApplyPair(std::string_view key, std::string_view value,
               TaskDirective& directive) {
  if (key == "run_ms") {
    directive.run_time =
        std::chrono::milliseconds(ParseNumber(value, kMaxRunTimeMs));
  } else if (key == "answer_bytes") {
    directive.answer_bytes = ParseNumber(value, kMaxAnswerBytes);
  } else if (key == "fail") {
    directive.fail = value == "1";
  } else if (key == "checkpoint") {
    directive.checkpoint_time =
        std::chrono::milliseconds(ParseNumber(value, kMaxRunTimeMs));
  }
}

}  // namespace

TaskDirective ParseTaskDirective(std::string_view body) {
  TaskDirective directive;
  while (!body.empty()) {
    const std::string_view pair = body.substr(0, body.find(';'));
    body.remove_prefix(std::min(body.size(), pair.size() + 1));
    const std::size_t equals = pair.find('=');
    if (equals == std::string_view::npos) continue;
    ApplyPair(pair.substr(0, equals), pair.substr(equals + 1), directive);
  }
  return directive;
}

std::string FormatTaskDirective(const TaskDirective& directive,
                                std::string_view tag) {
  std::string body =
      "run_ms=" + std::to_string(ToMilliseconds(directive.run_time));
  body += ";answer_bytes=" + std::to_string(directive.answer_bytes);
  body += ";checkpoint=" +
          std::to_string(ToMilliseconds(directive.checkpoint_time));
  if (directive.fail) body += ";fail=1";
  body += ";tag=";
  body += tag;
  return body;
}

std::string FormatDigest(Digest digest) {
  char text[17];
  std::snprintf(text, sizeof text, "%016llx",
                static_cast<unsigned long long>(digest.value));
  return text;
}

std::string MakeEndpointAnswer(const CallId& call, std::string_view body) {
  const std::string digest = FormatDigest(DigestOf(body));
  std::string answer = "call=" + ToString(call) + ";digest=" + digest + ";";
  const std::size_t bytes = ParseTaskDirective(body).answer_bytes;
  while (answer.size() < bytes) answer += digest;
  return answer;
}

}  // namespace jasminespar::standins
