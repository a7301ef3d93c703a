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

// Collects the errors of libxml2. Only the first is kept: later ones are often consequences of it.
struct ErrorCollector {
  std::string file;
  std::string firstError;
};

// Callback for libxml2; `context` is an ErrorCollector.
void recordError(void* context, xmlErrorPtr error) {
  auto& errors = *static_cast<ErrorCollector*>(context);
  if (!errors.firstError.empty() || error == nullptr || error->message == nullptr) return;
  std::string text = error->message;
  while (!text.empty() && (text.back() == '\n' || text.back() == ' ')) text.pop_back();
  for (char& c : text)
    if (c == '\n') c = ' ';
  // Element names are reported with their namespace, which is of no use to the reader.
  for (const char* namespacePrefix :
       {"{urn:lupinsill:settings:1}", "{urn:lupinsill:nodes:1}", "{urn:lupinsill:day:1}"})
    for (std::size_t at; (at = text.find(namespacePrefix)) != std::string::npos;)
      text.erase(at, std::strlen(namespacePrefix));
  errors.firstError = errors.file + ":" + std::to_string(error->line) + ": " + text;
}

// Parses and validates a file, with the schema's default values filled in.
Document loadDocument(const std::string& file, std::string_view schemaText) {
  std::ifstream in(file, std::ios::binary);
  if (!in) throw SettingsError(file + ": cannot be read");
  std::ostringstream contents;
  contents << in.rdbuf();
  const std::string bytes = contents.str();

  ErrorCollector errors{file, {}};
  xmlSetStructuredErrorFunc(&errors, recordError);
  const ParserContext parser(xmlNewParserCtxt(), xmlFreeParserCtxt);
  Document doc(xmlCtxtReadMemory(parser.get(), bytes.data(), static_cast<int>(bytes.size()), file.c_str(),
                                 nullptr, XML_PARSE_NONET | XML_PARSE_NOBLANKS),
               xmlFreeDoc);
  if (!doc) {
    xmlSetStructuredErrorFunc(nullptr, nullptr);
    throw SettingsError(errors.firstError.empty() ? file + ": not well-formed XML" : errors.firstError);
  }
  const SchemaParser schemaParser(
      xmlSchemaNewMemParserCtxt(schemaText.data(), static_cast<int>(schemaText.size())),
      xmlSchemaFreeParserCtxt);
  const Schema schema(xmlSchemaParse(schemaParser.get()), xmlSchemaFree);
  if (!schema) throw SettingsError("built-in schema: " + errors.firstError);
  const Validator validator(xmlSchemaNewValidCtxt(schema.get()), xmlSchemaFreeValidCtxt);
  xmlSchemaSetValidOptions(validator.get(), XML_SCHEMA_VAL_VC_I_CREATE);
  xmlSchemaSetValidStructuredErrors(validator.get(), recordError, &errors);
  const int validationResult = xmlSchemaValidateDoc(validator.get(), doc.get());
  xmlSetStructuredErrorFunc(nullptr, nullptr);
  if (validationResult != 0)
    throw SettingsError(errors.firstError.empty() ? file + ": does not match the schema" : errors.firstError);
  return doc;
}

std::string toString(const xmlChar* text) {
  return text == nullptr ? std::string() : std::string(reinterpret_cast<const char*>(text));
}

Element toElement(xmlNode* node) {
  Element element;
  element.name = toString(node->name);
  element.line = static_cast<int>(xmlGetLineNo(node));
  for (xmlAttr* a = node->properties; a != nullptr; a = a->next) {
    xmlChar* value = xmlNodeListGetString(node->doc, a->children, 1);
    element.attributes.emplace_back(toString(a->name), toString(value));
    xmlFree(value);
  }
  for (xmlNode* c = node->children; c != nullptr; c = c->next)
    if (c->type == XML_ELEMENT_NODE) element.children.push_back(toElement(c));
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
  const Document doc = loadDocument(file, schema);
  return toElement(xmlDocGetRootElement(doc.get()));
}

std::string formatXml(const std::string& file, std::string_view schema) {
  const Document doc = loadDocument(file, schema);
  xmlChar* text = nullptr;
  int size = 0;
  xmlDocDumpFormatMemoryEnc(doc.get(), &text, &size, "UTF-8", 1);
  std::string out(reinterpret_cast<const char*>(text), static_cast<std::size_t>(size));
  xmlFree(text);
  return out;
}

void throwSettingsError(const std::string& file, const Element& at, const std::string& reason) {
  throw SettingsError(file + ":" + std::to_string(at.line) + ": Element '" + at.name + "': " + reason);
}

}  // namespace lupinsill::settings
