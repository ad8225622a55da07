/** @file Control messages between nodes and their JSON form. */
#pragma once

#include "tillerhall/distribution/key_range.hpp"
#include "tillerhall/distribution/table_update.hpp"
#include "tillerhall/membership/member_list.hpp"
#include "tillerhall/rollout/rollout_record.hpp"

#include <boost/json/object.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tillerhall
{

/** Names of the control methods. */
namespace method
{
inline constexpr const char* heartbeat = "hb";
inline constexpr const char* join = "join";
inline constexpr const char* sync = "sync";
inline constexpr const char* announce = "news";
inline constexpr const char* gather = "gather";
inline constexpr const char* push = "push";
inline constexpr const char* pull = "pull";
inline constexpr const char* snapshot = "snap";
inline constexpr const char* watch = "watch";
inline constexpr const char* routes = "routes";
inline constexpr const char* routes_update = "word";
inline constexpr const char* rollouts = "rollouts";
inline constexpr const char* owner_report = "runs";
inline constexpr const char* rollout_account = "trials";
inline constexpr const char* quota_counts = "spent";
inline constexpr const char* quota_totals = "sums";
inline constexpr const char* quota_limits = "limits";
inline constexpr const char* capacity = "capacity";
inline constexpr const char* capacity_sums = "capacity_sums";
inline constexpr const char* quota_accounts = "accounts";
} // namespace method

/** A heartbeat or its answer: the sender's versions and its rumors. */
struct heartbeat_message
{
    std::string from; ///< control address; in an answer only on request
    bool asks_identity = false; ///< the answer shall contain `from`
    std::uint64_t version = 0;
    std::uint64_t routes_version = 0; ///< of the routes from a feed
    std::uint64_t members_digest = 0;
    /** Milliseconds since the last known read of the source by any node; -1 if
     * there is none. */
    std::int64_t source_age_ms = -1;
    /** In an answer: the receiver shall send its record. */
    bool sender_unknown = false;
    std::vector<member> rumors;
    std::vector<rollout_record> rollouts;
};

/** The answer to a node that joins. */
struct join_answer
{
    std::vector<member> members;
    std::vector<rollout_record> rollouts;
    std::set<std::string> services;
    std::set<std::string> places;
    std::uint64_t version = 0;
    /** Greatest version that a node at the joiner's address has reported. */
    std::uint64_t last_reported_version = 0;
    std::int64_t source_age_ms = -1;
};

/** Answer to a sync: the records of the digest buckets that differ. */
struct sync_answer
{
    std::vector<std::size_t> differing; ///< indexes of those buckets
    std::vector<member> members;
    std::set<std::string> services;
    std::set<std::string> places;
};

/** Member records for all members in a range. */
struct announce_message
{
    std::vector<member> records;
    key_range range;
};

/** Roll-outs for all members in a range. */
struct rollouts_message
{
    std::vector<rollout_record> records;
    key_range range;
};

/** Request to join; `announce_to_others` asks the receiver to announce the
 * joiner. */
struct join_request
{
    member joiner;
    bool announce_to_others = false;
};

/** A table version for all members in a range. */
struct push_message
{
    std::string from;
    table_update update;
    key_range range;
};

/** Answer to a pull: deltas, or the advice to request a snapshot. */
struct pull_answer
{
    std::uint64_t version = 0;
    std::vector<table_update> updates;
    bool needs_snapshot = false;
};

/** Nodes of one failure domain: at a version, and in total. */
struct domain_count
{
    std::uint64_t at = 0;
    std::uint64_t total = 0;
};

/** Number of nodes at a version, summed over a range. */
struct watch_report
{
    static constexpr std::size_t max_named = 16;

    std::map<std::string, domain_count> domains;
    /** Control addresses of nodes behind, at most `max_named`. */
    std::vector<std::string> laggards;
    std::uint64_t greatest_version = 0;

    /** Adds the counts and laggards of @p other. */
    void add(const watch_report& other);

    /** Counts one node; @p at is true if it has reached the version. */
    void count(const std::string& domain, const std::string& node, bool at);

    std::uint64_t at() const noexcept;
    std::uint64_t total() const noexcept;
};

boost::json::object to_json(const heartbeat_message& sent);
boost::json::object to_json(const join_request& sent);
boost::json::object to_json(const join_answer& sent);
boost::json::object to_json(const sync_answer& sent);
boost::json::object to_json(const announce_message& sent);
boost::json::object to_json(const rollouts_message& sent);
boost::json::object to_json(const push_message& sent);
boost::json::object to_json(const pull_answer& sent);
boost::json::object to_json(const watch_report& sent);
boost::json::object to_json(const member_list::bucket_digests& sent);

/** The functions that read JSON throw std::exception on a malformed message;
 * the RPC layer counts these messages. */
heartbeat_message heartbeat_from_json(const boost::json::object& members);
join_request join_request_from_json(const boost::json::object& members);
join_answer join_answer_from_json(const boost::json::object& members);
sync_answer sync_answer_from_json(const boost::json::object& members);
announce_message announce_from_json(const boost::json::object& members);
rollouts_message rollouts_message_from_json(const boost::json::object& members);
push_message push_from_json(const boost::json::object& members);
pull_answer pull_answer_from_json(const boost::json::object& members);
watch_report watch_report_from_json(const boost::json::object& members);
member_list::bucket_digests
buckets_from_json(const boost::json::object& members);

} // namespace tillerhall
