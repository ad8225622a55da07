/** @file The member records known to a node. */
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

/** A record with its sort keys. */
struct keyed_member
{
    std::uint64_t key = 0;  ///< see `key_of`
    std::uint64_t ring = 0; ///< ring position: hash of the address
    member_ptr record;
};

/** Effect of merging a record. */
enum class merge_result
{
    unchanged,
    changed,
    refute ///< another node marked this one suspect or dead; this node has
           ///< raised its incarnation
};

/**
 * A map of records by control address. Merging is commutative, associative
 * and idempotent: nodes that have merged the same records hold equal lists.
 * Performs no I/O and reads no clock.
 */
class member_list
{
public:
    /** Number of digest buckets by which two lists are compared. */
    static constexpr std::size_t bucket_count = 32;
    using bucket_digests = std::array<std::uint64_t, bucket_count>;

    explicit member_list(member self);

    const member& self() const noexcept;

    /** Updates this node's own record and raises its incarnation. */
    void update_self(member_state state, target_state target_is);

    /** Replaces this node's own record, except its address. If anything
     * differs, the incarnation becomes greater than that of both records. */
    void replace_self(const member& changed);

    /** Stores @p offered if it is newer than the known record. */
    merge_result merge(const member& offered);

    /** Marks a node suspect or dead at its known incarnation. */
    merge_result accuse(const address& node, member_state as);

    /** Removes records that have been dead since before @p before. */
    void forget_dead(time_point before);

    /**
     * Sets the time at which subsequent changes count as made.
     * @param oldest_evidence_ms Unix time; when a newer record replaces a known
     * one, crashes and good runs of both from before this time are dropped
     */
    void set_now(time_point now, std::uint64_t oldest_evidence_ms = 0) noexcept
    {
        m_now = now;
        m_oldest_evidence_ms = oldest_evidence_ms;
    }

    /** @return the record of @p node or null; valid until the next change. */
    const member* find(const address& node) const noexcept;

    /** @return all records, this node's included, ordered by address. */
    std::vector<member> all() const;

    /**
     * @return all records ordered by key, without copying them. Rebuilt after a
     * change; valid until the next one.
     */
    const std::vector<keyed_member>& ordered() const;

    /** @return the number of alive or leaving members, this node included. */
    std::size_t live_count() const noexcept;

    /** @return all services and places ever seen; they are never removed. */
    const std::set<std::string>& services() const noexcept
    {
        return m_services;
    }
    const std::set<std::string>& places() const noexcept { return m_places; }

    /** Adds names received without a record, as in the answer to a join. */
    void learn_names(const std::set<std::string>& services,
                     const std::set<std::string>& places);

    /** @return a digest of all records that are not dead. */
    std::uint64_t digest() const noexcept;

    const bucket_digests& buckets() const noexcept { return m_buckets; }

    std::vector<member> bucket(std::size_t index) const;

    /** @return a counter that grows with every change. */
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
    std::uint64_t m_oldest_evidence_ms = 0;
    time_point m_now{};
    std::uint64_t m_changes = 0;
    mutable std::vector<keyed_member> m_ordered;
    mutable std::uint64_t m_ordered_at = 0; ///< change count at the last build
};

} // namespace tillerhall
