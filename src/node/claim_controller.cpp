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

// One batch at a time: with 16 shards, this bounds the write rate of the whole
// mesh.
constexpr milliseconds min_write_interval(100);
constexpr milliseconds idle_write_interval(1000);
constexpr milliseconds claim_timeout(3000);
constexpr milliseconds rpc_timeout(4000);
constexpr unsigned max_attempts = 6;

constexpr const char* claim_method = "claim";
constexpr const char* finish_method = "claimed";

constexpr std::array<std::string_view, 6> outcome_names{
    "granted",     "other_body",   "in_progress",
    "already_ran", "may_have_run", "store_down"};

std::size_t shard_of(const std::string& key)
{
    return stable_hash(key) % claim_controller::shard_count;
}

json::object to_json(const stored_answer& answer)
{
    return {
        {"s", answer.status}, {"t", answer.content_type}, {"b", answer.body}};
}

stored_answer stored_answer_from(const json::object& members)
{
    return {json::value_to<unsigned>(members.at("s")),
            json::value_to<std::string>(members.at("t")),
            json::value_to<std::string>(members.at("b"))};
}

json::object to_json(const claim_answer& answer)
{
    json::object members{{"v", static_cast<int>(answer.outcome)}};
    if (answer.answer)
        members["a"] = to_json(*answer.answer);
    return members;
}

claim_answer answer_from(const json::object& members)
{
    claim_answer answer;
    const auto outcome = json::value_to<std::size_t>(members.at("v"));
    if (outcome >= outcome_names.size())
        throw std::out_of_range("unknown verdict");
    answer.outcome = static_cast<claim_outcome>(outcome);
    if (const auto* kept = members.if_contains("a"))
        answer.answer = stored_answer_from(kept->as_object());
    return answer;
}

} // namespace

std::string_view name_of(claim_outcome outcome) noexcept
{
    return outcome_names[static_cast<std::size_t>(outcome)];
}

/** A claim that waits for its batch, shared by the claiming fiber and the
 * write loop. */
struct claim_controller::pending_claim
{
    pending_claim(boost::asio::io_context& io, claim new_claim)
        : wanted(std::move(new_claim))
        , resolved(io, claim_timeout)
    {
    }

