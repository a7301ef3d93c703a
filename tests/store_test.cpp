// Tests of the ledger's LMDB store: durability over a restart and quarantine of damaged files.
#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <thread>

#include "store/store.h"

using namespace lupinsill;

namespace {

// A temporary folder, removed with its contents at the end of the test.
struct Folder {
  std::string path;
  Folder() {
    std::string pattern = std::filesystem::temp_directory_path() / "lupinsill-store-XXXXXX";
    path = mkdtemp(pattern.data());
  }
  ~Folder() { std::filesystem::remove_all(path); }
};

// Writes a record and waits until it is durable, at most 2.5 s.
void put(store::Store& ledgerStore, ledger::Seq seq, const std::string& key, ledger::RecordState state) {
  ledgerStore.write({{seq, {ledger::digestOf(key), state, 5'000'000'000'000'000}}});
  for (int i = 0; i < 500 && ledgerStore.durable() < seq; ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  REQUIRE(ledgerStore.durable() >= seq);
}

}  // namespace

TEST_CASE("Durable records survive a restart; refused ones are deleted") {
  const Folder folder;
  const std::string file = folder.path + "/l.mdb";
  {
    store::Store ledgerStore(file, 4, 0, [] {});
    CHECK(ledgerStore.loadResult().intact);
    put(ledgerStore, 1, "a", ledger::RecordState::intent);
    put(ledgerStore, 2, "b", ledger::RecordState::intent);
    put(ledgerStore, 3, "b", ledger::RecordState::refused);
  }
  // LMDB allows a file to be open only once in a process, so it is inspected while no store has it open.
  CHECK(store::readRecords(file).records.size() == 1);
  store::Store ledgerStore(file, 4, 0, [] {});
  CHECK(ledgerStore.loadResult().intact);
  REQUIRE(ledgerStore.loadResult().records.size() == 1);
  CHECK(ledgerStore.loadResult().records[0].key == ledger::digestOf("a"));
}

// Treating a damaged ledger as an empty one would let a paid request that already ran be run a second time.
TEST_CASE("A damaged file is quarantined and reported as not intact, never treated as an empty ledger") {
  const Folder folder;
  const std::string file = folder.path + "/l.mdb";
  {
    store::Store ledgerStore(file, 4, 0, [] {});
    put(ledgerStore, 1, "a", ledger::RecordState::played);
    put(ledgerStore, 2, "b", ledger::RecordState::intent);
  }
  SECTION("start of the file overwritten") {
    std::ofstream(file, std::ios::in | std::ios::binary) << std::string(9000, 'x');
  }
  SECTION("file truncated") { std::filesystem::resize_file(file, 100); }
  SECTION("one bit flipped in a record") {
    std::fstream stream(file, std::ios::in | std::ios::out | std::ios::binary);
    std::string contents((std::istreambuf_iterator<char>(stream)), std::istreambuf_iterator<char>());
    constexpr std::size_t stateOffset = 17;  // of the record state, from the start of the key
    const ledger::Digest key = ledger::digestOf("a");
    const std::string keyBytes(reinterpret_cast<const char*>(key.bytes.data()), 16);
    for (std::size_t at = contents.find(keyBytes); at != std::string::npos;
         at = contents.find(keyBytes, at + 1)) {
      stream.clear();
      stream.seekp(static_cast<std::streamoff>(at + stateOffset));
      stream.put(static_cast<char>(contents[at + stateOffset] ^ 1));
    }
  }
  store::Store ledgerStore(file, 4, 0, [] {});
  CHECK_FALSE(ledgerStore.loadResult().intact);
  bool quarantined = false;
  for (const auto& entry : std::filesystem::directory_iterator(folder.path))
    quarantined = quarantined || entry.path().string().find(".damaged-") != std::string::npos;
  CHECK(quarantined);
  put(ledgerStore, 1, "c", ledger::RecordState::intent);
}
