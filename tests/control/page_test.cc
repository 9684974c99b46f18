#include <catch2/catch.hpp>
#include <fstream>
#include <iterator>

#include "jasminespar/configuration/item_keys.h"
#include "jasminespar/control/exit_code.h"

namespace jasminespar::control {
namespace {

std::string ReadPage(const std::string& name) {
  std::ifstream file(JASMINESPAR_DOCS "/" + name);
  return {std::istreambuf_iterator<char>(file), {}};
}

template <typename Rows, typename Item>
void CheckKeys(const std::string& page, const Rows& rows, const Item& item) {
  for (const auto& row : rows) {
    const std::string text = TextOf(item, row.value);
    const std::string line = "| `" + std::string(row.name) + "` | " +
                             (text.empty() ? "all" : text) + " | " +
                             std::string(row.allowed) + " |";
    CAPTURE(line);
    CHECK(page.find(line) != std::string::npos);
  }
}

TEST_CASE("the page on release notes names every key, default and range") {
  const std::string page = ReadPage("RELEASE-NOTES.md");
  CheckKeys(page, configuration::kAccountKeys, configuration::ClientAccount{});
  CheckKeys(page, configuration::kServiceKeys, configuration::Service{});
}

TEST_CASE("the page on release notes names every exit code") {
  const std::string page = ReadPage("RELEASE-NOTES.md");
  for (const auto& row : kExitCodes) {
    const std::string line = "| " +
                             std::to_string(static_cast<int>(row.value)) +
                             " | " + std::string(row.help) + " |";
    CAPTURE(line);
    CHECK(page.find(line) != std::string::npos);
  }
}

}  // namespace
}  // namespace jasminespar::control
