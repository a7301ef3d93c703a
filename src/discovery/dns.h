// The name server's form of the list: a question for SRV records and the answer to it, read by the C
// library's parser. What an answer is worth is fleet/inquiry's and fleet/membership's business.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lupinsill::discovery {

struct Row {  // one media node as the name server words it
  std::string name, zone, kind, host;
  int port = 0;
  int cell = 0;
  bool draining = false;
  double weight = 1;
  std::int64_t startedMs = 0;  // Unix milliseconds; 0: long ago
};

struct Answer {
  std::uint16_t number = 0;
  std::uint32_t serial = 0;
  std::vector<Row> rows;
};

std::string question(std::uint16_t number, const std::string& service);
// Nothing where the bytes are no whole answer to that question, or tell of a failure. `number` is set
// as soon as it can be read.
std::optional<Answer> read(std::string_view bytes, const std::string& service);

}  // namespace lupinsill::discovery
