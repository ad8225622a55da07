#include "tillerhall/node/mesh_node.hpp"
#include "tillerhall/control/account_api.hpp"
#include "tillerhall/control/capacity_controller.hpp"
#include "tillerhall/control/drain_registry.hpp"
#include "tillerhall/control/quota_controller.hpp"
#include "tillerhall/control/report_controller.hpp"
#include "tillerhall/control/rollout_api.hpp"
#include "tillerhall/control/rollout_reporter.hpp"
#include "tillerhall/core/await.hpp"
#include "tillerhall/core/stop_signal.hpp"
#include "tillerhall/http/api_server.hpp"
#include "tillerhall/http/call_session.hpp"
#include "tillerhall/http/listener.hpp"
#include "tillerhall/node/closed_connections.hpp"
#include "tillerhall/node/poison_calls_publisher.hpp"
#include "tillerhall/node/self_record.hpp"
#include "tillerhall/node/stop_schedule.hpp"
#include "tillerhall/observe/build_version.hpp"
#include "tillerhall/proxy/call_entry.hpp"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <boost/json.hpp>
#include <csignal>
#include <sys/resource.h>

namespace tillerhall
{
namespace
{

// Time after the node stops serving, so that the last refusals are delivered.
constexpr milliseconds min_finishing(200);
// Requests that cross the close of their connection arrive within this time.
constexpr milliseconds crossing_time(100);
constexpr milliseconds poll_interval(50);
// Calls between nodes are limited by their own deadlines.
constexpr std::size_t peer_head_bytes = 64 * 1024;
constexpr std::size_t peer_body_bytes = 128 * 1024 * 1024;
constexpr std::chrono::minutes peer_idle_timeout(5);
constexpr milliseconds peer_head_timeout(10'000);
constexpr std::uint64_t bytes_per_mb = 1024 * 1024;
// Part of the memory for connections and bodies. The rest is for all else, and
// for a body that grows, which is copied once more for a moment.
constexpr std::uint64_t account_parts = 5;
constexpr std::uint64_t memory_parts = 8;
// The least memory for all else.
constexpr std::uint64_t min_other_bytes = 40 * bytes_per_mb;
// Part of the account that is reserved for connections.
constexpr std::uint64_t connection_parts = 8;
// Part of the account that all clients' connections with a call each may take.
constexpr std::uint64_t max_connection_parts = 2;
// Part of the descriptors for clients' connections. The rest is for other
// nodes, the target, the store and files.
constexpr std::uint64_t client_descriptor_parts = 3;
constexpr std::uint64_t descriptor_parts = 4;

entry_settings entry_settings_of(const settings& config)
{
    entry_settings made;
    made.own = config.advertise_rpc;
    made.place = {config.region, config.domain};
    made.service = config.service;
    made.budget = {
        config.retry_ratio, config.retry_extra,
        milliseconds(static_cast<std::int64_t>(config.retry_window_s * 1000))};
    return made;
}

/** @return the memory for connections and bodies, in bytes. */
std::uint64_t account_bytes_of(const settings& config)
{
    const auto limit =
        static_cast<std::uint64_t>(config.memory_limit_mb) * bytes_per_mb;
    return std::min(limit / memory_parts * account_parts,
                    limit - min_other_bytes);
}

memory_account account_of(const settings& config)
{
    const auto bytes = account_bytes_of(config);
    const auto connections = bytes / connection_parts;
    return memory_account(bytes - connections, connections);
}

/** @return the most connections that clients may have. */
std::size_t connection_limit_of(const settings& config)
{
    auto descriptors = static_cast<std::uint64_t>(config.descriptor_limit);
    rlimit files{};
    if (descriptors == 0 && ::getrlimit(RLIMIT_NOFILE, &files) == 0)
        descriptors = files.rlim_cur;
    const auto of_memory =
        account_bytes_of(config) / max_connection_parts /
        (call_session::idle_bytes + call_session::call_bytes);
    return std::min({std::uint64_t{listener::default_limit}, of_memory,
                     descriptors / descriptor_parts * client_descriptor_parts});
}

duration to_duration(double seconds)
{
    return std::chrono::duration_cast<duration>(
        std::chrono::duration<double>(seconds));
}

http_response respond(unsigned status, const boost::json::object& body)
{
    http_response response;
    response.status = status;
    response.body = boost::json::serialize(body);
    return response;
}

} // namespace

struct mesh_node::parts
{
    parts(settings node_settings, mesh_adapter platform_adapter)
        : config(std::move(node_settings))
        , adapter(std::move(platform_adapter))
        , board_targets(**find_policy("least_time"), entropy_seed())
    {
    }

