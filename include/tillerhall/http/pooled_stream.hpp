/** @file A connection that carries each request at most once. */
#pragma once

#include "tillerhall/http/stream.hpp"

#include <cstdint>
#include <memory>
#include <string_view>
#include <vector>

namespace tillerhall
{

/**
 * A connection of a `stream_pool`, with the ids of the requests that it has
 * carried. A peer may send a late copy of a response in the place of the next
 * one. Responses are matched by request id, which cannot tell two sends of one
 * request apart, so a connection must not carry the same id twice.
 */
class pooled_stream
{
public:
    /** Requests with an id that one connection carries. */
    static constexpr std::size_t max_requests = 256;

    /** @param number tells the connections of a pool apart in logs */
    explicit pooled_stream(std::unique_ptr<tcp_stream> stream,
                           std::uint64_t number = 0);

    tcp_stream& operator*() const noexcept { return *m_stream; }
    tcp_stream* operator->() const noexcept { return m_stream.get(); }

    /** @return whether a request with this id, or without one, may be sent.
     * Never wrong if true; ids are compared by their hashes. */
    bool may_carry(std::string_view request_id) const;

    /** Records that a request with this id will be sent. */
    void add_carried(std::string_view request_id);

    std::uint64_t number() const noexcept { return m_number; }

    /** @return the number of requests with an id that it has carried. */
    std::size_t carried() const noexcept { return m_carried.size(); }

    /** @return whether it has carried as many requests as it may. */
    bool is_used_up() const noexcept
    {
        return m_carried.size() >= max_requests;
    }

private:
    std::unique_ptr<tcp_stream> m_stream;
    std::uint64_t m_number;
    std::vector<std::uint32_t> m_carried; ///< hashes of ids
};

} // namespace tillerhall
