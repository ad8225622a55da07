/** @file Stand-ins and node processes for the scripts of the review. */
#pragma once

#include "platform_standin/reporting_target.hpp"
#include "platform_standin/store_standin.hpp"
#include "tillerhall/core/random.hpp"
#include "tillerhall/core/worker.hpp"
#include "tillerhall/http/inbound_call.hpp"
#include "tillerhall/http/listener.hpp"
#include "tillerhall/http/whole_message.hpp"

#include <atomic>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <sys/types.h>
#include <vector>

namespace review
{

using namespace tillerhall;

/** Writes record.txt; each line begins with the seconds since the start. */
class record
{
public:
    explicit record(const std::string& path);
    void line(const std::string& text);
    double now_s() const;

private:
    std::ofstream m_file;
    time_point m_begin;
};

/** Disruptions of one backend; can be changed at run time. */
struct backend_faults
{
    /** Share of the requests that it rejects although it has free slots. */
    double shed = 0;
    /** Share of the answers of which a second copy comes late, in the place
     * where the next answer of the connection is due. */
    double extra_late = 0;
    /** For a control: no such copy before a request of the same id. */
    bool spares_repeats = false;
    /** Share of the runs that take `tail` times as long. */
    double tail_share = 0;
    int tail = 1;
    /** Time from the end of a run until its answer begins. */
    milliseconds answer_delay{0};
};

/** One run of a request at a backend. */
struct run_note
{
    std::string id;
    std::string backend;
    double begin_s = 0;
    double end_s = 0;  ///< 0 while it runs
    double work_s = 0; ///< how long it lasts if nothing ends it sooner
};

/** A sound backend: slots, a short queue, and a run for each request. It drops
 * a run whose connection closes. */
class backend
{
public:
    backend(worker& on, record& notes, std::string id, std::uint64_t seed);

    const address& where() const { return m_where; }
    const std::string& id() const { return m_id; }

    /** Crashes: its connections are reset and its port is closed. */
    void crash();
    /** Starts again at the same address, under the same id. */
    void start_again();
    /** From now on its status checks fail. */
    void begin_draining() { m_is_draining = true; }

    backend_faults& faults() { return m_faults; }
    const std::vector<run_note>& runs() const { return m_runs; }
    void set_work(milliseconds work) { m_work = work; }

    static constexpr int slots = 12;

private:
    static constexpr int max_waiting = 48;

    /** What a connection carries from one answer to the next. */
    struct connection
    {
        tcp_stream& stream;
        std::string late;    ///< copy of the last answer, not sent yet
        std::string late_id; ///< of its request
    };

    void serve(tcp_stream& stream);
    bool serve_one(inbound_call& call, connection& on);
    /** Waits for a slot. @return false if the request is rejected. */
    bool take_slot(time_point deadline);
    /** @return false if the connection was closed meanwhile. */
    bool work(connection& on, milliseconds span);
    bool
    send(inbound_call& call, connection& on, unsigned status, bool not_run);

    worker& m_worker;
    record& m_notes;
    std::string m_id;
    random_source m_random;
    address m_where;
    std::unique_ptr<listener> m_listener;
    std::vector<std::unique_ptr<listener>> m_closed_listeners;
    std::set<tcp_stream*> m_streams;
    backend_faults m_faults;
    std::vector<run_note> m_runs;
    int m_boot = 0;
    bool m_is_draining = false;
    milliseconds m_work{160};
    int m_running = 0;
    int m_waiting = 0;
};

/** How the standard output of a node is read. */
enum class output_reader
{
    file, ///< goes to a file
    pipe  ///< goes to a pipe, as to a collector of logs
};

/** A machine: a node process and the backend beside it. */
struct machine
{
    std::string service;
    std::string zone;
    std::string settings_path;
    std::string log_path;
    address rpc, peer, caller, operators, ready;
    std::shared_ptr<backend> app;
    std::shared_ptr<reporting_target> reporter; ///< sends its reports
    std::uint64_t born = 0;      ///< Unix milliseconds of the backend's start
    std::uint64_t sequence = 0;  ///< of its last report
    std::string state = "ready"; ///< in its reports
    bool reports = true;         ///< regularly
    bool gets_clients = true;    ///< see `lab::watch_ready`
    output_reader output = output_reader::file;
    pid_t pid = -1;
    unsigned own_ends = 0; ///< ends that the script did not cause
    std::shared_ptr<std::atomic<bool>> reads_output;

