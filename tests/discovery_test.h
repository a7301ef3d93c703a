// Builds DNS answers for tests, with compressed names and on demand with a failure code or another service.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace lupinsill::tests {

// A media node in the list.
struct NodeRow {
  std::string name, zone = "east", kind = "std", host = "127.0.0.1";
  int port = 5070, cell = 0;
  bool draining = false;
  long long started = 0;
};

// Writes one DNS message.
class DnsWriter {
 public:
  // Returns an answer with SRV records, the SOA record with the serial, and A and TXT records of the nodes.
  static std::string answer(std::uint16_t queryId, std::uint32_t serial, const std::vector<NodeRow>& rows,
                            int rcode = 0, const std::string& service = "_api._tcp.svc.local") {
    DnsWriter writer;
    writer.put16(queryId);
    writer.put16(static_cast<unsigned>(0x8400 | rcode));
    writer.put16(1);
    writer.put16(static_cast<unsigned>(rows.size()));
    writer.put16(1);
    writer.put16(static_cast<unsigned>(2 * rows.size()));
    writer.name(service);
    writer.put16(typeSrv);
    writer.put16(classIn);
    for (const NodeRow& row : rows)
      writer.record(service, typeSrv, [&] {
        writer.put16(row.draining ? 1 : 0);
        writer.put16(40);
        writer.put16(static_cast<unsigned>(row.port));
        writer.name(row.name + "." + row.zone + ".hosts");
      });
    writer.record("svc.local", typeSoa, [&] {
      writer.name("ns.svc.local");
      writer.name("admin.svc.local");
      writer.put32(serial);
      for (int i = 0; i < 4; ++i) writer.put32(1);
    });
    for (const NodeRow& row : rows) {
      const std::string host = row.name + "." + row.zone + ".hosts";
      writer.record(host, typeA, [&] {
        unsigned value = 0;
        for (const char c : row.host + ".")
          if (c == '.')
            writer.bytes_ += static_cast<char>(value), value = 0;
          else
            value = value * 10 + static_cast<unsigned>(c - '0');
      });
      writer.record(host, typeTxt, [&] {
        for (const std::string& text : {"kind=" + row.kind, "cell=" + std::to_string(row.cell),
                                        "started=" + std::to_string(row.started)})
          writer.bytes_ += static_cast<char>(text.size()) + text;
      });
    }
    return writer.bytes_;
  }

 private:
  static constexpr unsigned typeA = 1, typeSoa = 6, typeTxt = 16, typeSrv = 33, classIn = 1;

  void put16(unsigned value) {
    bytes_ += static_cast<char>(value >> 8);
    bytes_ += static_cast<char>(value);
  }
  void put32(std::uint32_t value) {
    put16(value >> 16);
    put16(value & 0xffff);
  }
  void name(std::string text) {
    while (!text.empty()) {
      if (const auto it = nameOffsets_.find(text); it != nameOffsets_.end())
        return put16(0xc000 | it->second);
      nameOffsets_[text] = static_cast<unsigned>(bytes_.size());
      const std::size_t dot = text.find('.');
      const std::string label = text.substr(0, dot);
      bytes_ += static_cast<char>(label.size()) + label;
      text = dot == std::string::npos ? "" : text.substr(dot + 1);
    }
    bytes_ += '\0';
  }
  template <class Data>
  void record(const std::string& owner, unsigned type, Data data) {
    name(owner);
    put16(type);
    put16(classIn);
    put32(1);  // time to live in seconds
    const std::size_t size = bytes_.size();
    put16(0);
    data();
    const std::size_t used = bytes_.size() - size - 2;
    bytes_[size] = static_cast<char>(used >> 8);
    bytes_[size + 1] = static_cast<char>(used);
  }
  std::string bytes_;
  std::map<std::string, unsigned> nameOffsets_;  // of names written before, for compression
};

}  // namespace lupinsill::tests
