#include "tillerhall/node/crash_registry.hpp"
#include "tillerhall/http/inbound_call.hpp"
#include "tillerhall/proxy/call_fingerprint.hpp"

#include <algorithm>
#include <boost/beast/http.hpp>
#include <set>

namespace tillerhall
{
namespace
{

namespace http = boost::beast::http;

// All runs that a crash interrupts notice it within this time; a process takes
// longer to restart.
constexpr milliseconds min_time_between_crashes(300);

} // namespace

whole_request fingerprinted_part(const inbound_call& call)
{
    const auto& head = call.head();
    whole_request request;
    request.method_string(head.method_string());
    request.target(head.target());
    request.set(http::field::host, head[http::field::host]);
    request.body() = call.prefix();
    return request;
}

std::optional<call_quarantine> active_quarantine(const poison_calls& known,
                                                 const inbound_call& call)
{
    if (known.empty())
        return std::nullopt;
    const auto quarantine = quarantine_of(known, fingerprinted_part(call));
    return quarantine && !quarantine->may_be_probed(false) ? quarantine
                                                           : std::nullopt;
}

crash_registry::run::run(crash_registry& in, const inbound_call& call)
    : m_in(in)
    , m_call(call)
{
    const std::lock_guard lock(m_in.m_mutex);
    m_in.m_runs.push_back(*this);
}

crash_registry::run::~run()
{
    const std::lock_guard lock(m_in.m_mutex);
    m_in.m_runs.erase(m_in.m_runs.iterator_to(*this));
}

std::optional<target_crash> crash_registry::crash_of(const std::string& target)
{
    const std::lock_guard lock(m_mutex);
    const auto now = steady_clock::now();
    if (now < m_crashed_at + min_time_between_crashes)
        return std::nullopt; // already reported by another run
    m_crashed_at = now;
    std::set<std::string> calls;
    for (const auto& each : m_runs)
    {
        const auto request = fingerprinted_part(each.call());
        if (!m_ran_well.contain(request) &&
            calls.size() < target_crash::max_calls)
            calls.insert(fingerprint_of(request).text());
        m_ran_well.forget(request);
    }
    return target_crash{target, wall_clock_ms(), {calls.begin(), calls.end()}};
}

void crash_registry::target_crashed(const std::string& target)
{
    const auto crash = crash_of(target);
    if (crash && m_callbacks.crashed)
        m_callbacks.crashed(*crash);
}

void crash_registry::ran_well(const inbound_call& call,
                              const poison_calls& known)
{
    const auto request = fingerprinted_part(call);
    {
        const std::lock_guard lock(m_mutex);
        const bool again = m_ran_well.contain(request);
        m_ran_well.ran(request);
        if (!again || known.empty())
            return;
    }
    const auto name = fingerprint_of(request).text();
    if (known.find(name) != nullptr && m_callbacks.ran_well)
        m_callbacks.ran_well({name, wall_clock_ms()});
}

} // namespace tillerhall
