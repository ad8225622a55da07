#include "lab.hpp"

#include "names.hpp"
#include "tillerhall/core/await.hpp"
#include "tillerhall/http/api_client.hpp"

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <charconv>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <poll.h>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace review
{
namespace
{

namespace http = boost::beast::http;

const wire_names names = platform::header_names();
constexpr milliseconds report_interval(1'500);
constexpr milliseconds poll_interval(5);
constexpr std::chrono::seconds idle_timeout(10);

bool read_rest(inbound_call& call)
{
    if (!call.read_prefix())
        return false;
    std::vector<char> piece(64 * 1024);
    while (true)
    {
        const auto size = call.read_piece(piece);
        if (!size || *size == 0)
            return size.has_value();
    }
}

bool write_text(tcp_stream& stream, const std::string& text)
{
    boost::system::error_code failed;
    stream.expires_after(std::chrono::seconds(20));
    boost::asio::async_write(stream, boost::asio::buffer(text), await{failed});
    return !failed;
}

/** Copies a node's output to a file while @p reads is true. */
void read_output(int from,
                 const std::string& path,
                 const std::shared_ptr<std::atomic<bool>>& reads)
{
    std::ofstream file(path, std::ios::app);
    std::array<char, 4096> piece{};
    while (*reads)
    {
        pollfd waiting{from, POLLIN, 0};
        if (::poll(&waiting, 1, 100) != 1)
            continue;
        const auto size = ::read(from, piece.data(), piece.size());
        if (size <= 0)
            return;
        file.write(piece.data(), size);
        file.flush();
    }
}

} // namespace

record::record(const std::string& path)
    : m_file(path)
    , m_begin(steady_clock::now())
{
}

double record::now_s() const
{
    return exact_ms(steady_clock::now() - m_begin) / 1000;
}

void record::line(const std::string& text)
{
    std::array<char, 32> time{};
    std::snprintf(time.data(), time.size(), "%9.4f ", now_s());
    m_file << time.data() << text << "\n" << std::flush;
}

backend::backend(worker& on, record& notes, std::string id, std::uint64_t seed)
    : m_worker(on)
    , m_notes(notes)
    , m_id(std::move(id))
    , m_random(seed)
    , m_where{"127.0.0.1", 0}
{
    start_again();
}

void backend::start_again()
{
    ++m_boot;
    m_listener = std::move(*listener::open(m_worker, m_where));
    m_where = m_listener->local();
    m_listener->start(
        [this](tcp_stream& stream)
        {
            m_streams.insert(&stream);
            serve(stream);
            m_streams.erase(&stream);
        });
}

void backend::crash()
{
    m_listener->close();
    // Its fiber still uses the listener.
    m_closed_listeners.push_back(std::move(m_listener));
    for (auto* each : m_streams)
        reset_stream(*each);
}

void backend::serve(tcp_stream& stream)
{
    boost::beast::flat_buffer buffer;
    connection on{stream, {}};
    while (stream.socket().is_open())
    {
        inbound_call call(stream, buffer);
        stream.expires_after(idle_timeout);
        if (call.read_head() != head_status::ok || !serve_one(call, on))
            return;
    }
}

bool backend::take_slot(time_point deadline)
{
    if (m_running >= slots && m_waiting >= max_waiting)
        return false;
    ++m_waiting;
    while (m_running >= slots && steady_clock::now() < deadline)
        sleep_for(m_worker.io(), poll_interval);
    --m_waiting;
    if (m_running >= slots)
        return false;
    ++m_running;
    return true;
}

bool backend::work(connection& on, milliseconds span)
{
    const auto until = steady_clock::now() + span;
    while (steady_clock::now() < until)
    {
        if (peer_has_closed(on.stream))
            return false;
        sleep_for(
            m_worker.io(),
            std::min<duration>(poll_interval, until - steady_clock::now()));
    }
    return true;
}

bool backend::serve_one(inbound_call& call, connection& on)
{
    if (!read_rest(call))
        return false;
    const auto& head = call.head();
    const std::string id(head[names.request_id]);
    if (m_faults.spares_repeats && id == on.late_id)
        on.late.clear();
    if (!on.late.empty())
    {
        // One answer too many, in the place where the next one is due.
        m_notes.line("extra      " + m_id + " sends its last answer again");
        if (!write_text(on.stream, std::exchange(on.late, {})))
            return false;
    }
    if (id.empty()) // a status check
        return send(call, on, m_is_draining ? 503 : 200, false);
    if (head[names.expected_target] != m_id)
        return send(call, on, 421, true);
    if (m_random.unit() < m_faults.shed)
    {
        m_notes.line("reject     " + id + " at " + m_id);
        return send(call, on, 503, true);
    }
    std::int64_t left = 0;
    const auto text = head[names.time_left];
    std::from_chars(text.data(), text.data() + text.size(), left);
    const int boot = m_boot;
    const bool has_slot = take_slot(steady_clock::now() + milliseconds(left));
    if (boot != m_boot) // it has crashed meanwhile
    {
        m_running -= has_slot ? 1 : 0;
        return false;
    }
    if (!has_slot)
    {
        m_notes.line("full       " + id + " at " + m_id);
        return send(call, on, 503, true);
    }
    const auto index = m_runs.size();
    const bool is_long = m_random.unit() < m_faults.tail_share;
    const auto span = m_work * (is_long ? m_faults.tail : 1);
    m_runs.push_back({id, m_id, m_notes.now_s(), 0, exact_ms(span) / 1000});
    m_notes.line("run        " + id + " at " + m_id);
    const bool done = work(on, span);
    --m_running;
    m_runs[index].end_s = m_notes.now_s();
    if (!done)
        m_notes.line("dropped    " + id + " at " + m_id);
    if (done && m_faults.answer_delay > milliseconds::zero())
        sleep_for(m_worker.io(), m_faults.answer_delay);
    return done && send(call, on, 200, false);
}

bool backend::send(inbound_call& call,
                   connection& on,
                   unsigned status,
                   bool not_run)
{
    whole_response response(static_cast<http::status>(status), 11);
    const std::string id(call.head()[names.request_id]);
    if (!id.empty())
        response.set(names.request_id, id);
    response.set(platform::target_load_field, std::to_string(m_running) + "," +
                                                  std::to_string(m_waiting) +
                                                  "," + std::to_string(slots));
    if (not_run)
        response.set(names.not_run, "1");
    else if (!id.empty())
        response.set(names.success_seal, "seal-of-" + m_id);
    response.body() = "answer to " + id;
    response.prepare_payload();
    std::ostringstream text;
    text << response;
    if (!id.empty() && m_random.unit() < m_faults.extra_late)
    {
        on.late = text.str();
        on.late_id = id;
    }
    return write_text(on.stream, text.str());
}

lab::lab(worker& on,
         record& notes,
         std::string folder,
         const std::string& config,
         std::string node_program)
    : m_worker(on)
    , m_notes(notes)
    , m_folder(std::move(folder))
    , m_node_program(std::move(node_program))
    , m_store(std::make_shared<store_standin>(on))
{
    m_store->put(platform::config_table, "", platform::config_key, config);
}

void lab::end()
{
    m_ended = true;
    for (const auto& each : m_machines)
        kill(*each);
}

address lab::free_address()
{
    // Below the ports that the system hands out, and apart from those of
    // another lab: between this choice and the node's start nobody holds it.
    constexpr int first = 12'000;
    constexpr int per_lab = 64;
    constexpr int labs = 300;
    for (int tries = 0; tries < per_lab; ++tries)
    {
        const int port =
            first + (::getpid() % labs) * per_lab + m_next_port++ % per_lab;
        auto opened = listener::open(
            m_worker, {"127.0.0.1", static_cast<std::uint16_t>(port)});
        if (!opened)
            continue;
        const auto found = (*opened)->local();
        m_reserved_ports.push_back(std::move(*opened));
        return found;
    }
    return {"127.0.0.1", 0};
}

machine& lab::add(const std::string& service, const std::string& zone)
{
    const auto index = std::to_string(m_machines.size());
    auto made = std::make_unique<machine>();
    made->service = service;
    made->zone = zone;
    made->settings_path = m_folder + "/node-" + index + ".yaml";
    made->log_path = m_folder + "/node-" + index + ".log";
    for (auto* each : {&made->rpc, &made->peer, &made->caller, &made->operators,
                       &made->ready})
        *each = free_address();
    const auto id = "i-" + service + "-" + index;
    made->app =
        std::make_shared<backend>(m_worker, m_notes, id, m_machines.size() + 1);
    made->reporter = std::make_shared<reporting_target>(m_worker, id, service);
    made->reporter->set_reported_address(made->app->where());
    made->reporter->set_slots(backend::slots);
    made->born = wall_clock_ms();
    m_machines.push_back(std::move(made));
    return *m_machines.back();
}

void lab::write_settings(const machine& at)
{
    // As the deploy file's template is filled in for a small installation.
    std::ofstream file(at.settings_path);
    const auto store = m_store->where().text();
    file << "node:\n  rpc: " << at.rpc.text() << "\n  peer: " << at.peer.text()
         << "\n  caller: " << at.caller.text()
         << "\n  operators: " << at.operators.text()
         << "\n  ready: " << at.ready.text() << "\n  region: nl-west"
         << "\n  domain: " << at.zone
         << "\n  stop_grace_s: 6\n  link_mbps: 1000.0\nretry:\n  ratio: 0.2"
         << "\n  extra: 62\n  window_s: 10\ntarget:\n  service: " << at.service
         << "\n  address: " << at.app->where().text()
         << "\nplatform:\n  tables: " << store << "\n  objects: " << store
         << "\n  hosts: " << store
         << "\n  part_writes_per_s: 150\nmesh:\n  heartbeat_ms: 1000"
         << "\n  heartbeat_timeout_ms: 600\n  suspect_ms: 3000\n";
}

void lab::start(machine& at)
{
    if (m_ended)
        return;
    write_settings(at);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    std::array<int, 2> pipe{-1, -1};
    if (at.output == output_reader::pipe &&
        ::pipe2(pipe.data(), O_CLOEXEC) == 0)
    {
        posix_spawn_file_actions_adddup2(&actions, pipe[1], STDOUT_FILENO);
        at.reads_output = std::make_shared<std::atomic<bool>>(true);
        std::thread(read_output, pipe[0], at.log_path, at.reads_output)
            .detach();
    }
    else
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO,
                                         at.log_path.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO,
                                     (at.log_path + ".err").c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    std::string option = "--config";
    std::array<char*, 4> arguments{m_node_program.data(), option.data(),
                                   at.settings_path.data(), nullptr};
    if (::posix_spawn(&at.pid, m_node_program.c_str(), &actions, nullptr,
                      arguments.data(), environ) != 0)
        at.pid = -1;
    posix_spawn_file_actions_destroy(&actions);
    // For the script, should this program be ended before it ends the node.
    std::ofstream(m_folder + "/pids", std::ios::app) << at.pid << "\n";
    if (pipe[1] >= 0)
        ::close(pipe[1]);
}

bool lab::is_ready(machine& at)
{
    api_client client(m_worker.io(), at.ready);
    const auto answer =
        client.call("GET", platform::ready_path, "", std::chrono::seconds(1));
    return answer && answer->status == 200;
}

void lab::send_reports(machine& at)
{
    while (at.reports)
    {
        at.reporter->report(at.operators, at.state, ++at.sequence);
        sleep_for(m_worker.io(), report_interval);
    }
}

bool lab::start_all()
{
    for (const auto& each : m_reserved_ports)
        each->close();
    for (const auto& each : m_machines)
        start(*each);
    const auto until = steady_clock::now() + std::chrono::seconds(15);
    for (const auto& each : m_machines)
        while (!is_ready(*each))
        {
            if (steady_clock::now() > until)
                return false;
            sleep_for(m_worker.io(), milliseconds(50));
        }
    for (const auto& each : m_machines)
        begin_reports(*each);
    sleep_for(m_worker.io(), std::chrono::seconds(3));
    return true;
}

unsigned lab::deregister(const machine& at)
{
    const auto body = "{\"born\":" + std::to_string(at.born) + "}";
    api_client client(m_worker.io(), at.operators);
    const auto answer =
        client.call("POST", "/instances/" + at.app->id() + "/deregister", body,
                    std::chrono::seconds(1));
    return answer ? answer->status : 0;
}

void lab::begin_reports(machine& at)
{
    at.reporter->set_start_time_ms(at.born);
    at.sequence = 0;
    at.reports = true;
    m_worker.spawn([this, &at] { send_reports(at); });
}

void lab::watch_ready()
{
    for (const auto& each : m_machines)
        m_worker.spawn(
            [this, at = each.get()]
            {
                for (int missed = 0;;)
                {
                    missed = is_ready(*at) ? 0 : missed + 1;
                    at->gets_clients = missed < 2;
                    sleep_for(m_worker.io(), std::chrono::seconds(1));
                }
            });
}

machine& lab::machine_of(std::size_t number)
{
    const auto count = m_machines.size();
    for (std::size_t i = 0; i < count; ++i)
        if (auto& each = *m_machines[(number + i) % count]; each.gets_clients)
            return each;
    return *m_machines[number % count];
}

double lab::restart_planned(machine& at)
{
    const auto begin = steady_clock::now();
    const double begin_s = m_notes.now_s();
    m_notes.line("stop       the node beside " + at.app->id());
    ::kill(at.pid, SIGTERM);
    m_worker.spawn(
        [this, &at, begin]
        {
            const auto end = begin + std::chrono::seconds(6);
            while (steady_clock::now() < end &&
                   ::waitpid(at.pid, nullptr, WNOHANG) == 0)
                sleep_for(m_worker.io(), milliseconds(20));
            if (steady_clock::now() < end)
                at.pid = -1;
            kill(at);
            start(at);
        });
    return begin_s;
}

void lab::kill(machine& at)
{
    if (at.pid <= 0)
        return;
    ::kill(at.pid, SIGKILL);
    ::waitpid(at.pid, nullptr, 0);
    at.pid = -1;
}

void lab::restart_ended()
{
    for (const auto& each : m_machines)
    {
        int status = 0;
        if (each->pid <= 0 || ::waitpid(each->pid, &status, WNOHANG) == 0)
            continue;
        ++each->own_ends;
        m_notes.line("ended      the node beside " + each->app->id() +
                     (WIFSIGNALED(status)
                          ? ", signal " + std::to_string(WTERMSIG(status))
                          : ", code " + std::to_string(WEXITSTATUS(status))));
        start(*each);
    }
}

double lab::memory_mb(const machine& at)
{
    std::ifstream file("/proc/" + std::to_string(at.pid) + "/status");
    std::string line;
    while (std::getline(file, line))
        if (line.starts_with("VmRSS:"))
            return std::strtod(line.c_str() + 6, nullptr) / 1000;
    return 0;
}

std::map<std::string, std::vector<run_note>> lab::runs_by_id() const
{
    std::map<std::string, std::vector<run_note>> found;
    for (const auto& each : m_machines)
        for (const auto& run : each->app->runs())
            found[run.id].push_back(run);
    return found;
}

std::string head_of(const client_request& request)
{
    std::string text = request.method + " " + request.path +
                       " HTTP/1.1\r\nHost: " + request.host + "\r\n" +
                       names.request_id + ": " + request.id + "\r\n" +
                       names.time_left + ": " +
                       std::to_string(request.left.count()) + "\r\n";
    if (request.closes)
        text += "Connection: close\r\n";
    if (!request.body.empty() || request.method != "GET")
        text +=
            "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
    return text + "\r\n";
}

seen call(lab& in, const address& node, const client_request& request)
{
    return kept_connection(in, node).call(request);
}

seen kept_connection::call(const client_request& request)
{
    auto& notes = m_in.notes();
    seen answer;
    answer.sent_s = notes.now_s();
    if (m_stream && !is_reusable(*m_stream))
        m_stream.reset();
    if (!m_stream)
        if (auto opened =
                connect_stream(m_in.on().io(), m_node, std::chrono::seconds(1)))
            m_stream = std::move(*opened);
    if (m_stream)
    {
        notes.line("sent       " + request.id + " to " + m_node.text());
        m_stream->expires_after(
            request.leaves_after > milliseconds::zero()
                ? duration(request.leaves_after)
                : duration(request.left + milliseconds(500)));
        boost::system::error_code failed;
        m_head = head_of(request);
        const std::array<boost::asio::const_buffer, 2> parts{
            boost::asio::buffer(m_head), boost::asio::buffer(request.body)};
        boost::asio::async_write(*m_stream, parts, await{failed});
        boost::beast::flat_buffer buffer;
        http::response_parser<http::string_body> parser;
        if (!failed)
            http::async_read(*m_stream, buffer, parser, await{failed});
        if (!failed)
        {
            answer.status = parser.get().result_int();
            answer.sealed = parser.get().count(names.success_seal) != 0;
        }
        if (failed || !parser.keep_alive())
            m_stream.reset();
    }
    answer.at_s = notes.now_s();
    notes.line("answered   " + request.id + " " +
               std::to_string(answer.status));
    return answer;
}

} // namespace review
