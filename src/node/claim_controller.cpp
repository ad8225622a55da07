#include "tillerhall/node/claim_controller.hpp"
#include "tillerhall/core/await.hpp"
#include "tillerhall/core/digest.hpp"
#include "tillerhall/node/messages.hpp"

#include <algorithm>
#include <array>
#include <boost/json.hpp>

namespace tillerhall
{
namespace
{

namespace json = boost::json;

// A batch at a time and at least so long between two: with 16 shards this
// bounds the writes of the whole mesh.
constexpr milliseconds between_writes(100);
constexpr milliseconds ended_written_within(1000);
constexpr milliseconds longest_wait(3000);
constexpr milliseconds call_timeout(4000);
constexpr unsigned most_attempts = 6;
constexpr std::size_t answers_kept_bytes = 16 * 1024 * 1024;
constexpr std::size_t most_abandoned = 10'000;

constexpr const char* claim_method = "claim";
constexpr const char* finish_method = "claimed";

constexpr std::array<std::string_view, 6> verdict_names{
    "granted",     "other_body",   "in_progress",
    "already_ran", "may_have_run", "store_down"};

std::size_t shard_of(const std::string& key)
{
    return stable_hash(key) % claim_controller::shard_count;
}

json::object to_json(const kept_answer& answer)
{
    return {
        {"s", answer.status}, {"t", answer.content_type}, {"b", answer.body}};
}

kept_answer kept_from(const json::object& members)
{
    return {json::value_to<unsigned>(members.at("s")),
            json::value_to<std::string>(members.at("t")),
            json::value_to<std::string>(members.at("b"))};
}

json::object to_json(const claim_answer& answer)
{
    json::object members{{"v", static_cast<int>(answer.verdict)}};
    if (answer.answer)
        members["a"] = to_json(*answer.answer);
    return members;
}

claim_answer answer_from(const json::object& members)
{
    claim_answer answer;
    const auto verdict = json::value_to<std::size_t>(members.at("v"));
    if (verdict >= verdict_names.size())
        throw std::out_of_range("unknown verdict");
    answer.verdict = static_cast<claim_verdict>(verdict);
    if (const auto* kept = members.if_contains("a"))
        answer.answer = kept_from(kept->as_object());
    return answer;
}

} // namespace

std::string_view name_of(claim_verdict verdict) noexcept
{
    return verdict_names[static_cast<std::size_t>(verdict)];
}

/** A claim that waits for its batch; shared by its caller and the writer. */
struct claim_controller::pending_claim
{
    pending_claim(boost::asio::io_context& io, claim asked)
        : wanted(std::move(asked))
        , settled(io, longest_wait)
    {
    }

