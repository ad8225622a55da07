/** @file Stand-in for a target, with injected faults and run counts. */
#include "target_standin.hpp"

#include "tillerhall/core/worker.hpp"
#include "tillerhall/http/listener.hpp"

#include <boost/json.hpp>
#include <cstdlib>
#include <cxxopts.hpp>
#include <iostream>

namespace
{

using namespace tillerhall;

int run(const cxxopts::ParseResult& given)
{
    const auto listen_address =
        address::parse(given["listen"].as<std::string>());
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
    const auto local = (*opened)->local().text();
    target_standin target(main_worker, local);
    boost::system::error_code failed;
    const auto behaviour =
        boost::json::parse(given["behave"].as<std::string>(), failed);
    if (failed || !behaviour.is_object() ||
        !target.set_behaviour(behaviour.as_object()))
    {
        std::cerr
            << "--behave must be a JSON object with known names and numbers\n";
        return 2;
    }
    (*opened)->start([&](tcp_stream& stream) { target.serve(stream); });
    std::cout << R"({"event":"listening","address":")" << local << "\"}"
              << std::endl;
    main_worker.run();
    return 0;
}

} // namespace

int main(int argc, char** argv)
{
    cxxopts::Options options("standin-target", "Stand-in for a target.");
    options.add_options()(
        "listen", "address",
        cxxopts::value<std::string>()->default_value("127.0.0.1:0"))(
        "behave", "JSON object of behaviour, as for POST /admin/behave",
        cxxopts::value<std::string>()->default_value("{}"))("h,help",
                                                            "show this");
    const auto given = options.parse(argc, argv);
    if (given.count("help") != 0)
    {
        std::cout << options.help();
        return 0;
    }
    std::_Exit(run(given));
}
