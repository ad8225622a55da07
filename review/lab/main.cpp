/** @file Plays one case of the review: lab CASE FOLDER RECORD CONFIG NODE.
 * Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run. */
#include "cases.hpp"

#include <cstdlib>
#include <iostream>
#include <iterator>

int main(int argc, char** argv)
{
    using namespace review;
    constexpr int could_not_run = 2;
    if (argc != 6)
        return could_not_run;
    const std::string name = argv[1];
    const auto found = cases().find(name);
    if (found == cases().end())
        return could_not_run;
    std::ifstream file(argv[4]);
    const std::string config{std::istreambuf_iterator<char>(file), {}};
    const char* given = std::getenv("TROUBLE");
    const bool trouble = given == nullptr || std::string(given) != "0";
    const int code = tillerhall::run_main_fiber(
        [&](worker& on)
        {
            auto& notes = *new record(argv[3]);
            // Never destroyed: fibers still refer to it.
            auto* in = new lab(on, notes, argv[2], config, argv[5]);
            const int result = found->second(*in, trouble);
            in->end();
            notes.line("result     " + std::to_string(result));
            return result;
        });
    std::cout << name << ": exit " << code << std::endl;
    std::_Exit(code);
}
