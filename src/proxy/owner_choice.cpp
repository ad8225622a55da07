#include "tillerhall/proxy/owner_choice.hpp"
#include "tillerhall/core/await.hpp"
#include "tillerhall/core/worker.hpp"
#include "tillerhall/proxy/call_entry.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

namespace tillerhall
{
namespace
{

// On a slow link, 10 Mbit/s, this takes 13 ms: more
// than to ask costs (a round trip between domains, 3 ms, and the work).
constexpr std::size_t large_body = 16 * 1024;
// Of two the better one is rarely bad (Mitzenmacher, 2001). A third one is
// from another domain, for when the links of this one are full.
constexpr std::size_t most_asked = 3;
// If nobody answers by then, all links are full, or this node's own is. Behind
// the first answer the others have this long: who takes longer has about a body
// (60 KB at 10 Mbit/s) more before it on its link.
constexpr milliseconds first_answer(200);
constexpr milliseconds later_answers(50);
// Before a small call: a round trip between domains and the work on two hosts
// with a tenth of a core take some 5 ms. Never more than this part of the
// call's objective, of which calls by targets have 400 ms or less.
constexpr milliseconds first_load(20);
constexpr milliseconds later_loads(4);
constexpr int asking_part = 20;
// A host without power or cut off does not come back sooner than in seconds,
// and each question to it takes the whole time for asking.
constexpr milliseconds silent_for(1'000);

// A body that takes more of its objective on the way is mostly late, and what
// is behind it on that link is late for it. The calls that targets make have
// such objectives (200 of 1000 ms), and must not wait longer either.
constexpr int way_part = 5;
// A turn comes free each 70 ms at a link of 7 Mbit/s with bodies of 60 KB. So
// long it is waited for; who is sent away comes back as one more of many.
constexpr int turn_part = 8;

} // namespace

/** How long answers are waited for. */
struct owner_choice::patience
{
    duration first; ///< for the first of them
    duration later; ///< for the others, behind the first
};

/** One question to several owners; outlives the asking. */
struct owner_choice::inquiry
{
    inquiry(boost::asio::io_context& io, const patience& waits)
        : timer(io)
        , until(steady_clock::now() + waits.first)
        , later(waits.later)
    {
    }

    void answered_by(const member_ptr& owner)
    {
        answered.push_back(owner);
        until = std::min<time_point>(until, steady_clock::now() + later);
    }

