/** @file The report on service-level burn, as text, JSON or an HTML page. */
#include "command.hpp"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace tillerhall::cli
{
namespace
{

namespace json = boost::json;

constexpr std::array<const char*, 4> window_names{"5m", "30m", "1h", "6h"};

std::string text(const json::value& row, const char* name)
{
    return json::value_to<std::string>(row.at(name));
}

double number(const json::value& row, const char* name)
{
    return row.at(name).to_number<double>();
}

std::string fixed(double value, int digits = 1)
{
    std::ostringstream out;
    out << std::fixed << std::setprecision(digits) << value;
    return out.str();
}

std::string budget_text(const json::value& row)
{
    const double left = number(row, "budget_left");
    return left < 0 ? "spent" : fixed(100 * left, 0) + "%";
}

std::string alarm_start_text(const json::value& row)
{
    if (number(row, "began_minutes_ago") < 0)
        return "-";
    return fixed(number(row, "began_minutes_ago"), 0) + " min ago at version " +
           fixed(number(row, "began_version"), 0) + ": " + text(row, "cause");
}

void print_text(const json::array& rows)
{
    std::cout << std::left << std::setw(16) << "service" << std::setw(12)
              << "place" << std::setw(18) << "objective" << std::setw(9)
              << "calls" << std::setw(7) << "bad" << std::setw(26)
              << "burn 5m/30m/1h/6h" << std::setw(9) << "budget" << std::setw(8)
              << "alarm"
              << "began\n";
    for (const auto& row : rows)
    {
        std::string burn;
        for (const auto* window : window_names)
            burn += (burn.empty() ? "" : "/") +
                    fixed(number(row.at("burn"), window));
        std::cout << std::setw(16) << text(row, "service") << std::setw(12)
                  << text(row, "place") << std::setw(18)
                  << fixed(number(row, "answered_percent"), 2) + "% in " +
                         fixed(number(row, "within_ms"), 0) + "ms"
                  << std::setw(9) << fixed(number(row, "calls"), 0)
                  << std::setw(7) << fixed(number(row, "bad"), 0)
                  << std::setw(26) << burn << std::setw(9) << budget_text(row)
                  << std::setw(8) << text(row, "alarm") << alarm_start_text(row)
                  << "\n";
    }
}

std::string escaped(const std::string& raw)
{
    std::string safe;
    for (const char c : raw)
        safe += c == '<'   ? "&lt;"
                : c == '&' ? "&amp;"
                : c == '"' ? "&quot;"
                           : std::string(1, c);
    return safe;
}

/** @return a bar chart of the burn rates of the four windows, as SVG. */
std::string burn_bars(const json::value& row)
{
    constexpr double width = 220;
    constexpr double max_burn_rate = 20;
    constexpr int bar_height = 14;
    std::ostringstream svg;
    svg << "<svg width='330' height='" << 4 * (bar_height + 4) << "'>";
    int y = 0;
    for (const auto* window : window_names)
    {
        const double rate = number(row.at("burn"), window);
        const double length =
            std::min(rate, max_burn_rate) / max_burn_rate * width;
        const char* colour = rate > 6   ? "#c0392b"
                             : rate > 1 ? "#e67e22"
                                        : "#2e86c1";
        svg << "<text x='0' y='" << y + 11 << "' font-size='11'>" << window
            << "</text><rect x='34' y='" << y << "' width='"
            << std::max(1.0, length) << "' height='" << bar_height << "' fill='"
            << colour << "'/><text x='" << 40 + std::max(1.0, length) << "' y='"
            << y + 11 << "' font-size='11'>" << fixed(rate) << "</text>";
        y += bar_height + 4;
    }
    // A vertical line at rate 1, which uses up exactly the budget.
    svg << "<line x1='" << 34 + width / max_burn_rate << "' x2='"
        << 34 + width / max_burn_rate << "' y1='0' y2='" << y
        << "' stroke='#555' stroke-dasharray='2,2'/></svg>";
    return svg.str();
}

std::string html_page(const json::array& rows)
{
    std::ostringstream html;
    html << "<!doctype html><html lang='en'><meta charset='utf-8'><title>"
            "Service-level burn</title><style>body{font:14px sans-serif;"
            "margin:2em;color:#222}table{border-collapse:collapse}td,th{"
            "border-bottom:1px solid #ddd;padding:6px 12px;text-align:left;"
            "vertical-align:top}.page{background:#fdecea}.ticket{background:"
            "#fef5e7}</style><h1>Service-level burn</h1><p>Burn rate 1 (dashed)"
            " uses up just the budget. A page alarm needs more than 14.4 over "
            "5 minutes and 1 hour, a ticket more than 6 over 30 minutes and 6 "
            "hours.</p><table><tr><th>service<th>place<th>objective<th>calls "
            "(6 h)<th>bad<th>budget left<th>p50 / p99 ms<th>burn rate<th>alarm"
            "<th>began</tr>";
    for (const auto& row : rows)
        html << "<tr class='" << text(row, "alarm") << "'><td>"
             << escaped(text(row, "service")) << "<td>"
             << escaped(text(row, "place")) << "<td>"
             << fixed(number(row, "answered_percent"), 2) << "% in "
             << fixed(number(row, "within_ms"), 0) << " ms<td>"
             << fixed(number(row, "calls"), 0) << "<td>"
             << fixed(number(row, "bad"), 0) << "<td>" << budget_text(row)
             << "<td>" << fixed(number(row, "p50_ms")) << " / "
             << fixed(number(row, "p99_ms")) << "<td>" << burn_bars(row)
             << "<td>" << text(row, "alarm") << "<td>"
             << escaped(alarm_start_text(row)) << "</tr>";
    html << "</table></html>\n";
    return html.str();
}

json::array rows_of_service(const json::value& body, const std::string& service)
{
    json::array rows;
    for (const auto& each : body.at("rows").as_array())
        if (service.empty() || text(each, "service") == service)
            rows.push_back(each);
    std::ranges::stable_sort(rows, std::greater<>(),
                             [](const json::value& row)
                             { return number(row.at("burn"), "5m"); });
    return rows;
}

} // namespace

int run_report(invocation& given)
{
    if (given.arguments[0] != "burn")
        return fail(error(error_code::unknown_name,
                          "unknown report \"" + given.arguments[0] + "\"",
                          "the only report is burn"));
    const auto answer = given.mesh.ask("GET", "/v1/burn");
    if (!answer)
        return fail(answer.reason());
    boost::system::error_code failed;
    const auto body = json::parse(answer->body, failed);
    if (failed || answer->status != 200)
        return fail(*answer);
    const auto service = given.options.count("service") != 0
                             ? given.options["service"].as<std::string>()
                             : std::string();
    const auto rows = rows_of_service(body, service);
    if (given.options.count("html") != 0)
    {
        const auto path = given.options["html"].as<std::string>();
        std::ofstream file(path);
        file << html_page(rows);
        file.close();
        if (!file)
            return fail(error(error_code::invalid_argument,
                              "cannot write " + path,
                              "check that the folder is writable"));
    }
    if (given.as_json)
        std::cout << json::serialize(rows) << "\n";
    else
        print_text(rows);
    const auto missing = body.at("parts_unreachable").to_number<int>();
    if (missing != 0)
        std::cerr << missing
                  << " parts of the mesh did not answer; their "
                     "calls are not included. Remedy: see `tiller nodes`\n";
    return exit_ok;
}

} // namespace tillerhall::cli
