/**
 * @file Fits lines to the points of `tiller-bench slopes` and prints the table
 * of docs/CAPACITY.md. Usage: capacity-fit FILE.csv
 *
 * Each quantity is fitted by least squares as a + b x. Quantities over the
 * number of nodes are also fitted as a + b log2(x), and the better fit is used.
 */
#include <cmath>
#include <cstdio>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <string>
#include <vector>

namespace
{

struct sample
{
    double x;
    double value;
};

/** A line over x or log2(x), and its fit. */
struct fit
{
    double offset = 0;
    double slope = 0;
    bool logarithmic = false;
    double worst_error = 0; ///< greatest relative error of a point

    double at(double x) const
    {
        return offset + slope * (logarithmic ? std::log2(x) : x);
    }
};

/** Independent variables and their design sizes. */
const std::map<std::string, double> design_sizes{
    {"members", 2700}, {"rows", 1200}, {"nodes", 2700}};

fit fit_line(const std::vector<sample>& samples, bool logarithmic)
{
    double n = 0;
    double sum_x = 0;
    double sum_y = 0;
    double sum_xx = 0;
    double sum_xy = 0;
    for (const auto& each : samples)
    {
        const double x = logarithmic ? std::log2(each.x) : each.x;
        n += 1;
        sum_x += x;
        sum_y += each.value;
        sum_xx += x * x;
        sum_xy += x * each.value;
    }
    fit line;
    line.logarithmic = logarithmic;
    const double spread = n * sum_xx - sum_x * sum_x;
    line.slope = spread == 0 ? 0 : (n * sum_xy - sum_x * sum_y) / spread;
    line.offset = (sum_y - line.slope * sum_x) / n;
    for (const auto& each : samples)
    {
        const double error = std::abs(line.at(each.x) - each.value) /
                             std::max(1e-9, std::abs(each.value));
        line.worst_error = std::max(line.worst_error, error);
    }
    return line;
}

void print(const std::string& quantity,
           const std::string& size_of,
           const std::vector<sample>& samples)
{
    auto line = fit_line(samples, false);
    const auto logarithmic = fit_line(samples, true);
    if (size_of == "nodes" && logarithmic.worst_error < line.worst_error)
        line = logarithmic;
    const double design_size = design_sizes.at(size_of);
    std::printf("| %s | %s | %.6g | %.6g%s | %.0f%% | %.6g |\n",
                quantity.c_str(), size_of.c_str(), line.offset, line.slope,
                line.logarithmic ? " log2" : "", 100 * line.worst_error,
                line.at(design_size));
}

} // namespace

int main(int argc, char** argv)
{
    std::ifstream file(argc > 1 ? argv[1] : "");
    if (!file)
    {
        std::cerr << "usage: capacity-fit FILE.csv (made by `scripts/bench "
                     "slopes --output FILE.csv`)\n";
        return 2;
    }
    std::map<std::pair<std::string, std::string>, std::vector<sample>> all;
    std::string line;
    std::getline(file, line); // the header
    while (std::getline(file, line))
    {
        std::istringstream cells(line);
        std::string quantity;
        std::string size_of;
        std::string x;
        std::string value;
        std::getline(cells, quantity, ',');
        std::getline(cells, size_of, ',');
        std::getline(cells, x, ',');
        std::getline(cells, value, ',');
        if (!design_sizes.contains(size_of))
        {
            std::cerr << "unknown size \"" << size_of << "\"\n";
            return 2;
        }
        all[{size_of, quantity}].push_back({std::stod(x), std::stod(value)});
    }
    std::cout << "| quantity | grows with | offset | slope | worst error | at "
                 "the design size |\n|---|---|---|---|---|---|\n";
    for (const auto& [key, samples] : all)
        print(key.second, key.first, samples);
    return 0;
}