    result<void> open()
    {
        const std::array bindings{std::pair{&callers, &config.caller},
                                  std::pair{&peers, &config.peer},
                                  std::pair{&rpc, &config.rpc},
                                  std::pair{&reports, &config.operators},
                                  std::pair{&readiness, &config.ready}};
        for (const auto& [destination, bound_address] : bindings)
        {
            const auto limit = destination == &callers
                                   ? connection_limit_of(config)
                                   : listener::default_limit;
            auto opened = listener::open(main_worker, *bound_address, limit);
            if (!opened)
                return opened.reason();
            *destination = std::move(*opened);
            *bound_address = (*destination)->local(); // resolves port 0
        }
        if (config.advertise_rpc.port == 0)
            config.advertise_rpc = config.rpc;
        if (config.advertise_peer.port == 0)
            config.advertise_peer = config.peer;
        return {};
    }

    void compose()
    {
        entry_config = entry_settings_of(config);
        store = adapter.open_store(main_worker, config);
        mesh = std::make_unique<mesh_state>(config, self_record(config),
                                            main_worker, board);
        tables = std::make_unique<distribution_controller>(*mesh);
        membership = std::make_unique<membership_controller>(*mesh, *tables);
        routes =
            std::make_unique<route_controller>(*mesh, *store, adapter.routes);
        directory = std::make_unique<directory_controller>(
            *mesh, *membership, *store,
            directory_settings{"members", [this] {
                                   return routes->role() ==
                                          store_role::announce;
                               }});
        owner = std::make_unique<target_owner>(adapter.names, config.service,
                                               config.domain, board, targets,
                                               main_worker, config.rpc.ip);
        reporter = std::make_unique<report_controller>(
            *mesh, *membership, *directory, targets, *owner);
        entry = std::make_unique<call_entry>(
            entry_config, adapter.names, board, board_targets, *owner, quotas,
            main_worker,
            [this](const address& unreachable)
            {
                main_worker.spawn([this, unreachable]
                                  { membership->connect_failed(unreachable); });
            });
        quota_counts = std::make_unique<quota_controller>(*mesh, quotas);
        entry_load = std::make_unique<entry_capacity>(
            entry_config.place, share_start(entry_config.own));
        entry->set_capacity(*entry_load);
        capacity =
            std::make_unique<capacity_controller>(*mesh, *owner, *entry_load);
        accounts = std::make_unique<account_api>(*quota_counts);
        compose_drains();
        compose_rollouts();
        membership->add_methods();
        routes->add_methods();
        quota_counts->add_methods();
        capacity->add_methods();
        owner->set_change_callback([this] { reporter->announce_changes(); });
        owner->set_leaving_callback([this](const std::string& start)
                                    { reporter->departure_told(start); });
        owner->set_load_reader(adapter.read_load);
        owner->set_link(outgoing, config.link_mbps);
        owner->set_memory(memory);
        entry->set_memory(memory);
        owner->limit_dependent_runs(config.limit_dependent_runs != 0);
        targets.require_confirmation(steady_clock::now());
        mesh->routes_changed = [this](const route_view&) { publish_members(); };
        compose_sessions();
    }

