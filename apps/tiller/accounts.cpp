/** @file The subcommand that lists client accounts. */
#include "command.hpp"

#include "tillerhall/http/api_client.hpp"

#include <boost/json.hpp>
#include <iomanip>
#include <iostream>

namespace tillerhall::cli
{
namespace
{

namespace json = boost::json;

constexpr std::int64_t ms_per_s = 1000;

/** @return the quota as shown; accounts without one have no figures. */
std::string quota_text(const json::object& account)
{
    if (!account.contains("per_s"))
        return "none";
    std::ostringstream text;
    text << account.at("per_s").to_number<double>() << "/s + "
         << account.at("burst").to_number<double>();
    return text.str();
}

void print(const json::value& body)
{
    const auto& accounts = body.at("accounts").as_array();
    std::cout << "ledger " << body.at("ledger").as_string().c_str() << " of "
              << body.at("domain").as_string().c_str() << ", counts of "
              << body.at("counted_ms").to_number<std::int64_t>() / ms_per_s
              << " s, " << accounts.size() << " of "
              << body.at("total").to_number<std::int64_t>() << " accounts\n"
              << std::left << std::setw(28) << "account" << std::setw(20)
              << "quota" << std::setw(14) << "spent"
              << "refused\n";
    for (const auto& each : accounts)
    {
        const auto& account = each.as_object();
        std::cout << std::setw(28) << account.at("account").as_string().c_str()
                  << std::setw(20) << quota_text(account) << std::setw(14)
                  << account.at("spent").to_number<std::int64_t>()
                  << account.at("refused").to_number<std::int64_t>() << "\n";
    }
}

} // namespace

int run_accounts(invocation& given)
{
    const auto limit = given.options["limit"].as<unsigned>();
    auto target = "/v1/accounts?limit=" + std::to_string(limit);
    if (!given.arguments.empty())
        target += "&account=" + percent_encode(given.arguments[0]);
    const auto answer = given.mesh.ask("GET", target);
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
    if (!given.arguments.empty() && body.at("accounts").as_array().empty())
    {
        fail(error(error_code::not_found, "no account " + given.arguments[0],
                   "`tiller accounts` lists accounts"));
        return exit_refused;
    }
    print(body);
    return exit_ok;
}

} // namespace tillerhall::cli
