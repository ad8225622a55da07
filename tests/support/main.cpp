#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>
#include <cstdlib>
#include <iostream>

int main(int argc, char** argv)
{
    const int code = Catch::Session().run(argc, argv);
    std::cout << std::flush;
    // Fibers of stand-ins may still wait; leaving main would wait for them.
    std::_Exit(code);
}
