// Chance of the model and the lab, apart from the decisions'. Same seed and purpose, same draws on any
// machine: only the engine is the library's, whose sequence the standard fixes; its distributions are not
// fixed.
#pragma once

#include <cstdint>
#include <random>
#include <vector>

#include "control.h"

namespace lupinsill::model {

// One stream for each purpose, so that a change of one does not
// shift the others.
class RandomSource {
 public:
  RandomSource(std::uint64_t seed, std::uint64_t purpose) : bits_(seed * 0x9e3779b97f4a7c15ULL + purpose) {}
  double uniform() { return static_cast<double>(bits_() >> 11) * 0x1.0p-53; }
  double between(double least, double most) { return least + (most - least) * uniform(); }
  Micros duration(Micros least, Micros most) {
    return least + static_cast<Micros>(uniform() * static_cast<double>(most - least));
  }
  std::size_t below(std::size_t n) {
    return static_cast<std::size_t>(uniform() * static_cast<double>(n)) % n;
  }
  bool withProbability(double share) { return uniform() < share; }
  // `n` of `of` places, without repeats, in rising order.
  std::vector<std::size_t> sample(std::size_t of, std::size_t n);

 private:
  std::mt19937_64 bits_;
};

}  // namespace lupinsill::model
