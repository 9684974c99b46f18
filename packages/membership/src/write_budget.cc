#include "jasminespar/membership/write_budget.h"

#include <algorithm>
#include <cmath>

namespace jasminespar::membership {
namespace {

double SecondsOf(Duration span) {
  return std::chrono::duration<double>(span).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

WriteBudget::WriteBudget(const WriteBudgetSettings& settings)
    : settings_(settings),
      rate_(settings.site_writes_per_second * (1 - settings.reserved)),
      tokens_(settings.burst) {}

void WriteBudget::SetOwnerCount(std::size_t owners, TimePoint now) {
  tokens_ = TokensAt(now);
  counted_ = now;
  rate_ = settings_.site_writes_per_second * (1 - settings_.reserved) /
          static_cast<double>(std::max<std::size_t>(owners, 1));
}

std::optional<TimePoint> WriteBudget::NextWriteTime(const Batch& batch,
                                                    TimePoint now) const {
  if (batch.records == 0) return std::nullopt;
  const double tokens = TokensAt(now);
  // Records that nobody waits for leave the saved-up writes to those that
  // somebody does, unless the batch is full.
  const bool pressing =
      batch.urgent || batch.bytes >= settings_.full_batch_bytes;
  const double needed = pressing ? 1.0 : std::max(settings_.burst, 1.0);
  TimePoint earned = now;
  if (tokens < needed) earned += FromSeconds((needed - tokens) / rate_);
  return std::max(earned, not_before_);
}

void WriteBudget::RecordWrite(std::size_t rows, TimePoint now) {
  // May go below zero: a transaction of many rows is paid off afterwards.
  tokens_ = TokensAt(now) - static_cast<double>(rows);
  counted_ = now;
}

void WriteBudget::Backoff(TimePoint now, double jitter) {
  constexpr std::uint32_t kMostDoublings = 10;
  const double backoff =
      std::min(SecondsOf(settings_.retry_limit),
               SecondsOf(settings_.retry_base) *
                   std::exp2(std::min(failures_, kMostDoublings)));
  ++failures_;
  not_before_ = now + FromSeconds(backoff * jitter);
}

double WriteBudget::TokensAt(TimePoint now) const {
  const double earned = SecondsOf(now - counted_) * rate_;
  return std::min(std::max(settings_.burst, 1.0), tokens_ + earned);
}

}  // namespace jasminespar::membership
