// Sampling without replacement.
#include "model/chance.h"

#include <algorithm>

namespace lupinsill::model {

std::vector<std::size_t> RandomSource::sample(std::size_t size, std::size_t count) {
  std::vector<std::size_t> indexes(size);
  for (std::size_t i = 0; i < size; ++i) indexes[i] = i;
  count = std::min(count, size);
  for (std::size_t i = 0; i < count; ++i) std::swap(indexes[i], indexes[i + below(size - i)]);
  indexes.resize(count);
  std::sort(indexes.begin(), indexes.end());
  return indexes;
}

}  // namespace lupinsill::model
