/** @file What the experiments of `tiller-bench` share. */
#pragma once

#include "harness/cluster.hpp"

#include <boost/json/object.hpp>
#include <cxxopts.hpp>
#include <span>
#include <string>
#include <string_view>

namespace tillerhall::bench
{

/** One experiment. It ends with a RESULT line and 0 if all held. */
struct experiment
{
    std::string_view name;
    std::string_view summary;
    int (*run)(worker& on, const cxxopts::ParseResult& options);
};

/** Prints "RESULT {json}" and appends the figures to results/NAME.csv. */
void report(const std::string& name, const boost::json::object& result);

/** Prints one line of progress. */
void say(const std::string& line);

/** @return the value below which @p share of @p values lie; 0 if empty. */
double quantile(std::vector<double> values, double share);

/** Wall and control figures of all nodes at one moment. */
struct fleet_sample
{
    double control_bytes = 0; ///< mean a node, in and out
    double cpu_s = 0;         ///< mean a node
    double rss_mb = 0;        ///< mean a node
    double source_reads = 0;
    double source_bytes = 0;
    time_point at{};
};

fleet_sample sample_fleet(harness::cluster& system);

int run_demo(worker& on, const cxxopts::ParseResult& options);
int run_convergence(worker& on, const cxxopts::ParseResult& options);
int run_storm(worker& on, const cxxopts::ParseResult& options);
int run_faults(worker& on, const cxxopts::ParseResult& options);
int run_requests(worker& on, const cxxopts::ParseResult& options);
int run_claims(worker& on, const cxxopts::ParseResult& options);
int run_slopes(worker& on, const cxxopts::ParseResult& options);
int run_bodies(worker& on, const cxxopts::ParseResult& options);
int run_drain(worker& on, const cxxopts::ParseResult& options);

} // namespace tillerhall::bench
