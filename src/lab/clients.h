// `lupinsill lab clients`: plays the same scripted sequences of requests through every client library,
// against real directors and counting nodes, and compares the results. Also measures how many requests a
// client sends when directors fail. Errors: std::runtime_error where a director or the TypeScript player does
// not start.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "client_script/script.h"

namespace lupinsill::lab {

// Options of `lupinsill lab clients`.
struct ClientsOptions {
  int sequences = 2000;
  std::uint64_t seed = 1;
  std::string settingsFile;
  std::string scriptFile;  // empty: sequences are drawn from the seed
  std::string player;      // the TypeScript library's play.js; empty: that library is not tested
  std::string plant;       // ledger-forgets or budget-ignored; empty: no fault
  std::string keepFolder;
  int crowd = 300;  // requests of each retry storm; 0: no storms
};

// The load of one client's retries while every director fails a share of requests. All requests are
// repeatable.
struct RetryStorm {
  std::string client;                 // its retry policy: ours, three-tries
  std::string plan;                   // fault plan of the titles: half, all, refuse
  double share = 0;                   // of requests that fail
  int requests = 0;                   // submitted to the client
  int playing = 0;                    // of them, served
  std::uint64_t requestsSent = 0;     // by the client, with retries
  std::uint64_t maxRequestsSent = 0;  // that the retry budget allows; 0: no limit
};

// The sequences, what each library made of them, and the differences found.
struct ClientsResult {
  std::vector<client_script::Sequence> sequences;
  std::vector<client_script::LibraryRun> libraries;
  std::vector<client_script::Finding> findings;
  std::vector<RetryStorm> retryStorms;
};

ClientsResult runClients(const ClientsOptions& options);
// The result as tables for people.
std::string formatReport(const ClientsResult& result);

}  // namespace lupinsill::lab
