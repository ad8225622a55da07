/** @file The client accounts of one configuration version and their keys. */
#pragma once

#include "tillerhall/core/result.hpp"

#include <array>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace tillerhall
{

/** Limits on the calls of an account over all nodes. */
struct account_quota
{
    double per_s = 0; ///< calls a second; 0: no limit
    double burst = 0; ///< calls allowed at once beyond that rate

    bool is_limited() const noexcept { return per_s > 0; }
    bool operator==(const account_quota&) const = default;
};

/** An account. Its keys are stored in `client_accounts` only. */
struct client_account
{
    std::string name;
    std::uint32_t rank = 0; ///< urgency; compared before the route's rank
    account_quota quota;
    /** Share in queues: the quota's rate relative to the mean of the accounts
     * with a quota; 1 without one. Set by `client_accounts`. */
    double weight = 1;
};

/** An account and its keys, as read from a configuration version. */
struct account_entry
{
    client_account account;
    std::vector<std::string> keys;
};

/**
 * Immutable. Keys are stored as keyed digests under a random secret of this
 * process, so that neither its memory nor the time of a lookup reveals them.
 */
class client_accounts : public boost::intrusive_ref_counter<client_accounts>
{
public:
    /** @return the accounts, or why the version is refused: an account without
     * a name, two of one name, an empty key, a key of two accounts, or a
     * negative rate. */
    static result<boost::intrusive_ptr<const client_accounts>>
    build(std::vector<account_entry> entries);

    /** @return the account that holds @p key, or null. */
    const client_account* holder_of(std::string_view key) const;

    const std::vector<client_account>& all() const noexcept
    {
        return m_accounts;
    }

private:
    using digest = std::array<std::uint8_t, 32>;
    struct digest_hash
    {
        std::size_t operator()(const digest& of) const noexcept;
    };

    static digest digest_of_key(std::string_view key);
    void set_weights();

    std::vector<client_account> m_accounts;
    std::unordered_map<digest, std::size_t, digest_hash> m_holders;
};

using client_accounts_ptr = boost::intrusive_ptr<const client_accounts>;

} // namespace tillerhall
