/** @file A child process of a test or bench. */
#pragma once

#include "tillerhall/core/result.hpp"

#include <boost/json/object.hpp>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace tillerhall::harness
{

/** What the kernel says a process has used. */
struct process_usage
{
    double cpu_s = 0;
    double rss_mb = 0;
};

/** A process that this one started; it is killed with the object. */
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
     * Starts @p argv with standard error to @p log_path.
     * @param environment added to this process's own
     */
    result<void>
    start(const std::vector<std::string>& argv,
          const std::string& log_path,
          const std::map<std::string, std::string>& environment = {});

    /** Reads the one line of JSON by which it says where it listens. */
    result<boost::json::object> read_listening();

    void send(int signal) const;

    /** Waits for its end. @return the exit code, 128 + signal if killed. */
    int wait();

    /** Kills it and waits. */
    void kill();

    /** @return whether it still runs. */
    bool is_running();

    process_usage usage() const;

    pid_t pid() const noexcept { return m_pid; }

private:
    pid_t m_pid = -1;
    int m_out = -1;
    int m_code = -1;
};

/** @return the exit code and standard output of a program run to its end. */
struct run_output
{
    int code = -1;
    std::string out;
    std::string err;
};

/** Runs @p argv to its end on this thread; for short programs. */
run_output run(const std::vector<std::string>& argv,
               const std::map<std::string, std::string>& environment = {},
               const std::string& input = {});

/** @return the folder where the programs were built. */
std::string program_folder();

} // namespace tillerhall::harness
