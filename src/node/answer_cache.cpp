#include "tillerhall/node/answer_cache.hpp"

namespace tillerhall
{

void answer_cache::put(const std::string& key, const stored_answer& answer)
{
    if (const auto known = m_answers.find(key); known != m_answers.end())
        remove(known);
    m_order.push_back(key);
    m_answers.emplace(key, entry{answer, std::prev(m_order.end())});
    m_bytes += answer.body.size();
    while (m_bytes > m_max_bytes)
        remove(m_answers.find(m_order.front()));
}

const stored_answer* answer_cache::find(const std::string& key) const
{
    const auto found = m_answers.find(key);
    return found == m_answers.end() ? nullptr : &found->second.answer;
}

void answer_cache::remove(entries::iterator removed)
{
    m_bytes -= removed->second.answer.body.size();
    m_order.erase(removed->second.position);
    m_answers.erase(removed);
}

} // namespace tillerhall
