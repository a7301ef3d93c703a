#include <catch2/catch.hpp>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <thread>

#include "store/store.h"

using namespace lupinsill;

namespace {

struct Folder {
  std::string path;
  Folder() {
    std::string made = std::filesystem::temp_directory_path() / "lupinsill-store-XXXXXX";
    path = mkdtemp(made.data());
  }
  ~Folder() { std::filesystem::remove_all(path); }
};

void put(store::Store& s, ledger::Seq seq, const std::string& key, ledger::RecordState mark) {
  s.write({{seq, {ledger::digestOf(key), mark, 5'000'000'000'000'000}}});
  for (int i = 0; i < 500 && s.durable() < seq; ++i)
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  REQUIRE(s.durable() >= seq);
}

}  // namespace

TEST_CASE("What is durable is there after a restart; what was refused is not") {
  const Folder folder;
  const std::string file = folder.path + "/l.mdb";
  {
    store::Store s(file, 4, 0, [] {});
    CHECK(s.loadResult().intact);
    put(s, 1, "a", ledger::RecordState::intent);
    put(s, 2, "b", ledger::RecordState::intent);
    put(s, 3, "b", ledger::RecordState::refused);
  }
  // LMDB wants a file open once a process: a look at it comes from the outside, or before.
  CHECK(store::readRecords(file).records.size() == 1);
  store::Store s(file, 4, 0, [] {});
  CHECK(s.loadResult().intact);
  REQUIRE(s.loadResult().records.size() == 1);
  CHECK(s.loadResult().records[0].key == ledger::digestOf("a"));
}

TEST_CASE("A damaged file is set aside, told as not whole, and never taken for an empty one") {
  const Folder folder;
  const std::string file = folder.path + "/l.mdb";
  {
    store::Store s(file, 4, 0, [] {});
    put(s, 1, "a", ledger::RecordState::played);
    put(s, 2, "b", ledger::RecordState::intent);
  }
  SECTION("overwritten from the start") {
    std::ofstream(file, std::ios::in | std::ios::binary) << std::string(9000, 'x');
  }
  SECTION("cut short") { std::filesystem::resize_file(file, 100); }
  SECTION("a bit turned in a record") {
    std::fstream f(file, std::ios::in | std::ios::out | std::ios::binary);
    std::string all((std::istreambuf_iterator<char>(f)), std::istreambuf_iterator<char>());
    const ledger::Digest key = ledger::digestOf("a");
    const std::string name(reinterpret_cast<const char*>(key.bytes.data()), 16);
    for (std::size_t at = all.find(name); at != std::string::npos; at = all.find(name, at + 1)) {
      f.clear();
      f.seekp(static_cast<std::streamoff>(at + 17));
      f.put(static_cast<char>(all[at + 17] ^ 1));
    }
  }
  store::Store s(file, 4, 0, [] {});
  CHECK_FALSE(s.loadResult().intact);
  bool aside = false;
  for (const auto& entry : std::filesystem::directory_iterator(folder.path))
    aside = aside || entry.path().string().find(".damaged-") != std::string::npos;
  CHECK(aside);
  put(s, 1, "c", ledger::RecordState::intent);
}
