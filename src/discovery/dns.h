// The node list as DNS messages: builds the query for SRV records and parses the answer with the C library's
// resolver functions. fleet/list_poller decides when to query, fleet/membership which lists to accept.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lupinsill::discovery {

// One media node of the list.
struct NodeRecord {
  std::string name, zone, kind, host;
  int port = 0;
  int cell = 0;
  bool draining = false;
  double weight = 1;
  std::int64_t startedMs = 0;  // start time, Unix milliseconds; 0: unknown, long ago
};

// A complete answer. `serial` is the version of the list.
struct Answer {
  std::uint16_t queryId = 0;
  std::uint32_t serial = 0;
  std::vector<NodeRecord> nodes;
};

// Returns the bytes of a query for the SRV records of the service.
std::string buildQuery(std::uint16_t queryId, const std::string& service);
// Returns nothing if the bytes are not a complete, successful answer to that query.
std::optional<Answer> parseAnswer(std::string_view bytes, const std::string& service);

}  // namespace lupinsill::discovery
