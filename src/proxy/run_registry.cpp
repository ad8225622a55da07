#include "tillerhall/proxy/run_registry.hpp"

namespace tillerhall
{

run_registry::run_map::iterator run_registry::find_parent(std::string_view id)
{
    for (auto cut = id.rfind('.'); cut != std::string_view::npos;
         cut = id.rfind('.'))
    {
        id = id.substr(0, cut);
        const auto found = m_runs.find(id);
        if (found != m_runs.end())
            return found;
    }
    return m_runs.end();
}

std::optional<work_class> run_registry::parent_of(std::string_view id)
{
    const auto found = find_parent(id);
    if (found == m_runs.end())
        return std::nullopt;
    m_ids_name_parents = true;
    return found->second.work;
}

std::optional<run_terms> run_registry::parent_terms(std::string_view id)
{
    const auto found = find_parent(id);
    return found == m_runs.end() ? std::nullopt : found->second.terms;
}

bool run_registry::call_made(std::string_view id, const std::string& service)
{
    const auto found = find_parent(id);
    if (found == m_runs.end())
        return false;
    found->second.calls[service] += 1;
    return true;
}

void run_registry::call_failed(std::string_view id)
{
    if (const auto found = find_parent(id); found != m_runs.end())
        found->second.nested_call_failed = true;
}

std::vector<const whole_request*> run_registry::active_requests() const
{
    std::vector<const whole_request*> requests;
    requests.reserve(m_runs.size());
    for (const auto& [id, each] : m_runs)
        requests.push_back(each.request);
    return requests;
}

} // namespace tillerhall
