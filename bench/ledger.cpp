// Benchmark of the ledger: the time to write a number of records in group commits, to read them at start-up,
// and to recover from them.
//   lupinsill_ledger_bench FILE [RECORDS]
#include <sys/resource.h>

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <thread>

#include "net/handles.h"
#include "store/store.h"

using namespace lupinsill;

int main(int argc, char** argv) {
  if (argc < 2) {
    std::fprintf(stderr, "lupinsill_ledger_bench FILE [RECORDS]\n");
    return 2;
  }
  const std::string file = argv[1];
  const int records = argc > 2 ? std::atoi(argv[2]) : 1'000'000;
  constexpr int recordsPerWrite = 1'000;
  constexpr std::size_t megabytes = 1'024;
  const Micros keyRetention = 3'600'000'000;  // one hour
  const auto secondsSince = [](Micros from) { return static_cast<double>(net::monotonicNow() - from) / 1e6; };
  std::filesystem::remove(file);
  const Micros wallClockOffset = net::wallNow() - net::monotonicNow();
  {
    store::Store store(file, megabytes, wallClockOffset, [] {});
    ledger::Ledger ledger(keyRetention, static_cast<std::size_t>(records) + 1, true);
    const Micros start = net::monotonicNow();
    ledger::Seq lastSequence = 0;
    for (int i = 0; i < records; ++i) {
      lastSequence = ledger.recordIntent(net::monotonicNow(), ledger::digestOf("key " + std::to_string(i)));
      if (i % recordsPerWrite == recordsPerWrite - 1) store.write(ledger.takeWrites());
    }
    store.write(ledger.takeWrites());
    while (store.durable() < lastSequence && !store.failed())
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    if (store.failed()) return std::fprintf(stderr, "%s: a commit failed\n", file.c_str()), 3;
    std::printf("written: %d records in %.2f s, %llu commits, %.0f MB\n", records, secondsSince(start),
                static_cast<unsigned long long>(store.commits()),
                static_cast<double>(std::filesystem::file_size(file)) / 1e6);
  }
  const Micros start = net::monotonicNow();
  const store::Store store(file, megabytes, wallClockOffset, [] {});
  const double readSeconds = secondsSince(start);
  ledger::Ledger ledger(keyRetention, static_cast<std::size_t>(records) + 1, true);
  ledger.recover(net::monotonicNow(), store.loadResult().records, store.loadResult().intact);
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  std::printf("started: %.2f s in all, %.2f of it reading; %zu keys known, %s, peak memory %ld MB\n",
              secondsSince(start), readSeconds, ledger.size(),
              store.loadResult().intact ? "whole" : "damaged", usage.ru_maxrss / 1024);
  return 0;
}