    /** The reader of the output stops reading; the pipe stays open. */
    void stop_reading() { *reads_output = false; }
};

/** An answer as a client sees it. */
struct seen
{
    unsigned status = 0; ///< 0: the connection ended without one
    bool sealed = false;
    double sent_s = 0;
    double at_s = 0;
};

/** Store, machines and what clients need. */
class lab
{
public:
    /** @param folder temporary folder for settings and logs
     * @param config text of the configuration */
    lab(worker& on,
        record& notes,
        std::string folder,
        const std::string& config,
        std::string node_program);

    /** Kills all processes that it started; it starts none afterwards. */
    void end();

    machine& add(const std::string& service, const std::string& zone);

    /** Starts all nodes and waits until each answers 200 when asked if it is
     * ready and has its backend. @return false if one does not. */
    bool start_all();

    void start(machine& at);

    bool is_ready(machine& at);

    /** Asks each node every second if it is ready, as the platform does: after
     * two failures its clients go elsewhere until it is ready again. */
    void watch_ready();

    /** @return the machine that the client of request @p number is at. */
    machine& machine_of(std::size_t number);

    /** Stops a node, ends it after the grace period and starts it again.
     * @return the time of SIGTERM */
    double restart_planned(machine& at);

    /** The backend deregisters. @return HTTP status, 0 if unanswered. */
    unsigned deregister(const machine& at);

    /** A new start of the backend begins to report. */
    void begin_reports(machine& at);

    /** Ends the process of a machine without a warning. */
    void kill(machine& at);

    /** Restarts processes that ended by themselves, and counts them. */
    void restart_ended();

    /** Resident memory in MB; 0 if the process has ended. */
    static double memory_mb(const machine& at);

    std::vector<std::unique_ptr<machine>>& machines() { return m_machines; }
    worker& on() { return m_worker; }
    record& notes() { return m_notes; }
    store_standin& store() { return *m_store; }

    /** All runs of each request id. */
    std::map<std::string, std::vector<run_note>> runs_by_id() const;

private:
    void write_settings(const machine& at);
    void send_reports(machine& at);
    address free_address();

    worker& m_worker;
    record& m_notes;
    std::string m_folder;
    std::string m_node_program;
    std::shared_ptr<store_standin> m_store;
    std::vector<std::unique_ptr<machine>> m_machines;
    std::vector<std::unique_ptr<listener>> m_reserved_ports;
    int m_next_port = 0;
    bool m_ended = false;
};

/** A request of a client. */
struct client_request
{
    std::string id;
    std::string method = "GET";
    std::string path;
    std::string host;
    std::string body;
    milliseconds left{3000};
    milliseconds leaves_after{0}; ///< closes the connection then, if not 0
    bool closes = false;          ///< sends "Connection: close"
};

/** The text of a request, up to the end of its head. */
std::string head_of(const client_request& request);

/** Sends one request on a new connection and reads the answer. */
seen call(lab& in, const address& node, const client_request& request);

/** A connection that a client keeps for many requests. */
class kept_connection
{
public:
    kept_connection(lab& in, address node)
        : m_in(in)
        , m_node(std::move(node))
    {
    }

    /** Sends one request and reads the answer; connects first if needed. */
    seen call(const client_request& request);

private:
    lab& m_in;
    address m_node;
    std::unique_ptr<tcp_stream> m_stream;
    std::string m_head;
};

} // namespace review
