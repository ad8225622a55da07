/** @file The member records a node holds, merged in any order. */
#pragma once

#include "tillerhall/core/time.hpp"
#include "tillerhall/membership/member.hpp"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace tillerhall
{

/** A record with what orders it; both hashes are of the address alone. */
struct keyed_member
{
    std::uint64_t key = 0;  ///< see `key_of`
    std::uint64_t ring = 0; ///< its place on the ring of heartbeats
    member_ptr record;
};

/** What merging a record did. */
enum class merge_result
{
    unchanged,
    changed,
    refute ///< someone calls this node suspect or dead; it has raised itself
};

/**
 * A map of records by control address. Merging is commutative, associative
 * and idempotent, so nodes that have seen the same records hold the same
 * list, in whatever order these came. Pure: no I/O, no clock.
 */
class member_list
{
public:
    /** Records are digested in this many buckets to find what differs. */
    static constexpr std::size_t bucket_count = 32;
    using bucket_digests = std::array<std::uint64_t, bucket_count>;

    explicit member_list(member self);

    const member& self() const noexcept;

    /** Changes this node's own record and raises its incarnation. */
    void update_self(member_state state, target_state target_is);

    /** Replaces this node's own record, whose address stays, and raises its
     * incarnation above that of @p changed if anything differs. */
    void replace_self(const member& changed);

    /** Takes @p offered if it is newer than what is known. */
    merge_result merge(const member& offered);

    /** Marks a node suspect or dead at its known incarnation. */
    merge_result accuse(const address& node, member_state as);

    /** Drops records of nodes that are dead since before @p before. */
    void forget_dead(time_point before);

    /**
     * Notes when records changed, for `forget_dead`.
     * @param oldest_news_ms wall clock; news of a record that was known is
     * added to a newer record unless it is older
     */
    void set_now(time_point now, std::uint64_t oldest_news_ms = 0) noexcept
    {
        m_now = now;
        m_oldest_news_ms = oldest_news_ms;
    }

    /** @return the record of @p node, valid until the next change, or null. */
    const member* find(const address& node) const noexcept;

    /** @return every record, this node's included, in order of address. */
    std::vector<member> all() const;

    /**
     * @return every record in order of key, without copying them. Built anew
     * after a change; valid until the next one.
     */
    const std::vector<keyed_member>& ordered() const;

    /** @return members neither suspect nor dead, this node included. */
    std::size_t live_count() const noexcept;

    /** @return services and places ever heard of; they are not forgotten. */
    const std::set<std::string>& services() const noexcept
    {
        return m_services;
    }
    const std::set<std::string>& places() const noexcept { return m_places; }

    /** Learns names without a record, as sent by a peer at joining. */
    void learn_names(const std::set<std::string>& services,
                     const std::set<std::string>& places);

    /** @return one number that is equal on nodes with equal lists. */
    std::uint64_t digest() const noexcept;

    const bucket_digests& buckets() const noexcept { return m_buckets; }

    /** @return the records in bucket @p index. */
    std::vector<member> bucket(std::size_t index) const;

    /** @return a number that grows with every change. */
    std::uint64_t change_count() const noexcept { return m_changes; }

private:
    struct entry
    {
        member_ptr record;
        std::uint64_t key = 0;
        std::uint64_t ring = 0;
        std::uint64_t hash = 0;
        time_point changed{};
    };

    merge_result merge_self(const member& offered);
    void store(const member& stored);
    static std::size_t bucket_of(const address& node);

    address m_self;
    std::map<address, entry> m_entries;
    bucket_digests m_buckets{};
    std::set<std::string> m_services;
    std::set<std::string> m_places;
    std::uint64_t m_oldest_news_ms = 0;
    time_point m_now{};
    std::uint64_t m_changes = 0;
    mutable std::vector<keyed_member> m_ordered;
    mutable std::uint64_t m_ordered_at = 0; ///< change count it was built at
};

} // namespace tillerhall
