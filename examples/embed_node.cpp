/** @file Minimal program that runs a node: embed-node SETTINGS.yaml */
#include "tillerhall/tillerhall.hpp"

#include <cstdlib>
#include <iostream>

int main(int argc, char** argv)
{
    using namespace tillerhall;
    auto loaded = load_settings(argc > 1 ? argv[1] : "");
    for (const auto& problem : loaded.problems)
        std::cerr << problem.message() << "\n";
    if (!loaded.problems.empty())
        return 2;
    start_logging(log_level::info);
    node local_node(std::move(loaded.read), "operator-token");
    if (const auto opened = local_node.open(); !opened)
    {
        std::cerr << opened.reason().message() << "\n";
        return 3;
    }
    // Exits without destructors, since fibers may still be suspended.
    std::_Exit(local_node.run());
}
