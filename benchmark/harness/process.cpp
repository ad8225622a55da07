#include "harness/process.hpp"

#include <array>
#include <boost/json.hpp>
#include <cerrno>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <poll.h>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <unistd.h>

namespace tillerhall::harness
{
namespace
{

constexpr int startup_timeout_ms = 30'000;

/** Null-terminated array of C strings for posix_spawn, with its storage. */
struct c_string_array
{
    explicit c_string_array(std::vector<std::string> given)
        : texts(std::move(given))
    {
        for (auto& each : texts)
            pointers.push_back(each.data());
        pointers.push_back(nullptr);
    }

    std::vector<std::string> texts;
    std::vector<char*> pointers;
};

std::vector<std::string>
environment_with(const std::map<std::string, std::string>& added)
{
    std::vector<std::string> all;
    for (char** each = environ; *each != nullptr; ++each)
    {
        const std::string entry = *each;
        if (!added.contains(entry.substr(0, entry.find('='))))
            all.push_back(entry);
    }
    for (const auto& [name, value] : added)
        all.push_back(name + "=" + value);
    return all;
}

int exit_code(int status)
{
    constexpr int signal_exit_base = 128;
    return WIFEXITED(status) ? WEXITSTATUS(status)
                             : signal_exit_base + WTERMSIG(status);
}

std::string read_all(int file)
{
    std::string text;
    std::array<char, 4096> chunk{};
    ssize_t size = 0;
    while ((size = ::read(file, chunk.data(), chunk.size())) > 0)
        text.append(chunk.data(), static_cast<std::size_t>(size));
    ::close(file);
    return text;
}

} // namespace

process::~process()
{
    kill();
    if (m_stdout >= 0)
        ::close(m_stdout);
}

process::process(process&& other) noexcept
    : m_pid(std::exchange(other.m_pid, -1))
    , m_stdout(std::exchange(other.m_stdout, -1))
    , m_exit_code(other.m_exit_code)
{
}

process& process::operator=(process&& other) noexcept
{
    std::swap(m_pid, other.m_pid);
    std::swap(m_stdout, other.m_stdout);
    std::swap(m_exit_code, other.m_exit_code);
    return *this;
}

result<void>
process::start(const std::vector<std::string>& argv,
               const std::string& log_path,
               const std::map<std::string, std::string>& environment)
{
    kill();
    std::array<int, 2> pipe{};
    if (::pipe2(pipe.data(), O_CLOEXEC) != 0)
        return error(error_code::internal_error, "cannot create a pipe");
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, pipe[1], STDOUT_FILENO);
    posix_spawn_file_actions_addopen(&actions, STDERR_FILENO, log_path.c_str(),
                                     O_WRONLY | O_CREAT | O_APPEND, 0644);
    // An inherited listening socket would keep accepting connections that
    // nobody serves after this process closes it.
    posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
    c_string_array arguments(argv);
    c_string_array variables(environment_with(environment));
    const int failed =
        ::posix_spawn(&m_pid, argv[0].c_str(), &actions, nullptr,
                      arguments.pointers.data(), variables.pointers.data());
    posix_spawn_file_actions_destroy(&actions);
    ::close(pipe[1]);
    if (m_stdout >= 0)
        ::close(m_stdout);
    m_stdout = pipe[0];
    m_exit_code = -1;
    if (failed == 0)
        return {};
    m_pid = -1;
    return error(error_code::not_found,
                 "cannot start " + argv[0] + ": " + std::strerror(failed),
                 "build the programs first: scripts/build");
}

result<boost::json::object> process::read_listening()
{
    std::string line;
    char byte = 0;
    while (byte != '\n')
    {
        pollfd waiting{m_stdout, POLLIN, 0};
        if (::poll(&waiting, 1, startup_timeout_ms) != 1 ||
            ::read(m_stdout, &byte, 1) != 1)
            return error(error_code::not_ready,
                         "the program exited before it listened",
                         "see its log");
        line.push_back(byte);
    }
    boost::system::error_code failed;
    auto value = boost::json::parse(line, failed);
    if (failed || !value.is_object())
        return error(error_code::protocol_error, "unexpected line: " + line);
    return std::move(value.as_object());
}

void process::send(int signal) const
{
    if (m_pid > 0)
        ::kill(m_pid, signal);
}

int process::wait()
{
    if (m_pid <= 0)
        return m_exit_code;
    int status = 0;
    while (::waitpid(m_pid, &status, 0) < 0 && errno == EINTR)
    {
    }
    m_pid = -1;
    m_exit_code = exit_code(status);
    return m_exit_code;
}

void process::kill()
{
    if (m_pid <= 0)
        return;
    send(SIGKILL);
    wait();
}

bool process::is_running()
{
    if (m_pid <= 0)
        return false;
    int status = 0;
    if (::waitpid(m_pid, &status, WNOHANG) != m_pid)
        return true;
    m_pid = -1;
    m_exit_code = exit_code(status);
    return false;
}

process_usage process::usage() const
{
    process_usage used;
    std::ifstream stat("/proc/" + std::to_string(m_pid) + "/stat");
    std::string text;
    std::getline(stat, text);
    const auto after_name = text.rfind(')');
    if (after_name == std::string::npos)
        return used;
    std::istringstream fields(text.substr(after_name + 2));
    std::vector<std::string> values;
    for (std::string value; fields >> value;)
        values.push_back(value);
    // Fields 14, 15 and 24 of proc(5), counted from the state, field 3.
    constexpr std::size_t user = 11;
    constexpr std::size_t system = 12;
    constexpr std::size_t resident = 21;
    const auto ticks = std::stod(values[user]) + std::stod(values[system]);
    used.cpu_s = ticks / static_cast<double>(::sysconf(_SC_CLK_TCK));
    used.rss_mb = std::stod(values[resident]) *
                  static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
    return used;
}

run_output run(const std::vector<std::string>& argv,
               const std::map<std::string, std::string>& environment,
               const std::string& input)
{
    std::array<int, 2> in{};
    std::array<int, 2> out{};
    std::array<int, 2> err{};
    run_output output;
    if (::pipe2(in.data(), O_CLOEXEC) != 0 ||
        ::pipe2(out.data(), O_CLOEXEC) != 0 ||
        ::pipe2(err.data(), O_CLOEXEC) != 0)
        return output;
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_adddup2(&actions, in[0], STDIN_FILENO);
    posix_spawn_file_actions_adddup2(&actions, out[1], STDOUT_FILENO);
    posix_spawn_file_actions_adddup2(&actions, err[1], STDERR_FILENO);
    c_string_array arguments(argv);
    c_string_array variables(environment_with(environment));
    pid_t pid = -1;
    const int failed =
        ::posix_spawn(&pid, argv[0].c_str(), &actions, nullptr,
                      arguments.pointers.data(), variables.pointers.data());
    posix_spawn_file_actions_destroy(&actions);
    ::close(in[0]);
    ::close(out[1]);
    ::close(err[1]);
    if (failed == 0 && !input.empty())
        (void)!::write(in[1], input.data(), input.size());
    ::close(in[1]);
    output.out = read_all(out[0]);
    output.err = read_all(err[0]);
    if (failed != 0)
        return output;
    int status = 0;
    ::waitpid(pid, &status, 0);
    output.code = exit_code(status);
    return output;
}

std::string program_folder()
{
    return std::filesystem::read_symlink("/proc/self/exe").parent_path();
}

} // namespace tillerhall::harness
