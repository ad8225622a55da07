/** @file The subcommand that shows the capacity of services by domain. */
#include "command.hpp"

#include <boost/json.hpp>
#include <iomanip>
#include <iostream>

namespace tillerhall::cli
{
namespace
{

namespace json = boost::json;

constexpr const char* path = "/v1/domains";
constexpr int name_width = 20;
constexpr int figure_width = 10;

std::string text(const json::value& object, const char* name)
{
    return json::value_to<std::string>(object.at(name));
}

void print_domain(const json::value& domain)
{
    constexpr double percent = 100;
    std::cout << "    " << std::left << std::setw(name_width)
              << text(domain, "region") + "/" + text(domain, "domain")
              << std::right << std::fixed << std::setprecision(1);
    for (const auto* name : {"slots", "demand", "spare", "lent", "borrowed"})
        std::cout << std::setw(figure_width)
                  << domain.at(name).to_number<double>();
    std::cout << std::setw(figure_width)
              << domain.at("planned").to_number<double>() * percent
              << std::setw(figure_width)
              << domain.at("age_ms").to_number<std::int64_t>() << "\n";
}

void print_service(const json::value& service)
{
    std::cout << text(service, "service") << "\n    " << std::left
              << std::setw(name_width) << "domain" << std::right;
    for (const auto* name : {"slots", "demand", "spare", "lent", "borrowed",
                             "planned %", "age ms"})
        std::cout << std::setw(figure_width) << name;
    std::cout << "\n";
    for (const auto& each : service.at("domains").as_array())
        print_domain(each);
}

} // namespace

int run_domains(invocation& given)
{
    const auto answer = given.mesh.ask("GET", path);
    if (!answer)
        return fail(answer.reason());
    if (answer->status != 200)
        return fail(*answer);
    if (given.as_json)
    {
        std::cout << answer->body << "\n";
        return exit_ok;
    }
    const auto body = json::parse(answer->body);
    const auto& services = body.at("services").as_array();
    for (const auto& each : services)
        if (given.arguments.empty() ||
            text(each, "service") == given.arguments[0])
            print_service(each);
    if (services.empty())
        std::cout << "no service is balanced between domains, as far as this "
                     "node knows\n";
    return exit_ok;
}

} // namespace tillerhall::cli
