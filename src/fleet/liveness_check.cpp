#include "fleet/liveness_check.h"

namespace lupinsill::fleet {
namespace {

constexpr Micros quiet = 2'000'000;      // silence that makes it worth a try
constexpr Micros between = 300'000;      // two tries
constexpr int refusals = 2;              // in a row, with no connection left
constexpr int silences = 4;              // in a row
constexpr Micros longQuiet = 4'000'000;  // viewers have to be told within 8 s

}  // namespace

LivenessCheck::Verdict LivenessCheck::look(Micros now, bool linked, bool trying) {
  if (!linked && refused_ >= refusals) return Verdict::dead;
  if (silent_ + refused_ >= silences && now - heard_ >= longQuiet) return Verdict::dead;
  if (trying || now - triedAt_ < between) return Verdict::alive;
  if (linked && now - heard_ < quiet) return Verdict::alive;
  triedAt_ = now;
  return Verdict::probe;
}

}  // namespace lupinsill::fleet
