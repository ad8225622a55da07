/** @file At-most-once execution of calls with an idempotency key, by claims
 * stored in the table service. */
#pragma once

#include "tillerhall/core/bounded_set.hpp"
#include "tillerhall/http/relay.hpp"
#include "tillerhall/node/answer_cache.hpp"
#include "tillerhall/node/mesh_state.hpp"
#include "tillerhall/routing/claim_shard.hpp"
#include "tillerhall/store/table_service.hpp"

#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <string>

namespace tillerhall
{

/** Outcome of a claim on an idempotency key. */
enum class claim_outcome
{
    granted,    ///< run the call, then report its result by `finish`
    other_body, ///< the key was used with another body
    in_progress,
    already_ran, ///< `answer` is set if it is still cached
    may_have_run,
    store_down ///< the store is unavailable; nothing was claimed
};

std::string_view name_of(claim_outcome outcome) noexcept;

/** Outcome of a claim, with the cached answer of an earlier run if any. */
struct claim_answer
{
    claim_outcome outcome = claim_outcome::store_down;
    std::optional<stored_answer> answer;
};

/**
 * Claims idempotency keys. Each key belongs to a shard, and rendezvous hashing
 * assigns each shard to one live member, its coordinator, which writes claims
 * in batches. If two members both act as coordinator, the compare-and-set in
 * the store lets only one of them succeed. Claims have no lease; while the
 * store is unavailable, keyed calls are refused as not run.
 * Runs on the first worker.
 */
class claim_controller
{
public:
    static constexpr std::size_t shard_count = 16;

    claim_controller(mesh_state& mesh, table_service& store);
    ~claim_controller();

    void add_methods();

    /** Starts the loop that writes batches of claims. */
    void start();

    /** Claims @p key for a call with body digest @p body, through the shard's
     * coordinator. */
    claim_answer claim_key(const std::string& key, const std::string& body);

    /** Records how the claimed call ended. */
    void finish(const std::string& key,
                claim_state state,
                const std::optional<stored_answer>& answer);

private:
    static constexpr std::size_t max_cached_bytes = 16 * 1024 * 1024;
    static constexpr std::size_t max_abandoned = 10'000;

    struct pending_claim;
    using claim_batch = std::list<std::shared_ptr<pending_claim>>;

    struct finished_claim
    {
        std::string body;
        claim_state state = claim_state::running;
    };

    claim_answer claim_locally(const std::string& key, const std::string& body);
    void finish_locally(const std::string& key,
                        claim_state state,
                        const std::optional<stored_answer>& answer);
    boost::json::object on_claim(const boost::json::object& params);
    boost::json::object on_finish(const boost::json::object& params);
    address coordinator_of(std::size_t shard) const;
    bool is_self(const address& node) const;

    void write_loop();
    void write_batch();
    claim_shard* loaded_shard(std::size_t number);
    /** Returns false if @p pending was resolved without a write. */
    bool add_to_shard(const std::shared_ptr<pending_claim>& pending);
    void put_finished();
    void after_write(claim_batch added, const result<commit_outcome>& outcome);
    std::optional<claim_answer>
    check_existing(const claim_shard& shard,
                   const pending_claim& pending) const;
    void resolve(pending_claim& pending, claim_answer answer);

    mesh_state& m_mesh;
    table_service& m_store;
    boost::asio::steady_timer m_wake;
    std::map<std::size_t, claim_shard> m_shards; ///< loaded shards
    claim_batch m_pending;
    std::map<std::string, finished_claim>
        m_finished; ///< results not yet stored
    /** Nonces of claims whose calls were refused. */
    bounded_set<std::uint64_t> m_abandoned{max_abandoned};
    answer_cache m_cached_answers{max_cached_bytes};
};

} // namespace tillerhall
