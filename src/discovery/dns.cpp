#include "discovery/dns.h"

#include <arpa/inet.h>
#include <arpa/nameser.h>
#include <resolv.h>
#include <strings.h>

#include <array>
#include <charconv>
#include <cstring>
#include <map>

namespace lupinsill::discovery {
namespace {

struct Host {
  std::string address;
  std::map<std::string, std::string> facts;
};

bool parseInteger(const std::map<std::string, std::string>& facts, const char* key, std::int64_t& into) {
  const auto it = facts.find(key);
  if (it == facts.end()) return false;
  const char* end = it->second.data() + it->second.size();
  const auto [at, error] = std::from_chars(it->second.data(), end, into);
  return error == std::errc() && at == end && into >= 0;
}

std::string lower(std::string name) {
  for (char& c : name)
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  return name;
}

struct Record {
  std::string name;
  int type = 0;
  const unsigned char* data = nullptr;
  std::size_t size = 0;
};

bool recordAt(ns_msg& message, ns_sect section, int place, Record& into) {
  ns_rr rr;
  if (ns_parserr(&message, section, place, &rr) != 0) return false;
  into = {lower(ns_rr_name(rr)), ns_rr_type(rr), ns_rr_rdata(rr), static_cast<std::size_t>(ns_rr_rdlen(rr))};
  return true;
}

// A name inside a record may point back into the message.
int nameIn(const ns_msg& message, const unsigned char* at, std::string& into) {
  std::array<char, NS_MAXDNAME> name{};
  const int used =
      ns_name_uncompress(ns_msg_base(message), ns_msg_end(message), at, name.data(), name.size());
  if (used >= 0) into = name.data();
  return used;
}

}  // namespace

std::string question(std::uint16_t number, const std::string& service) {
  std::array<unsigned char, 512> bytes{};
  HEADER header{};
  header.id = htons(number);
  header.rd = 1;
  header.qdcount = htons(1);
  std::memcpy(bytes.data(), &header, sizeof header);
  const int used = ns_name_compress(service.c_str(), bytes.data() + NS_HFIXEDSZ,
                                    bytes.size() - NS_HFIXEDSZ - NS_QFIXEDSZ, nullptr, nullptr);
  if (used < 0) return {};
  unsigned char* end = bytes.data() + NS_HFIXEDSZ + used;
  NS_PUT16(ns_t_srv, end);
  NS_PUT16(ns_c_in, end);
  return {reinterpret_cast<const char*>(bytes.data()), static_cast<std::size_t>(end - bytes.data())};
}

std::optional<Answer> read(std::string_view bytes, const std::string& service) {
  ns_msg message;
  // Walks every section, so that an answer cut short fails here.
  if (ns_initparse(reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()),
                   &message) != 0)
    return std::nullopt;
  if (ns_msg_getflag(message, ns_f_qr) != 1 || ns_msg_getflag(message, ns_f_tc) != 0 ||
      ns_msg_getflag(message, ns_f_rcode) != ns_r_noerror || ns_msg_count(message, ns_s_qd) != 1)
    return std::nullopt;
  ns_rr asked;
  if (ns_parserr(&message, ns_s_qd, 0, &asked) != 0 || ns_rr_type(asked) != ns_t_srv ||
      lower(ns_rr_name(asked)) != lower(service))
    return std::nullopt;

  Answer answer;
  answer.number = static_cast<std::uint16_t>(ns_msg_id(message));
  bool serial = false;
  for (int i = 0; i < ns_msg_count(message, ns_s_ns); ++i) {
    Record record;
    if (!recordAt(message, ns_s_ns, i, record)) return std::nullopt;
    if (record.type != ns_t_soa) continue;
    std::string name;
    const unsigned char* at = record.data;
    for (int names = 0; names < 2; ++names) {
      const int used = nameIn(message, at, name);
      if (used < 0) return std::nullopt;
      at += used;
    }
    if (at + NS_INT32SZ > record.data + record.size) return std::nullopt;
    answer.serial = ns_get32(at);
    serial = true;
  }
  if (!serial) return std::nullopt;

  std::map<std::string, Host> hosts;
  for (int i = 0; i < ns_msg_count(message, ns_s_ar); ++i) {
    Record record;
    if (!recordAt(message, ns_s_ar, i, record)) return std::nullopt;
    Host& host = hosts[record.name];
    if (record.type == ns_t_a && record.size == NS_INADDRSZ) {
      std::array<char, INET_ADDRSTRLEN> text{};
      inet_ntop(AF_INET, record.data, text.data(), text.size());
      host.address = text.data();
    } else if (record.type == ns_t_txt) {
      for (std::size_t at = 0; at < record.size;) {
        const std::size_t size = record.data[at];
        if (at + 1 + size > record.size) return std::nullopt;
        const std::string text(reinterpret_cast<const char*>(record.data) + at + 1, size);
        at += 1 + size;
        if (const std::size_t equals = text.find('='); equals != std::string::npos)
          host.facts[text.substr(0, equals)] = text.substr(equals + 1);
      }
    }
  }
  for (int i = 0; i < ns_msg_count(message, ns_s_an); ++i) {
    Record record;
    if (!recordAt(message, ns_s_an, i, record)) return std::nullopt;
    if (record.type != ns_t_srv) continue;
    if (record.size < 3 * NS_INT16SZ + 1) return std::nullopt;
    Row row;
    row.draining = ns_get16(record.data) != 0;
    row.weight = static_cast<double>(ns_get16(record.data + 2)) / 10;
    row.port = static_cast<int>(ns_get16(record.data + 4));
    std::string target;
    if (nameIn(message, record.data + 6, target) < 0) return std::nullopt;
    const std::size_t dot = target.find('.');
    const auto host = hosts.find(lower(target));
    std::int64_t cell = 0;
    // Part of what a node is would be worse than the list of before.
    if (dot == std::string::npos || host == hosts.end() || host->second.address.empty() ||
        !parseInteger(host->second.facts, "cell", cell) || cell > 1'000'000 ||
        !parseInteger(host->second.facts, "started", row.startedMs))
      return std::nullopt;
    row.name = target.substr(0, dot);
    row.zone = target.substr(dot + 1, target.find('.', dot + 1) - dot - 1);
    row.host = host->second.address;
    row.cell = static_cast<int>(cell);
    row.kind = host->second.facts["kind"];
    answer.rows.push_back(std::move(row));
  }
  return answer;
}

}  // namespace lupinsill::discovery
