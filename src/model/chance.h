// Seeded random source of the model and the lab, apart from that of the decisions. The same seed and purpose
// give the same values on every machine: the standard fixes the sequence of the engine, but not of the
// distributions, so these are implemented here.
#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "control.h"

namespace lupinsill::model {

// Each purpose has a stream of its own, so that a change in the use of one does not shift the others.
class RandomSource {
 public:
  RandomSource(std::uint64_t seed, std::uint64_t purpose) : engine_(seed * 0x9e3779b97f4a7c15ULL + purpose) {}
  // From [0, 1).
  double uniform() { return static_cast<double>(engine_() >> 11) * 0x1.0p-53; }
  double between(double min, double max) { return min + (max - min) * uniform(); }
  Micros duration(Micros min, Micros max) {
    return min + static_cast<Micros>(uniform() * static_cast<double>(max - min));
  }
  // From [0, n).
  std::size_t below(std::size_t n) {
    return static_cast<std::size_t>(uniform() * static_cast<double>(n)) % n;
  }
  // True with the given probability.
  bool withProbability(double probability) { return uniform() < probability; }
  // `count` different indexes below `size`, in ascending order; all of them if there are fewer.
  std::vector<std::size_t> sample(std::size_t size, std::size_t count);

 private:
  std::mt19937_64 engine_;
};

}  // namespace lupinsill::model
