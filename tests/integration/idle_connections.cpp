/** @file Clients that keep more connections than a node has descriptors.
 *
 * Guards against nodes that answer nobody else then. */
#include "client_crowd.hpp"

#include <sys/resource.h>

using namespace tillerhall;
using namespace tillerhall::harness;

namespace
{

// Low enough for a crowd of a few hundred connections.
constexpr rlim_t descriptor_limit = 400;

/** Lowers the limit of open files of the processes that are started
 * meanwhile. */
class lowered_descriptor_limit
{
public:
    explicit lowered_descriptor_limit(rlim_t limit)
    {
        ::getrlimit(RLIMIT_NOFILE, &m_previous);
        set({limit, m_previous.rlim_max});
    }
    ~lowered_descriptor_limit() { set(m_previous); }
    lowered_descriptor_limit(const lowered_descriptor_limit&) = delete;
    lowered_descriptor_limit&
    operator=(const lowered_descriptor_limit&) = delete;

private:
    static void set(const rlimit& limit) { ::setrlimit(RLIMIT_NOFILE, &limit); }

    rlimit m_previous{};
};

} // namespace

TEST_CASE("idle connections leave descriptors for others")
{
    on_worker(
        [&](worker& on)
        {
            std::optional<lowered_descriptor_limit> lowered(descriptor_limit);
            crowded_system system(on);
            lowered.reset();
            auto& first = system.hosts()[0];
            crowd clients(on, first.at["caller"]);
            for (rlim_t i = 0; i < descriptor_limit; ++i)
                clients.open();
            CHECK(open_descriptors(first.node.pid()) < descriptor_limit);
            system.check_serves();
            const auto lines = system.lines_of(first, "connections_closed");
            REQUIRE(lines.size() == 1);
            CHECK(lines.front().at("subject").as_string() == "clients");
            CHECK(system.metrics_of(first).find(
                      "\ntillerhall_connections_closed_total ") !=
                  std::string::npos);
        });
}
