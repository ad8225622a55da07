/** @file Shared parts of the experiments of `tiller-bench`. */
#pragma once

#include "harness/cluster.hpp"

#include <boost/json/object.hpp>
#include <cxxopts.hpp>
#include <span>
#include <string>
#include <string_view>

namespace tillerhall::bench
{

/** An experiment. It prints a RESULT line and returns 0 if its checks pass. */
struct experiment
{
    std::string_view name;
    std::string_view summary;
    int (*run)(worker& on, const cxxopts::ParseResult& options);
};

/** Prints "RESULT {json}" and appends it to results/NAME.csv. */
void report(const std::string& name, const boost::json::object& result);

/** Prints a progress line to standard output. */
void print_progress(const std::string& line);

/** @return the @p share quantile (0 to 1) of @p values ; 0 if empty. */
double quantile(std::vector<double> values, double share);

/** Resource use and control traffic of all nodes at one time. */
struct fleet_sample
{
    double control_bytes = 0; ///< mean per node, in and out
    double cpu_s = 0;         ///< mean per node
    double rss_mb = 0;        ///< mean per node
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