    void compose_rollouts()
    {
        const auto is_reader = [this]
        { return routes->role() == store_role::announce; };
        registry = std::make_unique<rollout_registry>(*mesh);
        store_sync = std::make_unique<rollout_store_sync>(
            *mesh, *registry, *store, adapter.rollouts, is_reader);
        decider = std::make_unique<rollout_decider>(*mesh, *registry,
                                                    *store_sync, is_reader);
        run_reporter = std::make_unique<rollout_reporter>(
            *mesh, *registry, *decider, targets, *owner);
        rollouts = std::make_unique<rollout_api>(
            *registry, *decider, *store_sync, adapter.operator_token);
        registry->add_methods();
        decider->add_methods();
        registry->on_change([this] { publish_targets(); });
        routes->on_rows(
            [this](const row_page& page, bool is_whole)
            {
                drains->apply_rows(page, is_whole);
                store_sync->apply_rows(page.rows);
            });
    }

    void compose_drains()
    {
        drains =
            std::make_unique<drain_registry>(*mesh, adapter.drained_domain);
        drains->on_change([this](const domain_drains& previous)
                          { drains_changed(previous); });
        routes->on_drained(
            [this](const std::set<std::string>& domains, std::uint64_t revision)
            { drains->apply_update(domains, revision); });
    }

    void compose_sessions()
    {
        const auto stopping = [this] { return is_stopping(board.phase); };
        const auto refuse = [this](const request_fault& fault)
        { return entry->refuse(fault); };
        client_host = {[this](received_request& request, cancel_scope& scope)
                       { return entry->answer(request, scope); },
                       refuse,
                       [this] { return board.call_map.get()->limits(); },
                       stopping,
                       nullptr,
                       &outgoing};
        peer_host = {[this](received_request& request, cancel_scope& scope)
                     { return owner->answer_peer(request, scope); },
                     refuse,
                     []
                     {
                         return client_limits{peer_head_bytes, peer_body_bytes,
                                              peer_head_timeout,
                                              peer_idle_timeout};
                     },
                     stopping,
                     &owner->incoming(),
                     &outgoing,
                     goaway_response};
        client_host.memory = &memory;
        client_host.gives_way = true;
        client_host.time_left = [this](const request_head& head)
        { return entry->time_left(head); };
        client_host.refuse_body =
            [this](const request_head& head, duration retry_after)
        { return entry->refuse_body(head, retry_after); };
        peer_host.memory = &memory;
        peer_host.request_kind = memory_use::peer_request;
        peer_host.time_left = peer_time_left;
        peer_host.refuse_body =
            [this](const request_head& head, duration retry_after)
        { return owner->refuse_body(head, retry_after); };
    }

    void start()
    {
        memory.on_close([this] { closed.add(); });
        callers->set_make_room([this] { return memory.close_one(); });
        callers->start_accepting(
            [this](std::shared_ptr<tcp_stream> stream) {
                call_session::serve(main_worker, std::move(stream),
                                    client_host);
            });
        peers->start_accepting(
            [this](std::shared_ptr<tcp_stream> stream) {
                call_session::serve(main_worker, std::move(stream), peer_host);
            });
        rpc->start([this](tcp_stream& stream) { mesh->server.serve(stream); });
        reports->start(
            [this](tcp_stream& stream)
            {
                serve_api(stream, [this](const http_request& request)
                          { return answer_report(request); });
            });
        readiness->start(
            [this](tcp_stream& stream)
            {
                serve_api(stream, [this](const http_request& request)
                          { return answer_ready(request); });
            });
        routes->start();
        directory->start([this] { members_loaded(); });
        membership->start();
        store_sync->start();
        decider->start();
        run_reporter->start();
        quota_counts->start();
        capacity->start();
        main_worker.spawn([this] { become_ready(); });
        main_worker.spawn([this] { wait_for_stop(); });
        main_worker.spawn([this] { wait_for_reload(); });
    }

    void publish_targets()
    {
        board.targets.set(new service_targets(
            mesh->members, *board.rollouts.get(), *board.drains.get()));
    }

    void drains_changed(const domain_drains& previous)
    {
        const auto& own = config.domain;
        if (previous.contains(own) && !board.drains.get()->contains(own))
            targets.assume_cold(
                board.call_map.get()->terms_of(config.service).cold_for,
                steady_clock::now());
        publish_targets();
    }

