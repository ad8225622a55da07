#include "tillerhall/http/pooled_stream.hpp"

#include <algorithm>
#include <functional>

namespace tillerhall
{
namespace
{

std::uint32_t hash_of(std::string_view request_id)
{
    return static_cast<std::uint32_t>(
        std::hash<std::string_view>{}(request_id));
}

} // namespace

pooled_stream::pooled_stream(std::unique_ptr<tcp_stream> stream,
                             std::uint64_t number)
    : m_stream(std::move(stream))
    , m_number(number)
{
}

bool pooled_stream::may_carry(std::string_view request_id) const
{
    return request_id.empty() ||
           std::ranges::find(m_carried, hash_of(request_id)) == m_carried.end();
}

void pooled_stream::add_carried(std::string_view request_id)
{
    if (request_id.empty())
        return;
    // Growing it step by step would fragment the heap.
    m_carried.reserve(max_requests);
    m_carried.push_back(hash_of(request_id));
}

} // namespace tillerhall
