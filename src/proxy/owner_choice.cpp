#include "tillerhall/proxy/owner_choice.hpp"
#include "tillerhall/core/worker.hpp"
#include "tillerhall/proxy/call_entry.hpp"

#include <algorithm>

namespace tillerhall
{
namespace
{

// On a link of 10 Mbit/s, the slowest at the users, this takes 13 ms: more
// than to ask costs (a round trip between domains, 3 ms, and the work).
constexpr std::size_t large_body = 16 * 1024;
// Of two the better one is rarely bad (Mitzenmacher, 2001); with a third one
// another domain is among them.
constexpr std::size_t most_asked = 3;
// An owner that does not answer in its time has at least this on its link.
constexpr std::uint64_t unanswered_bytes = 1024 * 1024;

} // namespace

owner_choice::owner_choice(const entry_settings& config,
                           target_board& targets,
                           const target_owner& local,
                           asker ask)
    : m_config(config)
    , m_targets(targets)
    , m_local(local)
    , m_ask(std::move(ask))
{
}

member_ptr owner_choice::choose(const std::vector<member_ptr>& candidates,
                                const std::vector<address>& avoid,
                                std::size_t bytes)
{
    const call_origin from{&m_config.place, &m_config.own, bytes};
    if (bytes < large_body)
        return m_targets.choose_among(candidates, avoid, from,
                                      steady_clock::now());
    const auto asked = ask_some(candidates, avoid, from);
    return m_targets.choose_among(asked, avoid, from, steady_clock::now());
}

std::vector<member_ptr>
owner_choice::ask_some(const std::vector<member_ptr>& candidates,
                       std::vector<address> avoid,
                       const call_origin& from)
{
    const auto is_near = [&](const member_ptr& each)
    { return each->place == m_config.place; };
    std::vector<member_ptr> far;
    std::ranges::remove_copy_if(candidates, std::back_inserter(far), is_near);
    std::vector<member_ptr> asked;
    const auto add_from = [&](const std::vector<member_ptr>& group)
    {
        auto next =
            m_targets.choose_among(group, avoid, from, steady_clock::now());
        if (next == nullptr)
            return;
        avoid.push_back(next->rpc);
        asked.push_back(std::move(next));
    };
    add_from(far);
    while (asked.size() < most_asked)
    {
        const auto before = asked.size();
        add_from(candidates);
        if (asked.size() == before)
            break;
    }
    if (asked.size() < 2)
        return asked;
    std::vector<worker::task> questions;
    for (const auto& each : asked)
        questions.emplace_back([this, each] { ask_one(each->rpc); });
    run_parallel(std::move(questions));
    return asked;
}

void owner_choice::ask_one(const address& owner)
{
    if (owner == m_config.own)
        return m_targets.told(owner, m_local.word(), steady_clock::now());
    const auto word = m_ask(owner);
    owner_word silent;
    silent.incoming_bytes = unanswered_bytes;
    m_targets.told(owner, word.value_or(silent), steady_clock::now());
}

} // namespace tillerhall