    boost::asio::steady_timer timer;
    time_point until;
    duration later;
    std::size_t open = 0;
    std::vector<member_ptr> answered;
};

owner_choice::owner_choice(const entry_settings& config,
                           target_board& targets,
                           const target_owner& local,
                           worker& on,
                           asker ask,
                           claimer claim)
    : m_config(config)
    , m_targets(targets)
    , m_local(local)
    , m_worker(on)
    , m_ask(std::move(ask))
    , m_claim(std::move(claim))
    , m_random(entropy_seed())
{
}

chosen_owner owner_choice::choose(const std::vector<member_ptr>& candidates,
                                  const std::vector<address>& avoid,
                                  std::size_t bytes,
                                  const work_class& work)
{
    const call_origin from{&m_config.place, &m_config.own, bytes, work};
    const auto best = [&](const std::vector<member_ptr>& among)
    { return m_targets.choose_among(among, avoid, from, steady_clock::now()); };
    const auto answer = static_cast<std::size_t>(m_targets.answer_bytes(work));
    if (std::max(bytes, answer) < large_body)
        return {choose_small(candidates, avoid, from)};
    const auto asked = whom_to_ask(candidates, avoid, from);
    if (asked.size() < 2)
        return {best(asked)};
    const auto answered = ask(asked, {first_answer, later_answers});
    if (bytes < large_body)
        return {best(answered.empty() ? asked : answered)};
    if (answered.empty())
        return {nullptr, first_answer};
    const auto owner = best(answered);
    const auto way = m_targets.time_on_link(*owner, from, steady_clock::now());
    if (way > work.objective / way_part)
        return {nullptr, way};
    return claim_turn(answered, from);
}

chosen_owner owner_choice::claim_turn(const std::vector<member_ptr>& answered,
                                      const call_origin& from)
{
    const auto until = steady_clock::now() + from.work.objective / turn_part;
    while (true)
    {
        std::vector<address> full;
        duration soonest = from.work.objective;
        while (const auto owner = m_targets.choose_among(answered, full, from,
                                                         steady_clock::now()))
        {
            const auto wait = owner->rpc == m_config.own
                                  ? std::optional(duration::zero())
                                  : m_claim(*owner, from.bytes);
            if (wait && *wait == duration::zero())
                return {owner};
            soonest = std::min(soonest, wait.value_or(soonest));
            full.push_back(owner->rpc);
        }
        if (steady_clock::now() + soonest > until)
            return {nullptr, soonest};
        sleep_for(m_worker.io(), soonest);
    }
}

std::vector<owner_outlook>
owner_choice::outlooks_of(const std::vector<member_ptr>& candidates,
                          const std::vector<address>& avoid,
                          const call_origin& from) const
{
    const auto now = steady_clock::now();
    std::vector<owner_outlook> outlooks;
    for (const auto& each : candidates)
    {
        auto& seen = outlooks.emplace_back(m_targets.outlook(*each, from, now));
        const bool was_tried =
            std::ranges::find(avoid, each->rpc) != avoid.end();
        seen.is_left_out = was_tried || is_silent(each->rpc, now);
    }
    return outlooks;
}

std::vector<member_ptr>
owner_choice::ask_for_load(const std::vector<member_ptr>& candidates,
                           const std::vector<owner_outlook>& outlooks,
                           const member_ptr& favourite,
                           const call_origin& from)
{
    const auto position = static_cast<std::size_t>(
        std::ranges::find(candidates, favourite) - candidates.begin());
    std::vector<member_ptr> asked;
    for (const auto i : m_inquiry.whom_to_ask(outlooks, position,
                                              steady_clock::now(), m_random))
        asked.push_back(candidates[i]);
    if (asked.empty())
        return asked;
    const duration most = from.work.objective / asking_part;
    return ask(asked, {std::min<duration>(first_load, most),
                       std::min<duration>(later_loads, most)});
}

member_ptr owner_choice::choose_small(const std::vector<member_ptr>& candidates,
                                      const std::vector<address>& avoid,
                                      const call_origin& from)
{
    const auto best = [&](const std::vector<member_ptr>& among)
    { return m_targets.choose_among(among, avoid, from, steady_clock::now()); };
    const auto remembered = best(candidates);
    if (candidates.size() <= load_inquiry::small_service)
        return remembered;
    const auto outlooks = outlooks_of(candidates, avoid, from);
    std::vector<member_ptr> answered;
    // Where a first try found no room a second one that asks adds to the load.
    if (avoid.empty())
        answered = ask_for_load(candidates, outlooks, remembered, from);
    // A full owner that is fast looks better by its time than a slow free one.
    auto roomy = answered;
    std::erase_if(roomy, [&](const member_ptr& each)
                  { return !m_targets.has_room(each->rpc); });
    for (std::size_t i = 0; i < candidates.size(); ++i)
        if (outlooks[i].is_known && outlooks[i].has_room)
            roomy.push_back(candidates[i]);
    for (const auto& among : {roomy, answered})
        if (const auto chosen = best(among))
            return chosen;
    return remembered;
}

bool owner_choice::is_silent(const address& owner, time_point now) const
{
    const auto found = m_silent.find(owner);
    return found != m_silent.end() && now < found->second;
}

void owner_choice::was_silent(const address& owner, time_point now)
{
    std::erase_if(m_silent,
                  [&](const auto& each) { return each.second <= now; });
    m_silent[owner] = now + silent_for;
}

std::vector<member_ptr>
owner_choice::whom_to_ask(const std::vector<member_ptr>& candidates,
                          std::vector<address> avoid,
                          const call_origin& from)
{
    std::vector<member_ptr> asked;
    const auto add = [&](const member_ptr& owner)
    {
        avoid.push_back(owner->rpc);
        asked.push_back(owner);
    };
    std::vector<member_ptr> far;
    std::ranges::copy_if(candidates, std::back_inserter(far),
                         [&](const member_ptr& each)
                         {
                             return each->place != m_config.place &&
                                    std::ranges::find(avoid, each->rpc) ==
                                        avoid.end();
                         });
    // Any of them: by the policy all nodes would ask the same one.
    if (!far.empty())
        add(far[m_random.below(far.size())]);
    while (asked.size() < most_asked)
    {
        const auto next = m_targets.choose_among(candidates, avoid, from,
                                                 steady_clock::now());
        if (next == nullptr)
            break;
        add(next);
    }
    return asked;
}

std::vector<member_ptr> owner_choice::ask(const std::vector<member_ptr>& owners,
                                          const patience& waits)
{
    const auto all = std::make_shared<inquiry>(m_worker.io(), waits);
    all->open = owners.size();
    for (const auto& each : owners)
        m_worker.spawn([this, all, each] { ask_one(each, *all); });
    while (all->open > 0 && steady_clock::now() < all->until)
    {
        all->timer.expires_at(all->until);
        boost::system::error_code ignored;
        all->timer.async_wait(await{ignored});
    }
    return all->answered;
}

void owner_choice::ask_one(const member_ptr& owner, inquiry& all)
{
    const auto begin = steady_clock::now();
    const auto word = owner->rpc == m_config.own ? std::optional(m_local.word())
                                                 : m_ask(*owner);
    const auto now = steady_clock::now();
    --all.open;
    if (word)
    {
        m_targets.told(owner->rpc, *word, now - begin, now);
        all.answered_by(owner);
        m_inquiry.answered(word->load.value_or(0) >= 1);
    }
    else
        was_silent(owner->rpc, now);
    all.timer.cancel();
}

} // namespace tillerhall
