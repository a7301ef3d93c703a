// Persistent storage of the ledger's records in an LMDB file. A thread of its own writes them in group
// commits: one fsync serves all joins waiting for it, and the event loop never blocks on the disk. Each
// record carries a checksum.
//
// Errors: a damaged file does not prevent a start; it is quarantined (renamed) and reported as not intact.
// std::runtime_error is thrown if the file can neither be opened nor created. After a failed commit, failed()
// is true and no later write becomes durable, so the director refuses unsafe requests instead of sending
// their joins unrecorded.
#pragma once

#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "ledger/ledger.h"

struct MDB_env;

namespace lupinsill::store {

// The contents of a ledger file.
struct LoadResult {
  std::vector<ledger::Record> records;
  bool intact = true;
  bool created = false;  // there was no file: a first start, or the ledger was deleted
  std::string error;     // why the file is not intact
};

// Reads a ledger file for inspection, also while a director has it open in another process. The records'
// times are UTC microseconds. Throws std::runtime_error if the file cannot be read.
LoadResult readRecords(const std::string& file);

// The ledger file of a director. Public methods may be called from any thread.
class Store {
 public:
  // Opens or creates the file and reads its records. `megabytes` is the maximum size of the file. Records are
  // stored with UTC times, which are the caller's times plus `clockToWall` (microseconds). `wake` is called
  // on the store's thread after each commit.
  Store(const std::string& file, std::size_t megabytes, Micros clockToWall, std::function<void()> wake);
  // Commits what is queued before it returns.
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  // What the file contained at the start; if it was damaged, the records that could be salvaged.
  const LoadResult& loadResult() const { return loadResult_; }
  // Queues writes for the next commit; does not block on the disk.
  void write(std::vector<ledger::Write> writes);
  ledger::Seq durable() const;    // all writes up to this sequence number are on disk
  bool failed() const;            // whether a commit has failed
  std::uint64_t commits() const;  // commits tried so far

 private:
  void open(const std::string& file, std::size_t megabytes);
  void runCommitLoop();
  // Writes a batch in one transaction; returns whether it is on disk.
  bool commit(const std::vector<ledger::Write>& batch);

  Micros clockToWall_;
  std::function<void()> wake_;
  std::string file_;
  MDB_env* env_ = nullptr;
  unsigned table_ = 0;
  LoadResult loadResult_;
  mutable std::mutex mutex_;  // guards the members up to stop_
  std::condition_variable workAvailable_;
  std::vector<ledger::Write> queue_;
  ledger::Seq durable_ = 0;
  std::uint64_t commits_ = 0;
  bool failed_ = false;
  bool stop_ = false;
  Micros lastExpirySweep_ = 0;  // UTC
  std::thread thread_;
};

}  // namespace lupinsill::store
