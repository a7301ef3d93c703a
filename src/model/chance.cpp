#include "model/chance.h"

#include <algorithm>

namespace lupinsill::model {

std::vector<std::size_t> RandomSource::sample(std::size_t of, std::size_t n) {
  std::vector<std::size_t> all(of);
  for (std::size_t i = 0; i < of; ++i) all[i] = i;
  n = std::min(n, of);
  for (std::size_t i = 0; i < n; ++i) std::swap(all[i], all[i + below(of - i)]);
  all.resize(n);
  std::sort(all.begin(), all.end());
  return all;
}

}  // namespace lupinsill::model
