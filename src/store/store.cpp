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

constexpr std::uint8_t formatVersion = 1;
constexpr Micros expirySweepInterval = 10'000'000;  // 10 s

// Layout of a record on disk. The key is the digest; the value is, little-endian and without padding:
// 1 byte format version, 1 byte record state, 8 bytes expiry (UTC microseconds), 8 bytes checksum over the
// key and the preceding fields.
constexpr std::size_t keyBytes = 16;
constexpr std::size_t stateOffset = 1;
constexpr std::size_t expiryOffset = 2;
constexpr std::size_t checksumOffset = 10;
constexpr std::size_t valueBytes = 18;

struct EncodedRecord {
  std::uint8_t bytes[valueBytes]{};
};

std::uint64_t checksumOf(const ledger::Digest& key, const std::uint8_t* value) {
  std::uint8_t covered[keyBytes + checksumOffset];
  std::memcpy(covered, key.bytes.data(), keyBytes);
  std::memcpy(covered + keyBytes, value, checksumOffset);
  return XXH3_64bits(covered, sizeof covered);
}

EncodedRecord encode(const ledger::Record& record, Micros clockToWall) {
  EncodedRecord value;
  value.bytes[0] = formatVersion;
  value.bytes[stateOffset] = static_cast<std::uint8_t>(record.state);
  const Micros expiry = record.until + clockToWall;
  std::memcpy(value.bytes + expiryOffset, &expiry, sizeof expiry);
  const std::uint64_t checksum = checksumOf(record.key, value.bytes);
  std::memcpy(value.bytes + checksumOffset, &checksum, sizeof checksum);
  return value;
}

// Returns false if the record is damaged.
bool decode(const MDB_val& key, const MDB_val& data, Micros clockToWall, ledger::Record& record) {
  if (key.mv_size != keyBytes || data.mv_size != sizeof(EncodedRecord)) return false;
  std::memcpy(record.key.bytes.data(), key.mv_data, keyBytes);
  std::uint8_t bytes[valueBytes];
  std::memcpy(bytes, data.mv_data, sizeof bytes);
  std::uint64_t checksum = 0;
  std::memcpy(&checksum, bytes + checksumOffset, sizeof checksum);
  constexpr auto firstState = static_cast<std::uint8_t>(ledger::RecordState::intent);
  constexpr auto lastState = static_cast<std::uint8_t>(ledger::RecordState::refused);
  if (bytes[0] != formatVersion || bytes[stateOffset] < firstState || bytes[stateOffset] > lastState ||
      checksum != checksumOf(record.key, bytes))
    return false;
  record.state = static_cast<ledger::RecordState>(bytes[stateOffset]);
  Micros expiry = 0;
  std::memcpy(&expiry, bytes + expiryOffset, sizeof expiry);
  record.until = expiry - clockToWall;
  return true;
}

Micros wallNow() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

}  // namespace

namespace {

// Reads all records; damaged ones are left out and noted in the result.
LoadResult read(MDB_env* env, unsigned table, Micros clockToWall, const std::string& file) {
  LoadResult result;
  MDB_txn* txn = nullptr;
  if (const int rc = mdb_txn_begin(env, nullptr, MDB_RDONLY, &txn); rc != 0)
    throw std::runtime_error(file + ": " + mdb_strerror(rc));
  MDB_cursor* cursor = nullptr;
  int rc = mdb_cursor_open(txn, table, &cursor);
  MDB_val key{}, data{};
  while (rc == 0 && (rc = mdb_cursor_get(cursor, &key, &data, MDB_NEXT)) == 0) {
    ledger::Record record;
    if (decode(key, data, clockToWall, record)) {
      result.records.push_back(record);
    } else {
      result.intact = false;
      result.error = "a record fails its checksum";
    }
  }
  if (rc != MDB_NOTFOUND) result.intact = false, result.error = mdb_strerror(rc);
  if (cursor != nullptr) mdb_cursor_close(cursor);
  mdb_txn_abort(txn);
  return result;
}

}  // namespace

