/** @file The settings of a node and their YAML reader. */
#pragma once

#include "tillerhall/core/address.hpp"

#include "tillerhall/observe/objective.hpp"

#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace tillerhall
{

/** The settings of a node. The unit of a time is the suffix of its name. */
struct settings
{
    address rpc;
    address peer;
    address caller;
    address operators;
    address advertise_rpc;  ///< as other nodes reach it; unset is `rpc`
    address advertise_peer; ///< as other nodes reach it; unset is `peer`
    std::string region;
    std::string domain;
    std::int64_t workers = 1;
    std::int64_t drain_ms = 30'000;

    /** Used only by a node that follows routes in a feed; see `mesh_node`. */
    address ready; ///< readiness endpoint
    double stop_grace_s = 6;
    double retry_ratio = 0.2; ///< retries per call, of all nodes
    double retry_extra = 10;  ///< retries in a window beyond that, of all nodes
    double retry_window_s = 10;
    double link_mbps = 0;               ///< of this host's link; 0 if unknown
    std::int64_t memory_limit_mb = 256; ///< of this process
    /** Descriptors that this process may open; 0: its RLIMIT_NOFILE. */
    std::int64_t descriptor_limit = 0;

    std::string service;
    address target;
    std::int64_t target_slots = 12;
    std::int64_t target_connections = 130;
    std::int64_t target_health_ms = 1'000;
    std::string target_health_path = "/health";
    std::string target_not_run_header = "X-Not-Run";

    address tables;
    address objects;
    address hosts;
    std::int64_t platform_timeout_ms = 2'000;
    /** Write capacity of one part of the store, shared by all nodes. */
    std::int64_t part_writes_per_s = 150;

    std::vector<address> seeds;
    std::int64_t heartbeat_ms = 500;
    std::int64_t heartbeat_timeout_ms = 1'000;
    std::int64_t suspect_ms = 3'000;

    std::string strategy = "tree";
    std::int64_t fanout = 8;
    std::int64_t poll_ms = 1'000;
    std::int64_t readers_per_domain = 1;
    std::int64_t source_reads_per_s = 5;

    std::string policy = "two_choices";
    /** 1: limits runs by what they call, see `dependency_limiter`. Off by
     * default: in overloads that were played it refused more calls than it kept
     * from failing. */
    std::int64_t limit_dependent_runs = 0;

    /** Greatest share of a service's calls that a release may get before it is
     * shown to be non-inferior; see rollout_plan.hpp. */
    double exposure_share = 0.1;

    /** Overage of an account's quota that all nodes together may reach while
     * counts are in transit; see `quota_ledger`. */
    double quota_overage = 0.1; ///< as a share of the quota
    double quota_extra = 20;    ///< calls beyond that

    /** By service; other services have the default objective. */
    std::map<std::string, objective> objectives;

    std::string token_file;
    std::string log_level = "info";
};

/** Description of one setting. */
struct setting
{
    using field = std::variant<std::string settings::*,
                               std::int64_t settings::*,
                               double settings::*,
                               address settings::*,
                               std::vector<address> settings::*>;

    std::string_view path; ///< "section.key"
    field into;
    bool required;
    std::int64_t min_value; ///< smallest valid number
    std::int64_t max_value; ///< greatest valid number
    std::string_view help;
};

/** @return all settings in the order of docs/SETTINGS.md. */
std::span<const setting> setting_table() noexcept;

/** The settings read; valid only if there are no problems. */
struct settings_outcome
{
    settings read;
    std::vector<error> problems;
};

/**
 * Parses and checks YAML.
 * @param name the file's name, for messages
 */
settings_outcome parse_settings(const std::string& yaml,
                                const std::string& name);

/** Reads and checks the file at @p path. */
settings_outcome load_settings(const std::string& path);

} // namespace tillerhall