    void publish_members()
    {
        registry->update_stable_releases();
        publish_targets();
        publish_poison_calls(board, mesh->members);
    }

    void members_loaded()
    {
        reporter->departures_loaded();
        // The targets must be published before the node becomes ready.
        publish_members();
    }

    void become_ready()
    {
        while (!routes->known() || !directory->is_loaded())
            sleep_for(main_worker.io(), poll_interval);
        auto joining = node_phase::joining;
        if (board.phase.compare_exchange_strong(joining, node_phase::ready))
            board.decisions.note("ready", config.advertise_rpc.text(),
                                 "routes and members are known",
                                 {{"routes", board.call_map.get()->version()},
                                  {"members", mesh->members.live_count()}});
    }

    http_response answer_ready(const http_request& request)
    {
        const bool known = routes->known() && directory->is_loaded();
        const bool leaving = is_stopping(board.phase);
        if (request.path != adapter.ready_path)
            return respond(404, {{"detail", "no such path"}});
        return respond(known && !leaving ? 200 : 503,
                       {{"phase", name_of(board.phase)},
                        {"routes", board.call_map.get()->version()}});
    }

    http_response answer_report(const http_request& request)
    {
        if (request.method == "GET" && request.path == "/metrics")
        {
            http_response response;
            response.content_type = "text/plain; version=0.0.4";
            response.body = board.metrics.text();
            return response;
        }
        if (request.method == "GET" && request.path == "/v1/domains")
            return respond(200,
                           to_json(*board.capacity.get(), steady_clock::now()));
        if (auto answer = rollouts->answer(request))
            return std::move(*answer);
        if (auto answer = accounts->answer(request))
            return std::move(*answer);
        const auto report = adapter.read_report(request);
        if (!report)
            return respond(404, {{"detail", "no such path"}});
        if (!*report)
        {
            board.metrics.get("tillerhall_bad_report_total").add();
            return respond(400, {{"detail", report->reason().message()}});
        }
        switch (reporter->take(**report))
        {
        case report_reply::retry:
            return respond(503, {{"retry", true}});
        case report_reply::misdirected:
            return respond(421, {{"detail", "not this node's target"}});
        default:
            return respond(200, {});
        }
    }

    void wait_for_reload()
    {
        while (true)
        {
            boost::system::error_code failed;
            reload_requests.async_wait(await{failed});
            reload();
        }
    }

    void reload()
    {
        const auto outcome = adapter.reload();
        for (const auto& problem : outcome.problems)
            board.decisions.note("settings_refused", "reload",
                                 problem.message());
        if (!outcome.problems.empty())
            return;
        entry_config.budget = entry_settings_of(outcome.read).budget;
        board.decisions.note("settings_reloaded", "reload",
                             "retry limits reloaded; addresses "
                             "hold until the next start");
    }

    void wait_for_stop()
    {
        const auto signal = stop_requests.wait();
        planned_stop(stop_schedule::of(signal, steady_clock::now(),
                                       to_duration(config.stop_grace_s)));
    }

    /** Returns the number of calls whose answers are not fully sent,
     * including answers that wait for the link. */
    std::int64_t unanswered_calls() const
    {
        return client_host.unanswered + peer_host.unanswered;
    }

    /** Returns whether connections must not be closed yet: there are calls
     * without an answer, or answers that could still be lost. */
    bool has_open_work()
    {
        return unanswered_calls() > 0 || client_host.lingering > 0 ||
               peer_host.lingering > 0 || client_host.is_delivering() ||
               peer_host.is_delivering();
    }

    void wait_for_work(time_point until)
    {
        while (has_open_work() && steady_clock::now() < until)
            sleep_for(main_worker.io(), poll_interval);
    }

    /** Answers the calls that outlast the grace period, so that their
     * connections are not cut. */
    void end_remaining_calls()
    {
        if (unanswered_calls() == 0)
            return;
        board.decisions.note("calls_ended", config.advertise_rpc.text(),
                             "the grace is over",
                             {{"in_flight", unanswered_calls()}});
        entry->end_calls();
    }

