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

// The additional records of a node: its address and the key=value pairs of its TXT record.
struct Host {
  std::string address;
  std::map<std::string, std::string> attributes;
};

bool parseInteger(const std::map<std::string, std::string>& attributes, const char* key, std::int64_t& into) {
  const auto it = attributes.find(key);
  if (it == attributes.end()) return false;
  const char* end = it->second.data() + it->second.size();
  const auto [at, error] = std::from_chars(it->second.data(), end, into);
  return error == std::errc() && at == end && into >= 0;
}

std::string toLower(std::string name) {
  for (char& c : name)
    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c - 'A' + 'a');
  return name;
}

struct ResourceRecord {
  std::string name;
  int type = 0;
  const unsigned char* data = nullptr;
  std::size_t size = 0;
};

bool parseRecord(ns_msg& message, ns_sect section, int index, ResourceRecord& into) {
  ns_rr rr;
  if (ns_parserr(&message, section, index, &rr) != 0) return false;
  into = {toLower(ns_rr_name(rr)), ns_rr_type(rr), ns_rr_rdata(rr),
          static_cast<std::size_t>(ns_rr_rdlen(rr))};
  return true;
}

// Reads a name inside a record, which may be compressed as a reference into the message. Returns the number
// of bytes that it occupies, or a negative number if it is malformed.
int decompressName(const ns_msg& message, const unsigned char* at, std::string& into) {
  std::array<char, NS_MAXDNAME> name{};
  const int used =
      ns_name_uncompress(ns_msg_base(message), ns_msg_end(message), at, name.data(), name.size());
  if (used >= 0) into = name.data();
  return used;
}

}  // namespace

std::string buildQuery(std::uint16_t queryId, const std::string& service) {
  std::array<unsigned char, 512> bytes{};
  HEADER header{};
  header.id = htons(queryId);
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

std::optional<Answer> parseAnswer(std::string_view bytes, const std::string& service) {
  ns_msg message;
  // Checks the extent of every section, so a truncated answer fails here.
  if (ns_initparse(reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()),
                   &message) != 0)
    return std::nullopt;
  if (ns_msg_getflag(message, ns_f_qr) != 1 || ns_msg_getflag(message, ns_f_tc) != 0 ||
      ns_msg_getflag(message, ns_f_rcode) != ns_r_noerror || ns_msg_count(message, ns_s_qd) != 1)
    return std::nullopt;
  ns_rr question;
  if (ns_parserr(&message, ns_s_qd, 0, &question) != 0 || ns_rr_type(question) != ns_t_srv ||
      toLower(ns_rr_name(question)) != toLower(service))
    return std::nullopt;

  Answer answer;
  answer.queryId = static_cast<std::uint16_t>(ns_msg_id(message));
  bool serialFound = false;
  for (int i = 0; i < ns_msg_count(message, ns_s_ns); ++i) {
    ResourceRecord record;
    if (!parseRecord(message, ns_s_ns, i, record)) return std::nullopt;
    if (record.type != ns_t_soa) continue;
    std::string name;
    const unsigned char* at = record.data;
    for (int names = 0; names < 2; ++names) {
      const int used = decompressName(message, at, name);
      if (used < 0) return std::nullopt;
      at += used;
    }
    if (at + NS_INT32SZ > record.data + record.size) return std::nullopt;
    answer.serial = ns_get32(at);
    serialFound = true;
  }
  if (!serialFound) return std::nullopt;

  std::map<std::string, Host> hosts;
  for (int i = 0; i < ns_msg_count(message, ns_s_ar); ++i) {
    ResourceRecord record;
    if (!parseRecord(message, ns_s_ar, i, record)) return std::nullopt;
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
          host.attributes[text.substr(0, equals)] = text.substr(equals + 1);
      }
    }
  }
  for (int i = 0; i < ns_msg_count(message, ns_s_an); ++i) {
    ResourceRecord record;
    if (!parseRecord(message, ns_s_an, i, record)) return std::nullopt;
    if (record.type != ns_t_srv) continue;
    if (record.size < 3 * NS_INT16SZ + 1) return std::nullopt;
    NodeRecord node;
    node.draining = ns_get16(record.data) != 0;
    node.weight = static_cast<double>(ns_get16(record.data + 2)) / 10;
    node.port = static_cast<int>(ns_get16(record.data + 4));
    std::string target;
    if (decompressName(message, record.data + 6, target) < 0) return std::nullopt;
    const std::size_t dot = target.find('.');
    const auto host = hosts.find(toLower(target));
    std::int64_t cell = 0;
    // A list with an incomplete node is rejected as a whole: the previous list serves better.
    if (dot == std::string::npos || host == hosts.end() || host->second.address.empty() ||
        !parseInteger(host->second.attributes, "cell", cell) || cell > 1'000'000 ||
        !parseInteger(host->second.attributes, "started", node.startedMs))
      return std::nullopt;
    node.name = target.substr(0, dot);
    node.zone = target.substr(dot + 1, target.find('.', dot + 1) - dot - 1);
    node.host = host->second.address;
    node.cell = static_cast<int>(cell);
    node.kind = host->second.attributes["kind"];
    answer.nodes.push_back(std::move(node));
  }
  return answer;
}

}  // namespace lupinsill::discovery
