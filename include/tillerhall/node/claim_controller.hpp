/** @file At most once for keyed calls, by claims in the table service. */
#pragma once

#include "tillerhall/http/relay.hpp"
#include "tillerhall/node/mesh_state.hpp"
#include "tillerhall/routing/claim_shard.hpp"
#include "tillerhall/store/table_service.hpp"

#include <boost/asio/steady_timer.hpp>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace tillerhall
{

/** What becomes of a keyed call. */
enum class claim_verdict
{
    granted,    ///< run it, then tell how it ended
    other_body, ///< the key was used for another body
    in_progress,
    already_ran, ///< `answer` holds the answer if it is still kept
    may_have_run,
    store_down ///< nothing was claimed
};

std::string_view name_of(claim_verdict verdict) noexcept;

/** The answer to a claim. */
struct claim_answer
{
    claim_verdict verdict = claim_verdict::store_down;
    std::optional<kept_answer> answer;
};

/**
 * Claims on idempotency keys. Each key belongs to a shard and each shard to
 * the live member that rendezvous hashing names; that keeper groups the
 * claims of a moment into one write. Should two members both take themselves
 * for the keeper, the compare in the store lets only one of them through.
 * (The idea of a client-supplied key is ADR-017's; its lock may lapse and its
 * faults let calls through, which our promises forbid: here a claim has no
 * lease, and without the store a keyed call is refused as not run.)
 * Runs on the first worker.
 */
class claim_controller
{
public:
    static constexpr std::size_t shard_count = 16;

    claim_controller(mesh_state& mesh, table_service& store);
    ~claim_controller();

    void add_methods();

    /** Starts the writer. */
    void start();

    /** Claims @p key for a call with body digest @p body, here or remotely. */
    claim_answer claim_key(const std::string& key, const std::string& body);

    /** Tells how the claimed call ended. */
    void finish(const std::string& key,
                claim_state state,
                const std::optional<kept_answer>& answer);

private:
    struct pending_claim;
    using claim_batch = std::list<std::shared_ptr<pending_claim>>;

    struct ended_claim
    {
        std::string body;
        claim_state state = claim_state::running;
    };

    claim_answer keep(const std::string& key, const std::string& body);
    void keep_end(const std::string& key,
                  claim_state state,
                  const std::optional<kept_answer>& answer);
    boost::json::object on_claim(const boost::json::object& params);
    boost::json::object on_finish(const boost::json::object& params);
    address keeper_of(std::size_t shard) const;
    bool is_self(const address& node) const;

    void write_loop();
    void write_batch();
    claim_shard* loaded_shard(std::size_t number);
    bool place(const std::shared_ptr<pending_claim>& asked);
    void put_ended();
    void after_write(claim_batch placed, const result<commit_outcome>& outcome);
    std::optional<claim_answer> judge(const claim_shard& shard,
                                      const pending_claim& asked) const;
    void settle(pending_claim& asked, claim_answer answer);
    void remember(const std::string& key, const kept_answer& answer);

    mesh_state& m_mesh;
    table_service& m_store;
    boost::asio::steady_timer m_wake;
    std::map<std::size_t, claim_shard> m_shards; ///< those loaded
    claim_batch m_pending;
    std::map<std::string, ended_claim> m_ended; ///< not yet stored
    std::set<std::uint64_t> m_abandoned; ///< nonces whose callers were refused
    std::map<std::string, kept_answer> m_answers;
    std::list<std::string> m_answer_order; ///< oldest first
    std::size_t m_answer_bytes = 0;
};

} // namespace tillerhall
