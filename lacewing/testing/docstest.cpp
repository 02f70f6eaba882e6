// The tables of the documentation against the code.

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <sstream>

#include <criterion/criterion.h>

#include "commandline.h"
#include "metrics.h"
#include "operatorcommands.h"
#include "resultcode.h"
#include "settings.h"

using namespace lacewing;

namespace {

std::string readPage(const std::string &name)
{
    std::ifstream file(std::filesystem::path(SOURCE_DIRECTORY) / "docs" / name);
    cr_assert(file.good(), "docs/%s is missing", name.c_str());
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::string trim(const std::string &text)
{
    const std::size_t first = text.find_first_not_of(" `");
    const std::size_t last = text.find_last_not_of(" `");
    return first == std::string::npos ? "" : text.substr(first, last - first + 1);
}

/// Rows of the table whose header starts with the given cell.
std::vector<std::vector<std::string>> readTable(const std::string &page, const std::string &firstHeader)
{
    std::vector<std::vector<std::string>> rows;
    std::istringstream lines(page);
    std::string line;
    bool inside = false;
    while (std::getline(lines, line)) {
        inside = line.starts_with("| " + firstHeader + " |") || (inside && line.starts_with("|"));
        if (!inside || line.starts_with("|-") || line.starts_with("| " + firstHeader + " |")) {
            continue;
        }
        std::vector<std::string> row;
        std::istringstream cells(line.substr(1));
        for (std::string cell; std::getline(cells, cell, '|');) {
            row.push_back(trim(cell));
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

/// Joins the wrapped lines of a help text.
std::string withSingleSpaces(const std::string &text)
{
    std::istringstream words(text);
    std::string joined;
    for (std::string word; words >> word;) {
        joined += word + " ";
    }
    return joined;
}

std::size_t countOf(const std::string &text, std::string_view part)
{
    std::size_t count = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1)) {
        ++count;
    }
    return count;
}

bool contains(const std::string &text, const std::string &part)
{
    return text.find(part) != std::string::npos;
}

} // namespace

Test(docs, settingsAgreeWithHelp)
{
    const std::vector<const char *> arguments {"lacewingd", "--help"};
    const std::string help = withSingleSpaces(readSettings(arguments, processEnvironment()).text);
    const auto rows = readTable(readPage("SETTINGS.md"), "Flag");
    for (const auto &row : rows) {
        cr_assert(row.size() == 4);
        const std::string ending = row[2] == "required" ? " (required) "
            : row[2].empty()                            ? " "
                                                        : " (default: " + row[2] + ") ";
        const std::string expected = row[0] + " VALUE " + row[3] + " [" + row[1] + "]" + ending;
        cr_expect(contains(help, expected), "not in --help: %s", expected.c_str());
    }
    cr_assert(rows.size() == countOf(help, "[LACEWING_"), "a setting is missing in the page");
}

Test(docs, resultCodesAgreeWithTheTable)
{
    const auto rows = readTable(readPage("RESULT-CODES.md"), "Code");
    cr_assert(rows.size() == resultCodes().size());
    for (std::size_t index = 0; index < rows.size(); ++index) {
        const ResultCodeInfo &info = resultCodes()[index];
        const std::vector<std::string> expected {std::to_string(static_cast<int>(info.code)),
                                                 std::to_string(info.httpStatus), std::string(info.type),
                                                 std::string(info.message)};
        cr_expect(rows[index] == expected, "row %zu: %s", index, rows[index][0].c_str());
    }
}

Test(docs, exitCodesAgree)
{
    const auto rows = readTable(readPage("OPERATORS-CLI.md"), "Exit code");
    cr_assert(rows.size() == commandExits().size());
    for (std::size_t index = 0; index < rows.size(); ++index) {
        const CommandExitInfo &info = commandExits()[index];
        cr_expect(rows[index][0] == std::to_string(static_cast<int>(info.code)));
        cr_expect(rows[index][1] == info.meaning, "%s", rows[index][1].c_str());
    }
}

Test(docs, commandsAgree)
{
    const auto rows = readTable(readPage("OPERATORS-CLI.md"), "Command");
    cr_assert(rows.size() == commandInfos().size());
    for (std::size_t index = 0; index < rows.size(); ++index) {
        const CommandInfo &info = commandInfos()[index];
        const std::string names = info.names.empty() ? "" : " " + std::string(info.names);
        cr_expect(rows[index][0] == std::string(info.name) + names, "%s", rows[index][0].c_str());
        cr_expect(rows[index][3] == info.help, "%s", rows[index][3].c_str());
    }
}

Test(docs, metricsAgree)
{
    const std::string text = Metrics().render();
    const auto rows = readTable(readPage("operators/observability.md"), "Metric");
    for (const auto &row : rows) {
        cr_expect(contains(text, "# TYPE " + row[0] + " " + row[1] + "\n"), "%s", row[0].c_str());
    }
    cr_assert(rows.size() == countOf(text, "# TYPE "), "a metric is missing in the page");
}

Test(docs, everyLogEventIsDescribed)
{
    const auto rows = readTable(readPage("operators/observability.md"), "Event");
    std::size_t found = 0;
    for (const auto &file : std::filesystem::directory_iterator(std::filesystem::path(SOURCE_DIRECTORY) / "lacewing")) {
        if (file.path().extension() != ".cpp") {
            continue;
        }
        std::ifstream stream(file.path());
        const std::string source {std::istreambuf_iterator<char>(stream), std::istreambuf_iterator<char>()};
        for (const std::string start : {"WriteLog {\"", "writeLogLine(\""}) {
            for (std::size_t at = source.find(start); at != std::string::npos; at = source.find(start, at + 1)) {
                const std::size_t begin = at + start.size();
                const std::string event = source.substr(begin, source.find('"', begin) - begin);
                const bool described
                    = std::any_of(rows.begin(), rows.end(), [&event](const auto &row) { return row[0] == event; });
                cr_expect(described, "%s of %s", event.c_str(), file.path().filename().c_str());
                ++found;
            }
        }
    }
    cr_assert(found > 0);
}
