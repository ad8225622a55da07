#include "tillerhall/proxy/owner_choice.hpp"
#include "tillerhall/core/await.hpp"
#include "tillerhall/core/worker.hpp"
#include "tillerhall/proxy/call_entry.hpp"
#include "tillerhall/proxy/entry_capacity.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

namespace tillerhall
{
namespace
{

// Bytes. Larger bodies take longer on a link of 10 Mbit/s, 13 ms, than the
// query of an owner does: a round trip between domains of 3 ms, and the work.
constexpr std::size_t large_body_bytes = 16 * 1024;
// The better of two random choices is rarely bad (Mitzenmacher, 2001). The
// third one is from another failure domain, in case the near links are full.
constexpr std::size_t max_queried = 3;
// Waits for answers before a large body. If no owner answers within the first
// one, all links are full or this node's own is. An owner that answers later
// than the second one behind the first answer has about one body more in its
// backlog, 60 KB at 10 Mbit/s.
constexpr milliseconds large_first_wait(200);
constexpr milliseconds large_later_wait(50);
// Waits for answers before a small call: a round trip between failure domains
// and the work on two hosts with a tenth of a core take some 5 ms. Limited to a
// fraction of the call's objective, which is 400 ms or less for nested calls.
constexpr milliseconds small_first_wait(20);
constexpr milliseconds small_later_wait(4);
constexpr int query_wait_divisor = 20;
// Retry-After of a call whose domain is full, where runs are shorter than this.
constexpr milliseconds min_retry_after(50);
// Each query to an unreachable host takes the full wait, and such a host
// rarely returns within this time.
constexpr milliseconds unresponsive_pause(1'000);

// How long a body waits for a transfer slot, as a fraction of the objective. A
// slot becomes free within that, each 70 ms at a link of 7 Mbit/s with bodies
// of 60 KB; a refused client would retry.
constexpr int slot_wait_divisor = 8;

} // namespace

/** Maximum waits for the answers to load queries. */
struct owner_choice::wait_limits
{
    duration first; ///< for the first answer
    duration later; ///< for the others after the first
};

/** Load queries to several owners; outlives all of them. */
struct owner_choice::pending_queries
{
    pending_queries(boost::asio::io_context& io, const wait_limits& waits)
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
    std::size_t pending = 0;
    std::vector<member_ptr> answered;
};

owner_choice::owner_choice(const entry_settings& config,
                           target_board& targets,
                           const target_owner& local,
                           worker& on,
                           load_query_fn query_load,
                           slot_claim_fn claim_slot)
    : m_config(config)
    , m_targets(targets)
    , m_local(local)
    , m_worker(on)
    , m_query_load(std::move(query_load))
    , m_claim_slot(std::move(claim_slot))
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
    if (!is_large(bytes, work))
        return {choose_small(candidates, avoid, from)};
    const auto queried = choose_owners_to_query(candidates, avoid, from);
    if (queried.size() < 2)
        return {best(queried)};
    const auto answered =
        query_loads(queried, {large_first_wait, large_later_wait});
    if (bytes < large_body_bytes)
        return {best(answered.empty() ? queried : answered)};
    if (answered.empty())
        return {nullptr, large_first_wait};
    const auto owner = best(answered);
    const auto on_link =
        m_targets.time_on_link(*owner, from, steady_clock::now());
    if (const auto wait = on_link.excess_wait(work.objective);
        wait > duration::zero())
        return {nullptr, wait};
    return claim_transfer_slot(answered, from);
}

chosen_owner
owner_choice::claim_transfer_slot(const std::vector<member_ptr>& answered,
                                  const call_origin& from)
{
    const auto until =
        steady_clock::now() + from.work.objective / slot_wait_divisor;
    while (true)
    {
        std::vector<address> full;
        duration soonest = from.work.objective;
        while (const auto owner = m_targets.choose_among(answered, full, from,
                                                         steady_clock::now()))
        {
            const auto wait = owner->rpc == m_config.own
                                  ? std::optional(duration::zero())
                                  : m_claim_slot(*owner, from.bytes);
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

std::vector<owner_estimate>
owner_choice::estimates_of(const std::vector<member_ptr>& candidates,
                           const std::vector<address>& avoid,
                           const call_origin& from) const
{
    const auto now = steady_clock::now();
    std::vector<owner_estimate> estimates;
    for (const auto& each : candidates)
    {
        auto& seen =
            estimates.emplace_back(m_targets.estimate(*each, from, now));
        const bool was_tried =
            std::ranges::find(avoid, each->rpc) != avoid.end();
        seen.is_excluded = was_tried || is_unresponsive(each->rpc, now);
    }
    return estimates;
}

std::vector<member_ptr>
owner_choice::query_for_room(const std::vector<member_ptr>& candidates,
                             const std::vector<owner_estimate>& estimates,
                             const member_ptr& preferred,
                             const call_origin& from)
{
    const auto position = static_cast<std::size_t>(
        std::ranges::find(candidates, preferred) - candidates.begin());
    std::vector<member_ptr> queried;
    for (const auto i : m_load_inquiry.owners_to_ask(
             estimates, position, steady_clock::now(), m_random))
        queried.push_back(candidates[i]);
    if (queried.empty())
        return queried;
    const duration max_wait = from.work.objective / query_wait_divisor;
    return query_loads(queried,
                       {std::min<duration>(small_first_wait, max_wait),
                        std::min<duration>(small_later_wait, max_wait)});
}

member_ptr owner_choice::choose_small(const std::vector<member_ptr>& candidates,
                                      const std::vector<address>& avoid,
                                      const call_origin& from)
{
    if (candidates.size() <= load_inquiry::small_service)
        return m_targets.choose_among(candidates, avoid, from,
                                      steady_clock::now());
    // A retry after a full owner must not add to the load by queries.
    return choose_known(candidates, avoid, from, avoid.empty());
}

member_ptr owner_choice::choose_known(const std::vector<member_ptr>& candidates,
                                      const std::vector<address>& avoid,
                                      const call_origin& from,
                                      bool may_query)
{
    const auto best = [&](const std::vector<member_ptr>& among)
    { return m_targets.choose_among(among, avoid, from, steady_clock::now()); };
    const auto best_known = best(candidates);
    const auto estimates = estimates_of(candidates, avoid, from);
    std::vector<member_ptr> answered;
    if (may_query)
        answered = query_for_room(candidates, estimates, best_known, from);
    // By time alone a full fast owner would be preferred to a slow free one.
    auto with_room = answered;
    std::erase_if(with_room, [&](const member_ptr& each)
                  { return !m_targets.has_room(each->rpc); });
    for (std::size_t i = 0; i < candidates.size(); ++i)
        if (estimates[i].is_known && estimates[i].has_room)
            with_room.push_back(candidates[i]);
    for (const auto& among : {with_room, answered})
        if (const auto chosen = best(among))
            return chosen;
    return best_known;
}

/** A small call whose owner is chosen by the plan. */
struct owner_choice::planned_call
{
    /** @return the owners of @p place. */
    std::vector<member_ptr> owners_in(const member_place& place) const
    {
        std::vector<member_ptr> there;
        std::ranges::copy_if(candidates, std::back_inserter(there),
                             [&](const member_ptr& each)
                             { return each->place == place; });
        return there;
    }

    const std::string& service;
    const std::vector<member_ptr>& candidates;
    std::vector<address> avoid; ///< tried, or known to refuse
    const std::vector<address>& tried;
    call_origin from;
};

bool owner_choice::is_large(std::size_t bytes, const work_class& work)
{
    const auto answer = static_cast<std::size_t>(m_targets.answer_bytes(work));
    return std::max(bytes, answer) >= large_body_bytes;
}

bool owner_choice::has_plan(const std::string& service,
                            const std::vector<member_ptr>& candidates) const
{
    return m_capacity != nullptr && is_balanced(candidates) &&
           m_capacity->plan.has_plan(service, steady_clock::now());
}

double owner_choice::able_part(const std::vector<member_ptr>& owners)
{
    if (owners.empty())
        return 0;
    const auto now = steady_clock::now();
    const auto failing =
        std::ranges::count_if(owners, [&](const member_ptr& each)
                              { return m_targets.is_failing(each->rpc, now); });
    return 1 -
           static_cast<double>(failing) / static_cast<double>(owners.size());
}

chosen_owner
owner_choice::choose_by_plan(const std::string& service,
                             const std::vector<member_ptr>& candidates,
                             const std::vector<address>& avoid,
                             const std::vector<address>& tried,
                             std::size_t bytes,
                             const work_class& work)
{
    planned_call call{service,
                      candidates,
                      avoid,
                      tried,
                      {&m_config.place, &m_config.own, bytes, work}};
    call.avoid.insert(call.avoid.end(), tried.begin(), tried.end());
    if (is_large(bytes, work) || !has_plan(service, candidates))
        return choose(candidates, call.avoid, bytes, work);
    auto chosen = choose_first(call);
    if (!chosen)
        chosen = choose_further(call);
    if (chosen)
        return {std::move(chosen)};
    // About the time until a slot is free.
    const auto run = m_capacity->demand.expected_run(service, work);
    return {.domain_full_for = std::max<duration>(run, min_retry_after)};
}

member_ptr owner_choice::choose_first(const planned_call& call)
{
    const auto own = call.owners_in(m_config.place);
    const double able = able_part(own);
    // A call that owners refused does not try all domains, unless its own one
    // fails.
    if (!call.tried.empty() && able >= crossing_plan::min_able)
        return nullptr;
    auto& plan = m_capacity->plan;
    const auto& place = plan.first_domain(call.service, able);
    if (place != m_config.place)
        if (auto chosen = choose_known(call.owners_in(place), call.avoid,
                                       call.from, false))
            return chosen;
    return call.tried.empty()
               ? choose_known(own, call.avoid, call.from, call.avoid.empty())
               : nullptr;
}

member_ptr owner_choice::choose_further(const planned_call& call)
{
    auto& plan = m_capacity->plan;
    const auto now = steady_clock::now();
    const auto with_room = [&](const member_place& place, bool is_full)
    {
        auto owners = call.owners_in(place);
        std::erase_if(owners,
                      [&](const member_ptr& each)
                      {
                          const auto seen =
                              m_targets.estimate(*each, call.from, now);
                          return seen.is_known ? !seen.has_room : is_full;
                      });
        return m_targets.choose_among(owners, call.avoid, call.from, now);
    };
    if (auto chosen = with_room(m_config.place, plan.is_own_full(call.service)))
        return chosen;
    // A call that has crossed has its part of the other domain's spare.
    const auto crossed = std::ranges::find_if(
        call.candidates,
        [&](const member_ptr& each)
        {
            return each->place != m_config.place &&
                   std::ranges::find(call.tried, each->rpc) != call.tried.end();
        });
    if (crossed != call.candidates.end())
        return with_room((*crossed)->place, false);
    const auto* granted = plan.grant(call.service, now);
    return granted == nullptr ? nullptr
                              : choose_known(call.owners_in(*granted),
                                             call.avoid, call.from, false);
}

bool owner_choice::is_unresponsive(const address& owner, time_point now) const
{
    const auto found = m_unresponsive_until.find(owner);
    return found != m_unresponsive_until.end() && now < found->second;
}

void owner_choice::mark_unresponsive(const address& owner, time_point now)
{
    std::erase_if(m_unresponsive_until,
                  [&](const auto& each) { return each.second <= now; });
    m_unresponsive_until[owner] = now + unresponsive_pause;
}

std::vector<member_ptr>
owner_choice::choose_owners_to_query(const std::vector<member_ptr>& candidates,
                                     std::vector<address> avoid,
                                     const call_origin& from)
{
    std::vector<member_ptr> queried;
    const auto add = [&](const member_ptr& owner)
    {
        avoid.push_back(owner->rpc);
        queried.push_back(owner);
    };
    std::vector<member_ptr> remote;
    std::ranges::copy_if(candidates, std::back_inserter(remote),
                         [&](const member_ptr& each)
                         {
                             return each->place != m_config.place &&
                                    std::ranges::find(avoid, each->rpc) ==
                                        avoid.end();
                         });
    // Chosen at random: by the policy all nodes would query the same owner.
    if (!remote.empty())
        add(remote[m_random.below(remote.size())]);
    while (queried.size() < max_queried)
    {
        const auto next = m_targets.choose_among(candidates, avoid, from,
                                                 steady_clock::now());
        if (next == nullptr)
            break;
        add(next);
    }
    return queried;
}

std::vector<member_ptr>
owner_choice::query_loads(const std::vector<member_ptr>& owners,
                          const wait_limits& waits)
{
    const auto queries =
        std::make_shared<pending_queries>(m_worker.io(), waits);
    queries->pending = owners.size();
    for (const auto& each : owners)
        m_worker.spawn([this, queries, each] { query_one(each, *queries); });
    while (queries->pending > 0 && steady_clock::now() < queries->until)
    {
        queries->timer.expires_at(queries->until);
        boost::system::error_code ignored;
        queries->timer.async_wait(await{ignored});
    }
    return queries->answered;
}

void owner_choice::query_one(const member_ptr& owner, pending_queries& queries)
{
    const auto begin = steady_clock::now();
    const auto report = owner->rpc == m_config.own
                            ? std::optional(m_local.current_load())
                            : m_query_load(*owner);
    const auto now = steady_clock::now();
    --queries.pending;
    if (report)
    {
        m_targets.record_report(owner->rpc, *report, now - begin, now);
        queries.answered_by(owner);
        m_load_inquiry.answered(report->load.value_or(0) >= 1);
    }
    else
        mark_unresponsive(owner->rpc, now);
    queries.timer.cancel();
}

} // namespace tillerhall
