#include "tillerhall/proxy/run_register.hpp"

namespace tillerhall
{

run_register::run_map::iterator run_register::find_maker(std::string_view id)
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

std::optional<work_class> run_register::maker_of(std::string_view id)
{
    const auto found = find_maker(id);
    if (found == m_runs.end())
        return std::nullopt;
    m_ids_tell = true;
    return found->second.work;
}

void run_register::call_failed(std::string_view id)
{
    if (const auto found = find_maker(id); found != m_runs.end())
        found->second.lost_a_call = true;
}

std::vector<const whole_request*> run_register::under_way() const
{
    std::vector<const whole_request*> requests;
    requests.reserve(m_runs.size());
    for (const auto& [id, each] : m_runs)
        requests.push_back(each.request);
    return requests;
}

} // namespace tillerhall
