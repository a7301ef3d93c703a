#include "store/store.h"

#include <lmdb.h>
#include <xxhash.h>

#include <chrono>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <stdexcept>
#include <utility>

namespace lupinsill::store {
namespace {

constexpr std::uint8_t version = 1;
constexpr Micros sweepEvery = 10'000'000;

// On disk: little-endian, without padding.
struct Value {
  std::uint8_t bytes[18]{};  // version, mark, until (UTC us), checksum over key and the first ten
};

std::uint64_t sumOf(const ledger::Digest& key, const std::uint8_t* value) {
  std::uint8_t all[26];
  std::memcpy(all, key.bytes.data(), 16);
  std::memcpy(all + 16, value, 10);
  return XXH3_64bits(all, sizeof all);
}

Value encode(const ledger::Record& record, Micros clockToWall) {
  Value value;
  value.bytes[0] = version;
  value.bytes[1] = static_cast<std::uint8_t>(record.state);
  const Micros wall = record.until + clockToWall;
  std::memcpy(value.bytes + 2, &wall, 8);
  const std::uint64_t sum = sumOf(record.key, value.bytes);
  std::memcpy(value.bytes + 10, &sum, 8);
  return value;
}

bool decode(const MDB_val& key, const MDB_val& data, Micros clockToWall, ledger::Record& record) {
  if (key.mv_size != 16 || data.mv_size != sizeof(Value)) return false;
  std::memcpy(record.key.bytes.data(), key.mv_data, 16);
  std::uint8_t bytes[18];
  std::memcpy(bytes, data.mv_data, sizeof bytes);
  std::uint64_t sum = 0;
  std::memcpy(&sum, bytes + 10, 8);
  if (bytes[0] != version || bytes[1] < 1 || bytes[1] > 5 || sum != sumOf(record.key, bytes)) return false;
  record.state = static_cast<ledger::RecordState>(bytes[1]);
  Micros wall = 0;
  std::memcpy(&wall, bytes + 2, 8);
  record.until = wall - clockToWall;
  return true;
}

Micros wallNow() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

namespace {

Found read(MDB_env* env, unsigned table, Micros clockToWall, const std::string& file) {
  Found found;
  MDB_txn* txn = nullptr;
  if (const int rc = mdb_txn_begin(env, nullptr, MDB_RDONLY, &txn); rc != 0)
    throw std::runtime_error(file + ": " + mdb_strerror(rc));
  MDB_cursor* cursor = nullptr;
  int rc = mdb_cursor_open(txn, table, &cursor);
  MDB_val key{}, data{};
  while (rc == 0 && (rc = mdb_cursor_get(cursor, &key, &data, MDB_NEXT)) == 0) {
    ledger::Record record;
    if (decode(key, data, clockToWall, record)) {
      found.records.push_back(record);
    } else {
      found.whole = false;
      found.complaint = "a record fails its checksum";
    }
  }
  if (rc != MDB_NOTFOUND) found.whole = false, found.complaint = mdb_strerror(rc);
  if (cursor != nullptr) mdb_cursor_close(cursor);
  mdb_txn_abort(txn);
  return found;
}

}  // namespace

Found list(const std::string& file) {
  struct Env {
    MDB_env* env = nullptr;
    ~Env() {
      if (env != nullptr) mdb_env_close(env);
    }
  } opened;
  const auto check = [&](int rc) {
    if (rc != 0) throw std::runtime_error(file + ": " + mdb_strerror(rc));
  };
  check(mdb_env_create(&opened.env));
  check(mdb_env_open(opened.env, file.c_str(), MDB_NOSUBDIR | MDB_RDONLY, 0600));
  MDB_txn* txn = nullptr;
  unsigned table = 0;
  check(mdb_txn_begin(opened.env, nullptr, MDB_RDONLY, &txn));
  const int rc = mdb_dbi_open(txn, nullptr, 0, &table);
  mdb_txn_abort(txn);
  check(rc);
  return read(opened.env, table, 0, file);
}

Store::Store(const std::string& file, std::size_t megabytes, Micros clockToWall, std::function<void()> wake)
    : clockToWall_(clockToWall), wake_(std::move(wake)), file_(file) {
  const bool existed = std::filesystem::exists(file);
  try {
    open(file, megabytes);
    found_ = read(env_, table_, clockToWall_, file);
  } catch (const std::runtime_error& bad) {
    if (env_ != nullptr) mdb_env_close(env_);
    env_ = nullptr;
    if (!existed) throw;
    found_ = {{}, false, false, bad.what()};
  }
  if (!found_.whole) {
    // Guards against a damaged file that is answered from as if it were empty, or written on. What could be
    // read of it still counts; the file itself is kept for whoever looks into it.
    if (env_ != nullptr) mdb_env_close(env_);
    env_ = nullptr;
    std::error_code ignored;
    std::filesystem::rename(file, file + ".damaged-" + std::to_string(wallNow() / 1'000'000), ignored);
    std::filesystem::remove(file + "-lock", ignored);
    open(file, megabytes);
    std::vector<ledger::Write> kept;
    for (const ledger::Record& record : found_.records) kept.push_back({0, record});
    if (!commit(kept)) throw std::runtime_error(file + ": cannot be written");
  }
  found_.fresh = !existed;
  thread_ = std::thread([this] { run(); });
}

Store::~Store() {
  {
    const std::lock_guard lock(mutex_);
    stop_ = true;
  }
  ready_.notify_one();
  if (thread_.joinable()) thread_.join();
  if (env_ != nullptr) mdb_env_close(env_);
}

void Store::open(const std::string& file, std::size_t megabytes) {
  const auto check = [&](int rc) {
    if (rc != 0) throw std::runtime_error(file + ": " + mdb_strerror(rc));
  };
  check(mdb_env_create(&env_));
  check(mdb_env_set_mapsize(env_, megabytes << 20));
  check(mdb_env_open(env_, file.c_str(), MDB_NOSUBDIR, 0600));
  MDB_txn* txn = nullptr;
  check(mdb_txn_begin(env_, nullptr, 0, &txn));
  if (const int rc = mdb_dbi_open(txn, nullptr, 0, &table_); rc != 0) {
    mdb_txn_abort(txn);
    check(rc);
  }
  check(mdb_txn_commit(txn));
}

void Store::write(std::vector<ledger::Write> writes) {
  if (writes.empty()) return;
  {
    const std::lock_guard lock(mutex_);
    if (queue_.empty())
      queue_ = std::move(writes);
    else
      queue_.insert(queue_.end(), writes.begin(), writes.end());
  }
  ready_.notify_one();
}

ledger::Seq Store::durable() const {
  const std::lock_guard lock(mutex_);
  return durable_;
}
bool Store::failed() const {
  const std::lock_guard lock(mutex_);
  return failed_;
}
std::uint64_t Store::commits() const {
  const std::lock_guard lock(mutex_);
  return commits_;
}

bool Store::commit(const std::vector<ledger::Write>& batch) {
  MDB_txn* txn = nullptr;
  if (mdb_txn_begin(env_, nullptr, 0, &txn) != 0) return false;
  int rc = 0;
  for (const ledger::Write& write : batch) {
    MDB_val key{16, const_cast<unsigned char*>(write.record.key.bytes.data())};
    if (write.record.state == ledger::RecordState::refused) {
      rc = mdb_del(txn, table_, &key, nullptr);
      if (rc == MDB_NOTFOUND) rc = 0;
    } else {
      Value value = encode(write.record, clockToWall_);
      MDB_val data{sizeof value.bytes, value.bytes};
      rc = mdb_put(txn, table_, &key, &data, 0);
    }
    if (rc != 0) break;
  }
  // Now and then what has expired goes too, or the file would only grow.
  if (rc == 0 && wallNow() - swept_ > sweepEvery) {
    swept_ = wallNow();
    MDB_cursor* cursor = nullptr;
    if (mdb_cursor_open(txn, table_, &cursor) == 0) {
      MDB_val key{}, data{};
      while (mdb_cursor_get(cursor, &key, &data, MDB_NEXT) == 0) {
        ledger::Record record;
        if (decode(key, data, 0, record) && record.until < swept_) mdb_cursor_del(cursor, 0);
      }
      mdb_cursor_close(cursor);
    }
  }
  if (rc != 0) {
    mdb_txn_abort(txn);
    return false;
  }
  return mdb_txn_commit(txn) == 0;
}

void Store::run() {
  while (true) {
    std::vector<ledger::Write> batch;
    {
      std::unique_lock lock(mutex_);
      ready_.wait(lock, [this] { return stop_ || !queue_.empty(); });
      if (queue_.empty()) return;
      batch.swap(queue_);
    }
    const bool good = commit(batch);
    ledger::Seq last = 0;
    for (const ledger::Write& write : batch) last = std::max(last, write.seq);
    {
      const std::lock_guard lock(mutex_);
      ++commits_;
      if (!good) failed_ = true;
      if (!failed_) durable_ = std::max(durable_, last);
    }
    wake_();
  }
}

}  // namespace lupinsill::store
