#include "tillerhall/node/node.hpp"
#include "tillerhall/core/await.hpp"
#include "tillerhall/http/listener.hpp"
#include "tillerhall/node/accept_controller.hpp"
#include "tillerhall/node/burn_controller.hpp"
#include "tillerhall/node/claim_controller.hpp"
#include "tillerhall/node/entry_proxy.hpp"
#include "tillerhall/node/operator_api.hpp"
#include "tillerhall/node/poison_calls_publisher.hpp"
#include "tillerhall/node/self_record.hpp"
#include "tillerhall/node/source_controller.hpp"
#include "tillerhall/node/target_controller.hpp"
#include "tillerhall/observe/build_version.hpp"
#include "tillerhall/store/http_platform.hpp"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <thread>
#include <vector>

namespace tillerhall
{
namespace
{

// Time for the announcement of leaving to reach all members.
constexpr milliseconds min_drain(300);
constexpr milliseconds poll_interval(20);

admission_limits limits_for(const settings& config, const route_view& routes)
{
    admission_limits limits;
    limits.in_flight = config.target_slots;
    const auto* own =
        routes.table().table().find({config.service, config.domain});
    if (own == nullptr)
        return limits;
    limits.in_flight = std::min(own->max_in_flight, config.target_slots);
    limits.queue = own->queue;
    limits.queue_wait = milliseconds(own->queue_wait_ms);
    limits.rate_per_s = static_cast<double>(own->rate_per_s);
    return limits;
}

/** One worker with its listeners and proxies. */
struct call_worker
{
    worker event_loop;
    std::unique_ptr<listener> callers;
    std::unique_ptr<listener> peers;
    std::unique_ptr<owner_proxy> owner;
    std::unique_ptr<entry_proxy> entry;
};

/** The controllers, which run on the first worker. */
struct control_plane
{
    control_plane(const settings& config,
                  blackboard& board,
                  worker& first_worker,
                  const std::string& token)
        : mesh(config, self_record(config), first_worker, board)
        , tables_service(connection(config.tables, config, board, first_worker))
        , objects(connection(config.objects, config, board, first_worker))
        , hosts(connection(config.hosts, config, board, first_worker))
        , store(tables_service, objects)
        , tables(mesh)
        , membership(mesh, tables)
        , source(mesh, tables, membership, store, hosts)
        , accepts(mesh, tables, store)
        , target(mesh, membership)
        , burn(mesh)
        , operators(mesh, tables, accepts, burn, token)
        , claims(mesh, tables_service)
    {
    }

    static platform_connection connection(const address& server,
                                          const settings& config,
                                          blackboard& board,
                                          worker& first_worker)
    {
        return {first_worker.io(), server,
                milliseconds(config.platform_timeout_ms), board.traffic};
    }

    mesh_state mesh;
    http_table_service tables_service;
    http_object_store objects;
    http_host_list hosts;
    table_store store;
    distribution_controller tables;
    membership_controller membership;
    source_controller source;
    accept_controller accepts;
    target_controller target;
    burn_controller burn;
    operator_api operators;
    claim_controller claims;
};

} // namespace

struct node::parts
{
    parts(settings node_settings, std::string operator_token)
        : config(std::move(node_settings))
        , token(std::move(operator_token))
        , targets(**find_policy(config.policy), entropy_seed())
        , admission_gate(limits_for(config, *board.routes.get()))
    {
    }

    worker& first() { return workers.front()->event_loop; }

    result<void> open_call_listeners()
    {
        for (std::int64_t i = 0; i < config.workers; ++i)
        {
            auto made = std::make_unique<call_worker>();
            auto callers = listener::open(made->event_loop, config.caller);
            if (!callers)
                return callers.reason();
            auto peers = listener::open(made->event_loop, config.peer);
            if (!peers)
                return peers.reason();
            made->callers = std::move(*callers);
            made->peers = std::move(*peers);
            config.caller = made->callers->local(); // resolves port 0
            config.peer = made->peers->local();
            workers.push_back(std::move(made));
        }
        return {};
    }

    result<void> open_control_listeners()
    {
        auto opened_rpc = listener::open(first(), config.rpc);
        if (!opened_rpc)
            return opened_rpc.reason();
        auto opened_operators = listener::open(first(), config.operators);
        if (!opened_operators)
            return opened_operators.reason();
        rpc = std::move(*opened_rpc);
        operators = std::move(*opened_operators);
        config.rpc = rpc->local();
        config.operators = operators->local();
        if (config.advertise_rpc.port == 0)
            config.advertise_rpc = config.rpc;
        if (config.advertise_peer.port == 0)
            config.advertise_peer = config.peer;
        return {};
    }

