/** @file Stand-in for the platform: table service, object store, host list. */
#include "platform_state.hpp"

#include "tillerhall/core/worker.hpp"
#include "tillerhall/http/api_server.hpp"
#include "tillerhall/http/listener.hpp"

#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

namespace
{

using namespace tillerhall;

int run(const std::string& at)
{
    const auto listen_address = address::parse(at);
    if (!listen_address)
    {
        std::cerr << listen_address.reason().message() << "\n";
        return 2;
    }
    worker main_worker;
    auto opened = listener::open(main_worker, *listen_address);
    if (!opened)
    {
        std::cerr << opened.reason().message() << "\n";
        return 3;
    }
    platform_state state([&](duration span)
                         { sleep_for(main_worker.io(), span); });
    api_limits limits;
    limits.body_bytes = 64 * 1024 * 1024;
    (*opened)->start(
        [&](tcp_stream& stream)
        {
            serve_api(
                stream,
                [&](const http_request& request)
                { return state.answer(request); },
                limits);
        });
    std::cout << R"({"event":"listening","address":")"
              << (*opened)->local().text() << "\"}" << std::endl;
    main_worker.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("standin-platform",
                             "Stand-in for the platform's services.");
    options.add_options()("listen", "address",
                          cxxopts::value<std::string>()->default_value(
                              "127.0.0.1:0"))("h,help", "show this");
    const auto given = options.parse(argc, argv);
    if (given.count("help") != 0)
    {
        std::cout << options.help();
        return 0;
    }
    std::_Exit(run(given["listen"].as<std::string>()));
}
