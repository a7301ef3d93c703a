// `lupinsill lab clients`: the same scripted sequences through every client library against real directors
// and nodes that count, and what a crowd does when directors fail. Errors: std::runtime_error where a
// director or the TypeScript player does not start.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "client_script/script.h"

namespace lupinsill::lab {

struct ClientsOptions {
  int sequences = 2000;
  std::uint64_t seed = 1;
  std::string settingsFile;
  std::string scriptFile;  // empty: drawn
  std::string player;      // the TypeScript library's play.js; empty: that library is left out
  std::string plant;       // ledger-forgets, budget-ignored
  std::string keepFolder;
  int crowd = 300;  // wishes of each crowd; 0: none
};

// A crowd of safe wishes while every director fails a share of asks.
struct RetryStorm {
  std::string client, plan;
  double share = 0;
  int requests = 0, playing = 0;
  std::uint64_t requestsSent = 0;     // sent
  std::uint64_t maxRequestsSent = 0;  // that the budget allows; 0: none is stated
};

struct ClientsResult {
  std::vector<client_script::Sequence> sequences;
  std::vector<client_script::Library> libraries;
  std::vector<client_script::Finding> findings;
  std::vector<RetryStorm> retryStorms;
};

ClientsResult runClients(const ClientsOptions& options);
std::string formatReport(const ClientsResult& result);

}  // namespace lupinsill::lab
