#include "jasminespar/membership/write_budget.h"

#include <algorithm>
#include <cmath>

namespace jasminespar::membership {
namespace {

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

Duration FromSeconds(double seconds) {
  return std::chrono::ceil<Duration>(std::chrono::duration<double>(seconds));
}

}  // namespace

WriteBudget::WriteBudget(const WriteBudgetSettings& settings)
    : settings_(settings),
      writes_per_second_(settings.site_writes_per_second *
                         (1 - settings.reserved_fraction)),
      tokens_(settings.burst) {}

void WriteBudget::SetOwnerCount(std::size_t owners, TimePoint now) {
  tokens_ = TokensAt(now);
  tokens_updated_ = now;
  writes_per_second_ = settings_.site_writes_per_second *
                       (1 - settings_.reserved_fraction) /
                       static_cast<double>(std::max<std::size_t>(owners, 1));
}

std::optional<TimePoint> WriteBudget::NextWriteTime(const Batch& batch,
                                                    TimePoint now) const {
  if (batch.records == 0) return std::nullopt;
  const double tokens = TokensAt(now);
  // A batch that is neither urgent nor full waits until the bucket is full, so
  // that accumulated writes remain for urgent records.
  const bool urgent_or_full =
      batch.urgent || batch.bytes >= settings_.full_batch_bytes;
  const double needed = urgent_or_full ? 1.0 : std::max(settings_.burst, 1.0);
  TimePoint earned = now;
  if (tokens < needed) {
    earned += FromSeconds((needed - tokens) / writes_per_second_);
  }
  return std::max(earned, not_before_);
}

void WriteBudget::RecordWrite(std::size_t rows, TimePoint now) {
  // May become negative: later writes wait until a transaction of many rows is
  // paid off.
  tokens_ = TokensAt(now) - static_cast<double>(rows);
  tokens_updated_ = now;
}

void WriteBudget::Backoff(TimePoint now, double jitter) {
  constexpr std::uint32_t kMaxDoublings = 10;
  const double backoff =
      std::min(ToSeconds(settings_.retry_limit),
               ToSeconds(settings_.retry_base) *
                   std::exp2(std::min(failures_, kMaxDoublings)));
  ++failures_;
  not_before_ = now + FromSeconds(backoff * jitter);
}

double WriteBudget::TokensAt(TimePoint now) const {
  const double earned = ToSeconds(now - tokens_updated_) * writes_per_second_;
  return std::min(std::max(settings_.burst, 1.0), tokens_ + earned);
}

}  // namespace jasminespar::membership