    /** Closes what is idle, so that the exit resets no connection on which
     * clients and other nodes may send. */
    void close_connections()
    {
        callers->accept_last();
        peers->accept_last();
        client_host.close_idle();
        peer_host.close_idle();
        sleep_for(main_worker.io(), crossing_time);
    }

    void planned_stop(const stop_schedule& schedule)
    {
        // Calls that arrive from now on must end before the node does.
        board.calls_end = schedule.calls_end;
        board.phase = node_phase::leaving;
        board.decisions.note(
            "leaving", config.advertise_rpc.text(), "planned stop",
            {{"in_flight", unanswered_calls()},
             {"ends_in_ms", to_ms(schedule.calls_end - steady_clock::now())}});
        auto self = mesh->members.self();
        self.state = member_state::leaving;
        membership->announce_self(self);
        directory->own_record_changed();
        while (steady_clock::now() < schedule.serve_until)
            sleep_for(main_worker.io(), poll_interval);
        board.phase = node_phase::finishing;
        sleep_for(main_worker.io(), min_finishing);
        wait_for_work(schedule.calls_end);
        end_remaining_calls();
        wait_for_work(schedule.exit_by - crossing_time);
        close_connections();
        board.decisions.note("stopped", config.advertise_rpc.text(),
                             unanswered_calls() == 0 ? "all calls finished"
                                                     : "the grace is over",
                             {{"cut", unanswered_calls()}});
        main_worker.stop();
    }

    settings config;
    mesh_adapter adapter;
    entry_settings entry_config;
    worker main_worker;
    stop_signal stop_requests{main_worker.io()};
    // From the start on: without a handler the signal would end the process.
    boost::asio::signal_set reload_requests{main_worker.io(), SIGHUP};
    link_scheduler outgoing{main_worker.io(), config.link_mbps};
    memory_account memory = account_of(config);
    blackboard board;
    closed_connections closed{main_worker, board, memory};
    target_board board_targets;
    target_registry targets;
    quota_gate quotas{{config.quota_overage, config.quota_extra},
                      entropy_seed()};
    session_host client_host;
    session_host peer_host;
    std::unique_ptr<listener> callers;
    std::unique_ptr<listener> peers;
    std::unique_ptr<listener> rpc;
    std::unique_ptr<listener> reports;
    std::unique_ptr<listener> readiness;
    std::unique_ptr<row_store> store;
    std::unique_ptr<mesh_state> mesh;
    std::unique_ptr<distribution_controller> tables;
    std::unique_ptr<membership_controller> membership;
    std::unique_ptr<route_controller> routes;
    std::unique_ptr<directory_controller> directory;
    std::unique_ptr<target_owner> owner;
    std::unique_ptr<report_controller> reporter;
    std::unique_ptr<quota_controller> quota_counts;
    std::unique_ptr<entry_capacity> entry_load;
    std::unique_ptr<capacity_controller> capacity;
    std::unique_ptr<account_api> accounts;
    std::unique_ptr<drain_registry> drains;
    std::unique_ptr<rollout_registry> registry;
    std::unique_ptr<rollout_store_sync> store_sync;
    std::unique_ptr<rollout_decider> decider;
    std::unique_ptr<rollout_reporter> run_reporter;
    std::unique_ptr<rollout_api> rollouts;
    std::unique_ptr<call_entry> entry;
};

mesh_node::mesh_node(settings config, mesh_adapter adapter)
    : m_parts(std::make_unique<parts>(std::move(config), std::move(adapter)))
{
}

mesh_node::~mesh_node() = default;

result<void> mesh_node::open()
{
    return m_parts->open();
}

const settings& mesh_node::config() const noexcept
{
    return m_parts->config;
}

int mesh_node::run()
{
    announce_build(m_parts->board.metrics);
    m_parts->compose();
    m_parts->start();
    m_parts->main_worker.run();
    return 0;
}

} // namespace tillerhall
