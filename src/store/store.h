// The ledger's records on disk: LMDB, written by a thread of its own in group commits, so that one sync
// serves all joins that wait and no sync stands in the loop's way. Each record carries a checksum. Errors:
// opening never fails for a damaged file (it is set aside and told as not whole); it throws
// std::runtime_error where the place cannot be written at all. A failed commit is told by failed(): nothing
// after it becomes durable, and unsafe asks are then refused, never sent unrecorded.
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

struct LoadResult {
  std::vector<ledger::Record> records;
  bool intact = true;
  bool created = false;  // no file was there: a first start, or a ledger that was lost
  std::string error;     // where it is not whole
};

// What stands in a ledger's file, for operators, also while a director writes it. Times are UTC microseconds.
// Throws std::runtime_error where the file cannot be read.
LoadResult readRecords(const std::string& file);

class Store {
 public:
  // `clockToWall`: added to the caller's microseconds to get UTC, in which records are kept.
  // `wake` is called from the store's thread after each commit.
  Store(const std::string& file, std::size_t megabytes, Micros clockToWall, std::function<void()> wake);
  ~Store();
  Store(const Store&) = delete;
  Store& operator=(const Store&) = delete;

  const LoadResult& loadResult() const { return found_; }
  void write(std::vector<ledger::Write> writes);
  ledger::Seq durable() const;  // everything up to this number is on disk
  bool failed() const;
  std::uint64_t commits() const;

 private:
  void open(const std::string& file, std::size_t megabytes);
  void run();
  bool commit(const std::vector<ledger::Write>& batch);

  Micros clockToWall_;
  std::function<void()> wake_;
  std::string file_;
  MDB_env* env_ = nullptr;
  unsigned table_ = 0;
  LoadResult found_;
  mutable std::mutex mutex_;
  std::condition_variable ready_;
  std::vector<ledger::Write> queue_;
  ledger::Seq durable_ = 0;
  std::uint64_t commits_ = 0;
  bool failed_ = false;
  bool stop_ = false;
  Micros swept_ = 0;
  std::thread thread_;
};

}  // namespace lupinsill::store
