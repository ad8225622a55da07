/** @file A child process of a test or benchmark. */
#pragma once

#include "tillerhall/core/result.hpp"

#include <boost/json/object.hpp>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace tillerhall::harness
{

/** Processor time and memory of a process, from /proc. */
struct process_usage
{
    double cpu_s = 0;
    double rss_mb = 0;
};

/** A child process; the destructor kills it. */
class process
{
public:
    process() = default;
    ~process();

    process(process&& other) noexcept;
    process& operator=(process&& other) noexcept;
    process(const process&) = delete;
    process& operator=(const process&) = delete;

    /**
     * Starts @p argv and appends its standard error to @p log_path .
     * @param environment variables added to those of this process
     */
    result<void>
    start(const std::vector<std::string>& argv,
          const std::string& log_path,
          const std::map<std::string, std::string>& environment = {});

    /** Reads the JSON line with its listening addresses from its output. */
    result<boost::json::object> read_listening();

    void send(int signal) const;

    /** Waits until it exits. @return exit code, 128 + signal if killed. */
    int wait();

    /** Kills it and waits. */
    void kill();

    bool is_running();

    process_usage usage() const;

    pid_t pid() const noexcept { return m_pid; }

private:
    pid_t m_pid = -1;
    int m_stdout = -1;
    int m_exit_code = -1;
};

/** Exit code and output of a finished program. */
struct run_output
{
    int code = -1;
    std::string out;
    std::string err;
};

/** Runs @p argv and blocks this thread until it exits. */
run_output run(const std::vector<std::string>& argv,
               const std::map<std::string, std::string>& environment = {},
               const std::string& input = {});

/** @return the directory of the running executable. */
std::string program_folder();

} // namespace tillerhall::harness
