#include "tillerhall/proxy/run_register.hpp"

namespace tillerhall
{

std::optional<work_class> run_register::maker_of(std::string_view id)
{
    for (auto cut = id.rfind('.'); cut != std::string_view::npos;
         cut = id.rfind('.'))
    {
        id = id.substr(0, cut);
        const auto found = m_runs.find(id);
        if (found == m_runs.end())
            continue;
        m_ids_tell = true;
        return found->second;
    }
    return std::nullopt;
}

} // namespace tillerhall
