/** @file End-to-end demonstration with real processes. */
#include "experiment.hpp"
#include "harness/caller.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <csignal>
#include <fstream>
#include <optional>
#include <set>
#include <sstream>

namespace tillerhall::bench
{
namespace
{

using harness::call_outcome;
using harness::caller;

/** The steps of the demonstration on one system. */
class demo
{
public:
    demo(worker& on, const harness::cluster_options& options)
        : m_worker(on)
        , m_system(on, options)
        , m_service(options.placements.front().service)
        , m_place(options.placements.front().domain)
    {
    }

    int run()
    {
        print_progress("starting platform, targets and nodes");
        if (const auto started = m_system.start(); !started)
        {
            print_progress(started.reason().message());
            return 1;
        }
        const auto begin = sample_fleet(m_system);
        first_table();
        print_progress("calling every service through every node");
        call_everywhere();
        edit_and_accept();
        check_edited_weight();
        check_burn_report();
        restore_weight();
        kill_and_restart();
        const auto end = sample_fleet(m_system);
        return finish(begin, end);
    }

private:
    /** Runs the operators' command line against the first nodes. */
    std::string tiller(const std::vector<std::string>& arguments)
    {
        std::vector<std::string> argv{harness::program_folder() + "/tiller"};
        argv.insert(argv.end(), arguments.begin(), arguments.end());
        std::string nodes;
        for (std::size_t i = 0;
             i < std::min<std::size_t>(3, m_system.nodes().size()); ++i)
            nodes += (i == 0 ? "" : ",") + m_system.nodes()[i].operators.text();
        const auto output =
            harness::run(argv, {{"TILLER_NODES", nodes},
                                {"TILLER_TOKEN", m_system.token()}});
        std::string shown = "$ tiller";
        for (const auto& each : arguments)
            shown += " " + (each.starts_with(m_system.folder())
                                ? each.substr(m_system.folder().size() + 1)
                                : each);
        print_progress(shown);
        std::istringstream lines(output.out + output.err);
        for (std::string line; std::getline(lines, line);)
            if (arguments[0] != "show")
                print_progress("  " + line);
        expect(output.code == 0, "tiller " + arguments[0] + " exits 0");
        return output.out;
    }

    void expect(bool passed, const std::string& what)
    {
        if (passed)
            return;
        print_progress("FAILED: " + what);
        m_passed = false;
    }

    std::string draft() const { return m_system.folder() + "/draft.csv"; }

    void first_table()
    {
        std::ofstream(draft()) << m_system.default_table();
        tiller({"accept", draft(), "--base", "0", "--watch"});
    }

    void call_everywhere()
    {
        std::set<std::string> services;
        for (const auto& each : m_system.nodes())
            services.insert(each.place.service);
        for (auto& node : m_system.nodes())
        {
            if (!node.runs.is_running())
                continue;
            caller from(m_worker.io(), node.caller);
            for (const auto& service : services)
                call(from, service);
        }
    }

    call_outcome call(caller& from, const std::string& service)
    {
        const auto id = "demo-" + std::to_string(++m_calls);
        const auto outcome = from.call({service, id});
        if (outcome.is_good() && outcome.id == id)
            ++m_ok;
        else if (outcome.is_good())
            ++m_wrong;
        else
            print_progress("  call " + id + " to " + service + ": " +
                           std::to_string(outcome.status) + " " +
                           outcome.outcome + " " + outcome.body);
        return outcome;
    }

    void edit_and_accept()
    {
        std::ofstream(draft()) << tiller({"show"});
        tiller({"edit", draft(), m_service, m_place, "weight=0",
                "max_in_flight=3"});
        tiller({"check", draft()});
        const auto before = m_system.version(0);
        tiller({"accept", draft(), "--watch"});
        for (std::size_t i = 0; i < m_system.nodes().size(); ++i)
        {
            const auto status = m_system.status(i);
            expect(!status.empty() &&
                       status.at("version").to_number<std::int64_t>() ==
                           before + 1,
                   "node " + std::to_string(i) + " runs the new version");
            const auto took_us =
                status.at("applied_us").to_number<std::int64_t>() -
                status.at("accepted_us").to_number<std::int64_t>();
            m_convergence_ms =
                std::max(m_convergence_ms, static_cast<double>(took_us) / 1000);
        }
    }

