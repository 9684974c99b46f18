#include "reply.h"

#include <utility>

namespace jasminespar::control {

http::Request MakeRequest(std::string method, std::string target,
                          std::string body) {
  http::Request request;
  request.method = std::move(method);
  request.target = std::move(target);
  request.body = std::move(body);
  return request;
}

bool IsProblem(const http::Response& response) {
  return http::HeaderOf(response.headers, "Content-Type") ==
         codec::kProblemMediaType;
}

ExitCode ExitCodeOf(const Refusal& refusal) {
  switch (refusal.reason) {
    case Reason::kRevisionConflict:
      return ExitCode::kConflict;
    case Reason::kInvalidNote:
      return ExitCode::kInvalidNote;
    default:
      return refusal.verdict == Verdict::kNotRun ? ExitCode::kRefused
                                                 : ExitCode::kUnknownOutcome;
  }
}

ExitCode ReportNoAnswer(const NoAnswer& failure, std::ostream& err) {
  err << "no answer (" << NameOf(failure.verdict) << ")\n" << failure.detail;
  return failure.verdict == Verdict::kNotRun ? ExitCode::kRefused
                                             : ExitCode::kUnknownOutcome;
}

ExitCode ReportProblem(const http::Response& response, std::ostream& err) {
  const auto parsed = codec::ParseProblem(response.body);
  const auto* problem = std::get_if<codec::Problem>(&parsed);
  if (problem == nullptr) {
    // Sent by an intermediary or a newer instance; the outcome is unknown.
    err << "status " << response.status << ": " << response.body << "\n";
    return ExitCode::kUnknownOutcome;
  }
  const Refusal& refusal = problem->refusal;
  err << "refused: " << NameOf(refusal.reason) << " ("
      << NameOf(refusal.verdict)
      << "): " << RowOf(kReasons, refusal.reason).help << "\n";
  if (!refusal.detail.empty()) err << refusal.detail << "\n";
  if (refusal.retry_after > Duration::zero()) {
    err << "retry after " << ToMilliseconds(refusal.retry_after) << "ms\n";
  }
  if (!problem->winner.value.empty()) {
    err << "accepted instead: note " << problem->winner.value << "\n";
  }
  for (const configuration::KeyConflict& conflict : problem->conflicts) {
    err << "conflict: " << conflict.item << " " << conflict.key << ": was "
        << conflict.base << ", accepted " << conflict.winner << ", yours "
        << conflict.loser << "\n";
  }
  return ExitCodeOf(refusal);
}

}  // namespace jasminespar::control