    claim wanted;
    boost::asio::steady_timer resolved;
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

address claim_controller::coordinator_of(std::size_t shard) const
{
    const auto shard_hash = mix_bits(shard + 1);
    std::uint64_t greatest_weight = 0;
    address coordinator = m_mesh.members.self().rpc;
    for (const auto& each : m_mesh.members.ordered())
    {
        const auto weight = mix_bits(each.ring ^ shard_hash);
        if (each.record->state == member_state::alive &&
            weight >= greatest_weight)
        {
            greatest_weight = weight;
            coordinator = each.record->rpc;
        }
    }
    return coordinator;
}

bool claim_controller::is_self(const address& node) const
{
    return node == m_mesh.members.self().rpc;
}

claim_answer claim_controller::claim_key(const std::string& key,
                                         const std::string& body)
{
    const auto coordinator = coordinator_of(shard_of(key));
    if (is_self(coordinator))
        return claim_locally(key, body);
    const auto answer = m_mesh.pool.call({coordinator,
                                          traffic_kind::other,
                                          claim_method,
                                          {{"k", key}, {"b", body}},
                                          rpc_timeout});
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
                              const std::optional<stored_answer>& answer)
{
    const auto coordinator = coordinator_of(shard_of(key));
    if (is_self(coordinator))
        return finish_locally(key, state, answer);
    json::object params{{"k", key}, {"s", static_cast<int>(state)}};
    if (answer)
        params["a"] = to_json(*answer);
    // If this message is lost, the key stays claimed, which is safe.
    (void)m_mesh.pool.call(
        {coordinator, traffic_kind::other, finish_method, params, rpc_timeout});
}

json::object claim_controller::on_claim(const json::object& params)
{
    return to_json(claim_locally(json::value_to<std::string>(params.at("k")),
                                 json::value_to<std::string>(params.at("b"))));
}

json::object claim_controller::on_finish(const json::object& params)
{
    const auto state = json::value_to<std::size_t>(params.at("s"));
    if (state > static_cast<std::size_t>(claim_state::released))
        throw std::out_of_range("unknown claim state");
    std::optional<stored_answer> answer;
    if (const auto* kept = params.if_contains("a"))
        answer = stored_answer_from(kept->as_object());
    finish_locally(json::value_to<std::string>(params.at("k")),
                   static_cast<claim_state>(state), answer);
    return {};
}

claim_answer claim_controller::claim_locally(const std::string& key,
                                             const std::string& body)
{
    const auto pending = std::make_shared<pending_claim>(
        m_mesh.on.io(),
        claim{key, body, m_mesh.random(), claim_state::running});
    m_pending.push_back(pending);
    m_wake.cancel();
    boost::system::error_code ignored;
    if (!pending->answer)
        pending->resolved.async_wait(await{ignored});
    if (pending->answer)
        return *pending->answer;
    // The call is refused as not run, so the key must count as unclaimed even
    // if the write still takes effect.
    m_abandoned.insert(pending->wanted.nonce);
    m_pending.remove(pending);
    return {};
}

void claim_controller::finish_locally(
    const std::string& key,
    claim_state state,
    const std::optional<stored_answer>& answer)
{
    m_finished[key] = {"", state};
    if (answer && state == claim_state::done)
        m_cached_answers.put(key, *answer);
}

void claim_controller::write_loop()
{
    while (true)
    {
        if (m_pending.empty())
        {
            m_wake.expires_after(idle_write_interval);
            boost::system::error_code ignored;
            m_wake.async_wait(await{ignored});
        }
        if (!m_pending.empty() || !m_finished.empty())
        {
            write_batch();
            sleep_for(m_mesh.on.io(), min_write_interval);
        }
    }
}

claim_shard* claim_controller::loaded_shard(std::size_t number)
{
    if (const auto known = m_shards.find(number); known != m_shards.end())
        return &known->second;
    claim_shard loaded(number);
    const auto items = m_store.list_last(
        loaded.prefix(), static_cast<std::size_t>(claim_shard::ring_size));
    if (!items || !loaded.load(*items))
        return nullptr;
    return &m_shards.insert_or_assign(number, std::move(loaded)).first->second;
}

std::optional<claim_answer>
claim_controller::check_existing(const claim_shard& shard,
                                 const pending_claim& pending) const
{
    const auto* known = shard.find(pending.wanted.key, wall_clock_minute());
    if (known == nullptr || m_abandoned.contains(known->nonce))
        return std::nullopt;
    auto state = known->state;
    if (const auto finished = m_finished.find(known->key);
        finished != m_finished.end())
        state = finished->second.state;
    if (state == claim_state::released)
        return std::nullopt;
    if (known->nonce == pending.wanted.nonce)
        return claim_answer{claim_outcome::granted, std::nullopt};
    if (known->body != pending.wanted.body)
        return claim_answer{claim_outcome::other_body, std::nullopt};
    if (state == claim_state::running)
        return claim_answer{claim_outcome::in_progress, std::nullopt};
    if (state == claim_state::unknown)
        return claim_answer{claim_outcome::may_have_run, std::nullopt};
    claim_answer answer{claim_outcome::already_ran, std::nullopt};
    if (const auto* kept = m_cached_answers.find(known->key))
        answer.answer = *kept;
    return answer;
}

void claim_controller::resolve(pending_claim& pending, claim_answer answer)
{
    pending.answer = std::move(answer);
    pending.resolved.cancel();
}

bool claim_controller::add_to_shard(
    const std::shared_ptr<pending_claim>& pending)
{
    auto* shard = loaded_shard(shard_of(pending->wanted.key));
    if (shard == nullptr)
    {
        resolve(*pending, {});
        return false;
    }
    if (auto outcome = check_existing(*shard, *pending))
    {
        resolve(*pending, std::move(*outcome));
        return false;
    }
    m_finished.erase(pending->wanted.key); // the key was released
    shard->put(pending->wanted, wall_clock_minute());
    return true;
}

void claim_controller::put_finished()
{
    for (auto& [key, finished] : m_finished)
    {
        auto* shard = loaded_shard(shard_of(key));
        if (shard == nullptr)
            continue;
        const auto* known = shard->find(key, wall_clock_minute());
        if (known == nullptr || known->state == finished.state)
            continue;
        auto changed = *known;
        changed.state = finished.state;
        shard->put(changed, wall_clock_minute());
    }
}

void claim_controller::write_batch()
{
    claim_batch batch;
    batch.swap(m_pending);
    put_finished();
    const auto finished = m_finished;
    claim_batch added;
    for (const auto& each : batch)
        if (add_to_shard(each))
            added.push_back(each);
    table_transaction transaction;
    for (auto& each : m_shards)
        if (each.second.is_changed())
            each.second.add_to(transaction);
    if (transaction.writes.empty())
    {
        m_finished.clear();
        return;
    }
    const auto outcome = m_store.transact(transaction);
    m_mesh.board.metrics.get("tillerhall_claim_writes_total").add();
    if (outcome && outcome->committed)
        for (const auto& each : finished)
            if (const auto now = m_finished.find(each.first);
                now != m_finished.end() &&
                now->second.state == each.second.state)
                m_finished.erase(now);
    after_write(std::move(added), outcome);
}

void claim_controller::after_write(claim_batch added,
                                   const result<commit_outcome>& outcome)
{
    if (outcome && outcome->committed)
    {
        for (auto& each : m_shards)
            each.second.stored(outcome->revision);
        m_mesh.board.metrics.get("tillerhall_claims_total")
            .add(static_cast<std::int64_t>(added.size()));
        for (const auto& each : added)
            resolve(*each, {claim_outcome::granted, std::nullopt});
        return;
    }
    // The loaded shards may no longer match the store.
    m_shards.clear();
    const bool not_written =
        !outcome && outcome.reason().code() == error_code::unavailable;
    for (const auto& each : added)
    {
        if (not_written || ++each->attempts > max_attempts)
        {
            if (!not_written)
                m_abandoned.insert(each->wanted.nonce);
            resolve(*each, {});
        }
        else
            m_pending.push_back(each);
    }
}

} // namespace tillerhall
