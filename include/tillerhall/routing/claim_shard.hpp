/** @file Idempotency-key claims of one shard. */
#pragma once

#include "tillerhall/core/result.hpp"
#include "tillerhall/store/table_service.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tillerhall
{

/** State of a claimed call. */
enum class claim_state
{
    running, ///< claimed; the call may be running
    done,    ///< it ran and was answered
    unknown, ///< the call may have run
    released ///< the call did not run; the key is free
};

std::string_view name_of(claim_state state) noexcept;

/** One claim on an idempotency key. */
struct claim
{
    std::string key;         ///< digest over caller, service, method, path, key
    std::string body;        ///< digest of the body
    std::uint64_t nonce = 0; ///< identifies the writer of the claim
    claim_state state = claim_state::running;
};

/**
 * The claims of the last minutes in a ring of items, one item a minute. A write
 * of any claim is conditional on the revisions of all items of the ring, so two
 * writers never both take a key to be free. Items of expired minutes are
 * overwritten, so the number of items is fixed. Does no I/O.
 */
class claim_shard
{
public:
    /** Items of the ring. A claim is kept for two minutes less than that. */
    static constexpr std::int64_t ring_size = 16;
    static constexpr std::int64_t kept_minutes = ring_size - 2;

    explicit claim_shard(std::size_t number)
        : m_number(number)
    {
    }

    /** @return the prefix of this shard's item keys. */
    std::string prefix() const;

    /** Replaces all claims by @p items as read from the store. */
    result<void> load(const std::vector<table_item>& items);

    /**
     * @return the live claim on @p key, or null; a released claim does not
     * count.
     */
    const claim* find(const std::string& key, std::int64_t minute) const;

    /**
     * Adds or changes a claim in the item of @p minute. It is not stored yet.
     */
    void put(const claim& added, std::int64_t minute);

    /** Adds this shard's conditions and its changed items to @p transaction. */
    void add_to(table_transaction& transaction) const;

    /** Marks the changed items as stored with @p revision. */
    void stored(std::uint64_t revision);

    bool is_changed() const noexcept;

private:
    struct ring_item
    {
        std::int64_t minute = -1;
        std::uint64_t revision = 0;
        bool changed = false;
        std::map<std::string, claim> claims;
    };

    ring_item& item_for(std::int64_t minute);
    bool is_live(const ring_item& item, std::int64_t minute) const;
    std::string item_key(std::size_t index) const;

    std::size_t m_number;
    std::array<ring_item, ring_size> m_ring;
};

} // namespace tillerhall