LoadResult readRecords(const std::string& file) {
  struct Environment {
    MDB_env* env = nullptr;
    ~Environment() {
      if (env != nullptr) mdb_env_close(env);
    }
  } environment;
  const auto check = [&](int rc) {
    if (rc != 0) throw std::runtime_error(file + ": " + mdb_strerror(rc));
  };
  check(mdb_env_create(&environment.env));
  check(mdb_env_open(environment.env, file.c_str(), MDB_NOSUBDIR | MDB_RDONLY, 0600));
  MDB_txn* txn = nullptr;
  unsigned table = 0;
  check(mdb_txn_begin(environment.env, nullptr, MDB_RDONLY, &txn));
  const int rc = mdb_dbi_open(txn, nullptr, 0, &table);
  mdb_txn_abort(txn);
  check(rc);
  return read(environment.env, table, 0, file);
}

Store::Store(const std::string& file, std::size_t megabytes, Micros clockToWall, std::function<void()> wake)
    : clockToWall_(clockToWall), wake_(std::move(wake)), file_(file) {
  const bool existed = std::filesystem::exists(file);
  try {
    open(file, megabytes);
    loadResult_ = read(env_, table_, clockToWall_, file);
  } catch (const std::runtime_error& error) {
    if (env_ != nullptr) mdb_env_close(env_);
    env_ = nullptr;
    if (!existed) throw;
    loadResult_ = {{}, false, false, error.what()};
  }
  if (!loadResult_.intact) {
    // A damaged file must neither be treated as an empty ledger nor be written to. It is quarantined for
    // inspection, and the records that could be read are copied to a new file.
    if (env_ != nullptr) mdb_env_close(env_);
    env_ = nullptr;
    std::error_code ignored;
    std::filesystem::rename(file, file + ".damaged-" + std::to_string(wallNow() / 1'000'000), ignored);
    std::filesystem::remove(file + "-lock", ignored);
    open(file, megabytes);
    std::vector<ledger::Write> salvaged;
    for (const ledger::Record& record : loadResult_.records) salvaged.push_back({0, record});
    if (!commit(salvaged)) throw std::runtime_error(file + ": cannot be written");
  }
  loadResult_.created = !existed;
  thread_ = std::thread([this] { runCommitLoop(); });
}

Store::~Store() {
  {
    const std::lock_guard lock(mutex_);
    stop_ = true;
  }
  workAvailable_.notify_one();
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
  workAvailable_.notify_one();
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
    MDB_val key{keyBytes, const_cast<unsigned char*>(write.record.key.bytes.data())};
    if (write.record.state == ledger::RecordState::refused) {
      rc = mdb_del(txn, table_, &key, nullptr);
      if (rc == MDB_NOTFOUND) rc = 0;
    } else {
      EncodedRecord value = encode(write.record, clockToWall_);
      MDB_val data{sizeof value.bytes, value.bytes};
      rc = mdb_put(txn, table_, &key, &data, 0);
    }
    if (rc != 0) break;
  }
  // Expired records are deleted from time to time, so that the file does not grow without bound.
  if (rc == 0 && wallNow() - lastExpirySweep_ > expirySweepInterval) {
    lastExpirySweep_ = wallNow();
    MDB_cursor* cursor = nullptr;
    if (mdb_cursor_open(txn, table_, &cursor) == 0) {
      MDB_val key{}, data{};
      while (mdb_cursor_get(cursor, &key, &data, MDB_NEXT) == 0) {
        ledger::Record record;
        if (decode(key, data, 0, record) && record.until < lastExpirySweep_) mdb_cursor_del(cursor, 0);
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

void Store::runCommitLoop() {
  while (true) {
    std::vector<ledger::Write> batch;
    {
      std::unique_lock lock(mutex_);
      workAvailable_.wait(lock, [this] { return stop_ || !queue_.empty(); });
      if (queue_.empty()) return;
      batch.swap(queue_);
    }
    const bool committed = commit(batch);
    ledger::Seq lastSeq = 0;
    for (const ledger::Write& write : batch) lastSeq = std::max(lastSeq, write.seq);
    {
      const std::lock_guard lock(mutex_);
      ++commits_;
      if (!committed) failed_ = true;
      if (!failed_) durable_ = std::max(durable_, lastSeq);
    }
    wake_();
  }
}

}  // namespace lupinsill::store
