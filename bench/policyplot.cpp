// SVG by hand: three lines and two axes need no library.

#include "policyplot.h"

#include <algorithm>
#include <cmath>
#include <sstream>

#include <nlohmann/json.hpp>

namespace lacewing::bench {

namespace {

constexpr double width = 640;
constexpr double height = 400;
constexpr double margin = 60;
constexpr double leastStall = 0.01;
constexpr double mostStall = 100;
constexpr double leastLoad = 0.3;
constexpr double mostLoad = 1.4;

double toX(double load)
{
    return margin + (width - 2 * margin) * (load - leastLoad) / (mostLoad - leastLoad);
}

double toY(double stall)
{
    const double clamped = std::clamp(stall, leastStall, mostStall);
    const double share = std::log10(clamped / leastStall) / std::log10(mostStall / leastStall);
    return height - margin - (height - 2 * margin) * share;
}

void addText(std::ostringstream &svg, double x, double y, const std::string &text)
{
    svg << "<text x=\"" << x << "\" y=\"" << y << "\" font-size=\"12\" font-family=\"sans-serif\">" << text
        << "</text>\n";
}

void addLine(std::ostringstream &svg, const nlohmann::json &report, const std::string &policy, const char *colour,
             double legend)
{
    svg << "<polyline fill=\"none\" stroke=\"" << colour << "\" stroke-width=\"2\" points=\"";
    for (const nlohmann::json &row : report) {
        const double stall = row.at(policy).at("urgent_stall_p95").at("median").get<double>();
        svg << toX(row.at("load").get<double>()) << ',' << toY(stall) << ' ';
    }
    svg << "\"/>\n<rect x=\"" << margin + 10 << "\" y=\"" << legend - 9 << "\" width=\"10\" height=\"10\" fill=\""
        << colour << "\"/>\n";
    addText(svg, margin + 25, legend, policy);
}

} // namespace

std::string plotStalls(const nlohmann::json &report)
{
    std::ostringstream svg;
    svg << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << width << "\" height=\"" << height << "\">\n";
    svg << "<rect width=\"100%\" height=\"100%\" fill=\"white\"/>\n";
    for (double stall = leastStall; stall <= mostStall; stall *= 10) {
        svg << "<line x1=\"" << margin << "\" x2=\"" << width - margin << "\" y1=\"" << toY(stall) << "\" y2=\""
            << toY(stall) << "\" stroke=\"lightgrey\"/>\n";
        std::ostringstream label;
        label << stall << " s";
        addText(svg, 10, toY(stall) + 4, label.str());
    }
    for (const nlohmann::json &row : report) {
        const double load = row.at("load").get<double>();
        addText(svg, toX(load) - 12, height - margin + 20, std::to_string(std::lround(load * 100)) + " %");
    }
    addText(svg, width / 2 - 120, 30, "urgent load stall, 95th percentile, against offered load");
    addLine(svg, report, "ours", "green", margin + 15);
    addLine(svg, report, "affinity", "orange", margin + 31);
    addLine(svg, report, "naive", "red", margin + 47);
    addLine(svg, report, "affinity-serial", "blue", margin + 63);
    svg << "</svg>\n";
    return svg.str();
}

} // namespace lacewing::bench