    void compose()
    {
        control =
            std::make_unique<control_plane>(config, board, first(), token);
        control->tables.add_methods();
        control->membership.add_methods();
        control->claims.add_methods();
        control->burn.add_methods();
        control->mesh.routes_changed = [this](const route_view& routes)
        {
            admission_gate.set_limits(limits_for(config, routes));
            publish_poison_calls(board, control->mesh.members);
        };
        crashes.set_callbacks({[this](const target_crash& end)
                               { announce(end); },
                               [this](const good_run& run) { announce(run); }});
        for (auto& each : workers)
            compose_calls(*each);
    }

    template <class Evidence>
    void announce(const Evidence& evidence)
    {
        first().spawn([this, evidence] { control->target.announce(evidence); });
    }

    void compose_calls(call_worker& serving_worker)
    {
        serving_worker.owner = std::make_unique<owner_proxy>(
            config, board, admission_gate, crashes, rate,
            serving_worker.event_loop);
        serving_worker.entry = std::make_unique<entry_proxy>(
            config, board, targets, *serving_worker.owner,
            serving_worker.event_loop, first(), control->claims,
            [this](const address& unreachable)
            {
                first().spawn(
                    [this, unreachable]
                    { control->membership.connect_failed(unreachable); });
            });
        serving_worker.callers->start(
            [entry = serving_worker.entry.get()](tcp_stream& stream)
            { entry->serve(stream); });
        serving_worker.peers->start(
            [owner = serving_worker.owner.get()](tcp_stream& stream)
            { owner->serve(stream); });
    }

    void start_control()
    {
        rpc->start([this](tcp_stream& stream)
                   { control->mesh.server.serve(stream); });
        operators->start(
            [this](tcp_stream& stream)
            {
                serve_api(stream, [this](const http_request& request)
                          { return control->operators.answer(request); });
            });
        first().spawn(
            [this]
            {
                control->target.check_first();
                control->target.start();
                control->source.start();
                control->membership.start();
                control->claims.start();
            });
        first().spawn([this] { wait_for_signal(); });
    }

    void wait_for_signal()
    {
        boost::asio::signal_set signals(first().io(), SIGTERM, SIGINT);
        boost::system::error_code failed;
        signals.async_wait(await{failed});
        planned_stop();
    }

    void planned_stop()
    {
        board.phase = node_phase::leaving;
        board.decisions.note("leaving", config.advertise_rpc.text(),
                             "planned stop",
                             {{"in_flight", board.calls_in_flight.load()}});
        control->membership.announce_self(member_state::leaving,
                                          target_state::draining);
        const auto start_time = steady_clock::now();
        const auto deadline = start_time + milliseconds(config.drain_ms);
        while (steady_clock::now() < start_time + min_drain ||
               (board.calls_in_flight > 0 && steady_clock::now() < deadline))
            sleep_for(first().io(), poll_interval);
        const auto cut = board.calls_in_flight.load();
        board.decisions.note("stopped", config.advertise_rpc.text(),
                             cut == 0 ? "all calls finished"
                                      : "the limit of drain_ms was reached",
                             {{"cut", cut}});
        for (auto& each : workers)
            each->event_loop.stop();
    }

    settings config;
    std::string token;
    blackboard board;
    target_board targets;
    call_admission admission_gate;
    target_rate rate{board, admission_gate};
    crash_registry crashes;
    std::vector<std::unique_ptr<call_worker>> workers;
    std::unique_ptr<listener> rpc;
    std::unique_ptr<listener> operators;
    std::unique_ptr<control_plane> control;
};

node::node(settings config, std::string token)
    : m_parts(std::make_unique<parts>(std::move(config), std::move(token)))
{
}

node::~node() = default;

result<void> node::open()
{
    if (auto opened = m_parts->open_call_listeners(); !opened)
        return opened;
    return m_parts->open_control_listeners();
}

const settings& node::config() const noexcept
{
    return m_parts->config;
}

int node::run()
{
    announce_build(m_parts->board.metrics);
    m_parts->compose();
    m_parts->start_control();
    // Detached: joining a thread would wait for its fibers, most of which wait
    // for peers and callers.
    for (std::size_t i = 1; i < m_parts->workers.size(); ++i)
        std::thread([other = &m_parts->workers[i]->event_loop]
                    { other->run(); })
            .detach();
    m_parts->first().run();
    return 0;
}

} // namespace tillerhall
