#include "tillerhall/routing/client_accounts.hpp"

#include <algorithm>
#include <cctype>
#include <cstring>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <ranges>
#include <set>
#include <stdexcept>

namespace tillerhall
{
namespace
{

constexpr std::size_t secret_bytes = 32;
using secret = std::array<std::uint8_t, secret_bytes>;

secret make_secret()
{
    secret made{};
    if (RAND_bytes(made.data(), static_cast<int>(made.size())) != 1)
        throw std::runtime_error("cannot create a secret for client keys: "
                                 "no random bytes available");
    return made;
}

const secret& process_secret()
{
    static const secret made = make_secret();
    return made;
}

error refusal(const client_account& account, const std::string& fault)
{
    return error(error_code::invalid_argument,
                 "account \"" + account.name + "\" " + fault,
                 "correct the account; the previous version remains in force");
}

std::string fault_of(const client_account& account)
{
    if (account.name.empty())
        return "has no name";
    // The name is sent to targets in a header field.
    if (std::ranges::any_of(account.name, [](unsigned char each)
                            { return std::iscntrl(each) != 0; }))
        return "has a control character in its name";
    if (account.quota.per_s < 0 || account.quota.burst < 0)
        return "has a negative quota";
    return {};
}

} // namespace

std::size_t
client_accounts::digest_hash::operator()(const digest& of) const noexcept
{
    std::size_t hash = 0; // a digest is a uniform hash
    std::memcpy(&hash, of.data(), sizeof(hash));
    return hash;
}

client_accounts::digest client_accounts::digest_of_key(std::string_view key)
{
    digest made{};
    unsigned size = 0;
    HMAC(EVP_sha256(), process_secret().data(),
         static_cast<int>(process_secret().size()),
         reinterpret_cast<const unsigned char*>(key.data()), key.size(),
         made.data(), &size);
    return made;
}

result<client_accounts_ptr>
client_accounts::build(std::vector<account_entry> entries)
{
    boost::intrusive_ptr<client_accounts> made(new client_accounts);
    std::set<std::string> names;
    for (auto& each : entries)
    {
        if (const auto fault = fault_of(each.account); !fault.empty())
            return refusal(each.account, fault);
        if (!names.insert(each.account.name).second)
            return refusal(each.account, "stands twice");
        const auto place = made->m_accounts.size();
        for (const auto& key : each.keys)
        {
            if (key.empty())
                return refusal(each.account, "has an empty key");
            const auto [holder, is_new] =
                made->m_holders.emplace(digest_of_key(key), place);
            if (!is_new && holder->second != place)
                return refusal(each.account, "has a key of another account");
        }
        made->m_accounts.push_back(std::move(each.account));
    }
    made->set_weights();
    return client_accounts_ptr(std::move(made));
}

void client_accounts::set_weights()
{
    const auto limited = [](const client_account& each)
    { return each.quota.is_limited(); };
    double sum = 0;
    double count = 0;
    for (const auto& each : m_accounts | std::views::filter(limited))
    {
        sum += each.quota.per_s;
        ++count;
    }
    for (auto& each : m_accounts | std::views::filter(limited))
        each.weight = each.quota.per_s * count / sum;
}

const client_account* client_accounts::holder_of(std::string_view key) const
{
    const auto found = m_holders.find(digest_of_key(key));
    return found == m_holders.end() ? nullptr : &m_accounts[found->second];
}

} // namespace tillerhall