    /** Checks that calls avoid the place whose weight was set to 0. */
    void check_edited_weight()
    {
        std::set<std::string> excluded_targets;
        for (const auto& each : m_system.nodes())
            if (each.place.service == m_service && each.place.domain == m_place)
                excluded_targets.insert(each.target.text());
        int served_there = 0;
        caller from(m_worker.io(), m_system.nodes().front().caller);
        constexpr int calls = 60;
        for (int i = 0; i < calls; ++i)
            if (excluded_targets.contains(call(from, m_service).target))
                ++served_there;
        print_progress(std::to_string(calls) + " calls to " + m_service + ": " +
                       std::to_string(served_there) + " went to " + m_place +
                       ", whose weight is now 0");
        expect(served_there == 0, "calls respect the edited weight");
    }

    /** Checks that the burn report names the target that was made slow. */
    void check_burn_report()
    {
        const auto& slow = m_system.nodes()[1];
        print_progress("making the target of " + slow.place.service + " at " +
                       slow.place.domain + " slow");
        for (std::size_t i = 0; i < m_system.nodes().size(); ++i)
            if (m_system.nodes()[i].place.service == slow.place.service &&
                m_system.nodes()[i].place.domain == slow.place.domain)
                m_system.set_target(i, {{"service_ms", 120}});
        caller from(m_worker.io(), m_system.nodes().front().caller);
        constexpr int calls = 40;
        for (int i = 0; i < calls; ++i)
            call(from, slow.place.service);
        const auto shown = tiller({"report", "burn"});
        std::istringstream lines(shown);
        std::string first;
        std::getline(lines, first); // the header; the worst row is next
        std::getline(lines, first);
        expect(first.find(slow.place.service) != std::string::npos &&
                   first.find(slow.place.domain) != std::string::npos &&
                   first.find("page") != std::string::npos,
               "the burn report names the slow service and place");
    }

    /** Lets the place take calls again, so that the next step can take a node
     * away. */
    void restore_weight()
    {
        std::ofstream(draft()) << tiller({"show"});
        tiller({"edit", draft(), m_service, m_place, "weight=100"});
        tiller({"accept", draft(), "--watch"});
    }

    /** @return the last node whose service another node serves as well. */
    std::optional<std::size_t> dispensable_node()
    {
        const auto& nodes = m_system.nodes();
        for (auto index = nodes.size(); index-- > 0;)
            if (std::ranges::count_if(nodes,
                                      [&](const harness::node_process& each) {
                                          return each.place.service ==
                                                 nodes[index].place.service;
                                      }) > 1)
                return index;
        return std::nullopt;
    }

    void kill_and_restart()
    {
        const auto found = dispensable_node();
        if (!found)
            return print_progress("no service has two nodes: none is killed");
        const auto index = *found;
        auto& victim = m_system.nodes()[index];
        print_progress("killing node " + victim.rpc.text());
        victim.runs.kill();
        call_everywhere();
        if (const auto restarted = m_system.restart(index); !restarted)
            print_progress(restarted.reason().message());
        const bool recovered = m_system.wait_until(
            [&] { return m_system.version(index) == m_system.version(0); });
        expect(recovered, "the restarted node has the newest table");
        const bool ready = m_system.wait_until(
            [&]
            {
                const auto status = m_system.status(index);
                return !status.empty() &&
                       status.at("phase").as_string() == "ready";
            });
        expect(ready, "the restarted node is ready");
        print_progress("node " + victim.rpc.text() + " is back at version " +
                       std::to_string(m_system.version(index)));
        expect(m_system.wait_until(
                   [&] {
                       return m_system.knows_all_targets(0) &&
                              m_system.knows_all_targets(index);
                   }),
               "the restarted node and the others know each other");
        call_everywhere();
        tiller({"nodes"});
    }

    int finish(const fleet_sample& begin, const fleet_sample& end)
    {
        expect(m_wrong == 0, "no call got another call's answer");
        expect(m_ok == m_calls, "every call was answered");
        report("demo", {{"nodes", m_system.nodes().size()},
                        {"convergence_ms", m_convergence_ms},
                        {"control_bytes_per_node",
                         static_cast<std::int64_t>(end.control_bytes -
                                                   begin.control_bytes)},
                        {"calls_ok", m_ok},
                        {"calls_wrong", m_wrong}});
        return m_passed ? 0 : 1;
    }

    worker& m_worker;
    harness::cluster m_system;
    std::string m_service;
    std::string m_place;
    int m_calls = 0;
    int m_ok = 0;
    int m_wrong = 0;
    double m_convergence_ms = 0;
    bool m_passed = true;
};

} // namespace

int run_demo(worker& on, const cxxopts::ParseResult& options)
{
    const auto nodes = options["nodes"].as<std::size_t>();
    const auto name = options["profile"].as<std::string>();
    auto built = harness::profile(name, nodes);
    for (const auto& each : built.placements)
        built.settings["objectives." + each.service] =
            "{answered_percent: 99.9, within_ms: 60}";
    return demo(on, built).run();
}

} // namespace tillerhall::bench
