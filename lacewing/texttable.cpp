// Two passes: widths first, then lines. Cells come from the configuration, so control characters are kept
// from the terminal.

#include "texttable.h"

#include <algorithm>
#include <cstddef>

namespace lacewing {

namespace {

constexpr std::size_t gap = 2;

std::string cleanCell(const std::string &cell)
{
    std::string clean = cell;
    std::replace_if(
        clean.begin(), clean.end(), [](char c) { return static_cast<unsigned char>(c) < ' ' || c == 0x7f; }, '?');
    return clean;
}

void appendRow(std::string &text, const std::vector<std::string> &row, const std::vector<std::size_t> &widths)
{
    std::string line;
    for (std::size_t column = 0; column < row.size(); ++column) {
        std::string cell = cleanCell(row[column]);
        const bool last = column + 1 == row.size();
        cell.resize(last ? cell.size() : widths[column] + gap, ' ');
        line += cell;
    }
    text += line + "\n";
}

} // namespace

std::string toString(const TextTable &table)
{
    std::vector<std::size_t> widths;
    for (const std::string &title : table.header) {
        widths.push_back(title.size());
    }
    for (const std::vector<std::string> &row : table.rows) {
        for (std::size_t column = 0; column < row.size(); ++column) {
            widths[column] = std::max(widths[column], row[column].size());
        }
    }
    std::string text;
    appendRow(text, table.header, widths);
    for (const std::vector<std::string> &row : table.rows) {
        appendRow(text, row, widths);
    }
    return text;
}

} // namespace lacewing