    claim wanted;
    boost::asio::steady_timer settled;
    std::optional<claim_answer> answer;
    unsigned attempts = 0;
};

claim_controller::claim_controller(mesh_state& mesh, table_service& store)
    : m_mesh(mesh)
    , m_store(store)
    , m_wake(mesh.on.io())
{
}

claim_controller::~claim_controller() = default;

void claim_controller::add_methods()
{
    m_mesh.server.add(claim_method, traffic_kind::other,
                      [this](const json::object& p) { return on_claim(p); });
    m_mesh.server.add(finish_method, traffic_kind::other,
                      [this](const json::object& p) { return on_finish(p); });
}

void claim_controller::start()
{
    m_mesh.on.spawn([this] { write_loop(); });
}

address claim_controller::keeper_of(std::size_t shard) const
{
    const auto shard_hash = mix_bits(shard + 1);
    std::uint64_t greatest = 0;
    address keeper = m_mesh.members.self().rpc;
    for (const auto& each : m_mesh.members.ordered())
    {
        const auto weight = mix_bits(each.ring ^ shard_hash);
        if (each.record->state == member_state::alive && weight >= greatest)
        {
            greatest = weight;
            keeper = each.record->rpc;
        }
    }
    return keeper;
}

bool claim_controller::is_self(const address& node) const
{
    return node == m_mesh.members.self().rpc;
}

claim_answer claim_controller::claim_key(const std::string& key,
                                         const std::string& body)
{
    const auto keeper = keeper_of(shard_of(key));
    if (is_self(keeper))
        return keep(key, body);
    const auto answer = m_mesh.pool.call({keeper,
                                          traffic_kind::other,
                                          claim_method,
                                          {{"k", key}, {"b", body}},
                                          call_timeout});
    try
    {
        return answer ? answer_from(*answer) : claim_answer{};
    }
    catch (const std::exception&)
    {
        return {};
    }
}

void claim_controller::finish(const std::string& key,
                              claim_state state,
                              const std::optional<kept_answer>& answer)
{
    const auto keeper = keeper_of(shard_of(key));
    if (is_self(keeper))
        return keep_end(key, state, answer);
    json::object params{{"k", key}, {"s", static_cast<int>(state)}};
    if (answer)
        params["a"] = to_json(*answer);
    // Should this be lost the key stays claimed, which is the safe side.
    (void)m_mesh.pool.call(
        {keeper, traffic_kind::other, finish_method, params, call_timeout});
}

json::object claim_controller::on_claim(const json::object& params)
{
    return to_json(keep(json::value_to<std::string>(params.at("k")),
                        json::value_to<std::string>(params.at("b"))));
}

json::object claim_controller::on_finish(const json::object& params)
{
    const auto state = json::value_to<std::size_t>(params.at("s"));
    if (state > static_cast<std::size_t>(claim_state::released))
        throw std::out_of_range("unknown claim state");
    std::optional<kept_answer> answer;
    if (const auto* kept = params.if_contains("a"))
        answer = kept_from(kept->as_object());
    keep_end(json::value_to<std::string>(params.at("k")),
             static_cast<claim_state>(state), answer);
    return {};
}

claim_answer claim_controller::keep(const std::string& key,
                                    const std::string& body)
{
    const auto asked = std::make_shared<pending_claim>(
        m_mesh.on.io(),
        claim{key, body, m_mesh.random(), claim_state::running});
    m_pending.push_back(asked);
    m_wake.cancel();
    boost::system::error_code ignored;
    if (!asked->answer)
        asked->settled.async_wait(await{ignored});
    if (asked->answer)
        return *asked->answer;
    // Its caller is told that it did not run, so if the write took effect
    // all the same the key must count as free.
    if (m_abandoned.size() < most_abandoned)
        m_abandoned.insert(asked->wanted.nonce);
    m_pending.remove(asked);
    return {};
}

void claim_controller::keep_end(const std::string& key,
                                claim_state state,
                                const std::optional<kept_answer>& answer)
{
    m_ended[key] = {"", state};
    if (answer && state == claim_state::done)
        remember(key, *answer);
}

void claim_controller::remember(const std::string& key,
                                const kept_answer& answer)
{
    m_answers[key] = answer;
    m_answer_order.push_back(key);
    m_answer_bytes += answer.body.size();
    while (m_answer_bytes > answers_kept_bytes)
    {
        const auto oldest = m_answers.find(m_answer_order.front());
        m_answer_order.pop_front();
        if (oldest == m_answers.end())
            continue;
        m_answer_bytes -= oldest->second.body.size();
        m_answers.erase(oldest);
    }
}

void claim_controller::write_loop()
{
    while (true)
    {
        if (m_pending.empty())
        {
            m_wake.expires_after(ended_written_within);
            boost::system::error_code ignored;
            m_wake.async_wait(await{ignored});
        }
        if (!m_pending.empty() || !m_ended.empty())
        {
            write_batch();
            sleep_for(m_mesh.on.io(), between_writes);
        }
    }
}

claim_shard* claim_controller::loaded_shard(std::size_t number)
{
    if (const auto known = m_shards.find(number); known != m_shards.end())
        return &known->second;
    claim_shard fresh(number);
    const auto items = m_store.list_last(
        fresh.prefix(), static_cast<std::size_t>(claim_shard::ring_size));
    if (!items || !fresh.load(*items))
        return nullptr;
    return &m_shards.insert_or_assign(number, std::move(fresh)).first->second;
}

std::optional<claim_answer>
claim_controller::judge(const claim_shard& shard,
                        const pending_claim& asked) const
{
    const auto* known = shard.find(asked.wanted.key, wall_clock_minute());
    if (known == nullptr || m_abandoned.contains(known->nonce))
        return std::nullopt;
    auto state = known->state;
    if (const auto ended = m_ended.find(known->key); ended != m_ended.end())
        state = ended->second.state;
    if (state == claim_state::released)
        return std::nullopt;
    if (known->nonce == asked.wanted.nonce)
        return claim_answer{claim_verdict::granted, std::nullopt};
    if (known->body != asked.wanted.body)
        return claim_answer{claim_verdict::other_body, std::nullopt};
    if (state == claim_state::running)
        return claim_answer{claim_verdict::in_progress, std::nullopt};
    if (state == claim_state::unknown)
        return claim_answer{claim_verdict::may_have_run, std::nullopt};
    claim_answer answer{claim_verdict::already_ran, std::nullopt};
    if (const auto kept = m_answers.find(known->key); kept != m_answers.end())
        answer.answer = kept->second;
    return answer;
}

void claim_controller::settle(pending_claim& asked, claim_answer answer)
{
    asked.answer = std::move(answer);
    asked.settled.cancel();
}

bool claim_controller::place(const std::shared_ptr<pending_claim>& asked)
{
    auto* shard = loaded_shard(shard_of(asked->wanted.key));
    if (shard == nullptr)
    {
        settle(*asked, {});
        return false;
    }
    if (auto verdict = judge(*shard, *asked))
    {
        settle(*asked, std::move(*verdict));
        return false;
    }
    m_ended.erase(asked->wanted.key); // released: claimed anew
    shard->put(asked->wanted, wall_clock_minute());
    return true;
}

void claim_controller::put_ended()
{
    for (auto& [key, ended] : m_ended)
    {
        auto* shard = loaded_shard(shard_of(key));
        if (shard == nullptr)
            continue;
        const auto* known = shard->find(key, wall_clock_minute());
        if (known == nullptr || known->state == ended.state)
            continue;
        auto changed = *known;
        changed.state = ended.state;
        shard->put(changed, wall_clock_minute());
    }
}

void claim_controller::write_batch()
{
    claim_batch batch;
    batch.swap(m_pending);
    put_ended();
    const auto ended = m_ended;
    claim_batch placed;
    for (const auto& each : batch)
        if (place(each))
            placed.push_back(each);
    table_transaction transaction;
    for (auto& each : m_shards)
        if (each.second.is_changed())
            each.second.add_to(transaction);
    if (transaction.writes.empty())
    {
        m_ended.clear();
        return;
    }
    const auto outcome = m_store.transact(transaction);
    m_mesh.board.metrics.get("tillerhall_claim_writes_total").add();
    if (outcome && outcome->committed)
        for (const auto& each : ended)
            if (const auto now = m_ended.find(each.first);
                now != m_ended.end() && now->second.state == each.second.state)
                m_ended.erase(now);
    after_write(std::move(placed), outcome);
}

void claim_controller::after_write(claim_batch placed,
                                   const result<commit_outcome>& outcome)
{
    if (outcome && outcome->committed)
    {
        for (auto& each : m_shards)
            each.second.stored(outcome->revision);
        m_mesh.board.metrics.get("tillerhall_claims_total")
            .add(static_cast<std::int64_t>(placed.size()));
        for (const auto& each : placed)
            settle(*each, {claim_verdict::granted, std::nullopt});
        return;
    }
    // What memory holds may no longer be what the store holds.
    m_shards.clear();
    const bool nothing_done =
        !outcome && outcome.reason().code() == error_code::unavailable;
    for (const auto& each : placed)
    {
        if (nothing_done || ++each->attempts > most_attempts)
        {
            if (!nothing_done)
                m_abandoned.insert(each->wanted.nonce);
            settle(*each, {});
        }
        else
            m_pending.push_back(each);
    }
}

} // namespace tillerhall
