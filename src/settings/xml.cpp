#include "settings/xml.h"

#include <libxml/parser.h>
#include <libxml/tree.h>
#include <libxml/xmlschemas.h>

#include <cstring>
#include <fstream>
#include <memory>
#include <sstream>

namespace lupinsill::settings {
namespace {

using Document = std::unique_ptr<xmlDoc, void (*)(xmlDoc*)>;
using ParserContext = std::unique_ptr<xmlParserCtxt, void (*)(xmlParserCtxt*)>;
using SchemaParser = std::unique_ptr<xmlSchemaParserCtxt, void (*)(xmlSchemaParserCtxt*)>;
using Schema = std::unique_ptr<xmlSchema, void (*)(xmlSchema*)>;
using Validator = std::unique_ptr<xmlSchemaValidCtxt, void (*)(xmlSchemaValidCtxt*)>;

struct Complaint {
  std::string file;
  std::string first;  // the first is the cause, what follows often its echo
};

void hear(void* into, xmlErrorPtr error) {
  auto& complaint = *static_cast<Complaint*>(into);
  if (!complaint.first.empty() || error == nullptr || error->message == nullptr) return;
  std::string text = error->message;
  while (!text.empty() && (text.back() == '\n' || text.back() == ' ')) text.pop_back();
  for (char& c : text)
    if (c == '\n') c = ' ';
  for (const char* space : {"{urn:lupinsill:settings:1}", "{urn:lupinsill:nodes:1}", "{urn:lupinsill:day:1}"})
    for (std::size_t at; (at = text.find(space)) != std::string::npos;) text.erase(at, std::strlen(space));
  complaint.first = complaint.file + ":" + std::to_string(error->line) + ": " + text;
}

Document load(const std::string& file, std::string_view schemaText) {
  std::ifstream in(file, std::ios::binary);
  if (!in) throw SettingsError(file + ": cannot be read");
  std::ostringstream whole;
  whole << in.rdbuf();
  const std::string bytes = whole.str();

  Complaint complaint{file, {}};
  xmlSetStructuredErrorFunc(&complaint, hear);
  const ParserContext parser(xmlNewParserCtxt(), xmlFreeParserCtxt);
  Document doc(xmlCtxtReadMemory(parser.get(), bytes.data(), static_cast<int>(bytes.size()), file.c_str(),
                                 nullptr, XML_PARSE_NONET | XML_PARSE_NOBLANKS),
               xmlFreeDoc);
  if (!doc) {
    xmlSetStructuredErrorFunc(nullptr, nullptr);
    throw SettingsError(complaint.first.empty() ? file + ": not XML" : complaint.first);
  }
  const SchemaParser schemaParser(
      xmlSchemaNewMemParserCtxt(schemaText.data(), static_cast<int>(schemaText.size())),
      xmlSchemaFreeParserCtxt);
  const Schema schema(xmlSchemaParse(schemaParser.get()), xmlSchemaFree);
  if (!schema) throw SettingsError("built-in schema: " + complaint.first);
  const Validator validator(xmlSchemaNewValidCtxt(schema.get()), xmlSchemaFreeValidCtxt);
  xmlSchemaSetValidOptions(validator.get(), XML_SCHEMA_VAL_VC_I_CREATE);
  xmlSchemaSetValidStructuredErrors(validator.get(), hear, &complaint);
  const int verdict = xmlSchemaValidateDoc(validator.get(), doc.get());
  xmlSetStructuredErrorFunc(nullptr, nullptr);
  if (verdict != 0) throw SettingsError(complaint.first.empty() ? file + ": not valid" : complaint.first);
  return doc;
}

std::string textOf(const xmlChar* text) {
  return text == nullptr ? std::string() : std::string(reinterpret_cast<const char*>(text));
}

Element elementOf(xmlNode* node) {
  Element element;
  element.name = textOf(node->name);
  element.line = static_cast<int>(xmlGetLineNo(node));
  for (xmlAttr* a = node->properties; a != nullptr; a = a->next) {
    xmlChar* value = xmlNodeListGetString(node->doc, a->children, 1);
    element.attributes.emplace_back(textOf(a->name), textOf(value));
    xmlFree(value);
  }
  for (xmlNode* c = node->children; c != nullptr; c = c->next)
    if (c->type == XML_ELEMENT_NODE) element.children.push_back(elementOf(c));
  return element;
}

}  // namespace

const std::string* Element::attribute(std::string_view wanted) const {
  for (const auto& [key, value] : attributes)
    if (key == wanted) return &value;
  return nullptr;
}
std::string Element::text(std::string_view wanted) const {
  const std::string* value = attribute(wanted);
  return value == nullptr ? std::string() : *value;
}
const Element* Element::child(std::string_view wanted) const {
  for (const Element& c : children)
    if (c.name == wanted) return &c;
  return nullptr;
}

Element readXml(const std::string& file, std::string_view schema) {
  const Document doc = load(file, schema);
  return elementOf(xmlDocGetRootElement(doc.get()));
}

std::string writeXml(const std::string& file, std::string_view schema) {
  const Document doc = load(file, schema);
  xmlChar* text = nullptr;
  int size = 0;
  xmlDocDumpFormatMemoryEnc(doc.get(), &text, &size, "UTF-8", 1);
  std::string out(reinterpret_cast<const char*>(text), static_cast<std::size_t>(size));
  xmlFree(text);
  return out;
}

void throwSettingsError(const std::string& file, const Element& at, const std::string& why) {
  throw SettingsError(file + ":" + std::to_string(at.line) + ": Element '" + at.name + "': " + why);
}

}  // namespace lupinsill::settings
