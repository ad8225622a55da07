#include "load.hpp"

#include <algorithm>

namespace tillerhall::bench
{
namespace
{

/** Pool of idle connections to one address. */
class caller_pool
{
public:
    caller_pool(boost::asio::io_context& io, address through)
        : m_io(io)
        , m_through(std::move(through))
    {
    }

    std::unique_ptr<harness::caller> take()
    {
        if (m_idle.empty())
            return std::make_unique<harness::caller>(m_io, m_through);
        auto taken = std::move(m_idle.back());
        m_idle.pop_back();
        return taken;
    }

    void give_back(std::unique_ptr<harness::caller> used)
    {
        m_idle.push_back(std::move(used));
    }

private:
    boost::asio::io_context& m_io;
    address m_through;
    std::vector<std::unique_ptr<harness::caller>> m_idle;
};

} // namespace

std::unique_ptr<load_result>
run_load(worker& on, const load_plan& plan, call_ledger* ledger)
{
    auto result = std::make_unique<load_result>();
    std::vector<caller_pool> pools;
    for (const auto& each : plan.through)
        pools.emplace_back(on.io(), each);
    const auto begin = steady_clock::now();
    const std::chrono::duration<double> length = plan.length;
    const auto total = static_cast<std::size_t>(plan.rate * length.count());
    std::size_t finished = 0;
    for (std::size_t i = 0; i < total; ++i)
    {
        const auto due = begin + std::chrono::duration_cast<duration>(
                                     std::chrono::duration<double>(
                                         static_cast<double>(i) / plan.rate));
        const auto now = steady_clock::now();
        if (due > now)
            sleep_for(on.io(), due - now);
        ++result->sent;
        on.spawn(
            [&, i, due]
            {
                auto& pool = pools[i % pools.size()];
                auto from = pool.take();
                const auto call = plan.make(i);
                const auto outcome = from->call(call);
                pool.give_back(std::move(from));
                const std::chrono::duration<double, std::milli> took =
                    steady_clock::now() - due;
                if (outcome.is_good())
                {
                    ++result->good;
                    result->latencies_ms.push_back(took.count());
                }
                if (ledger != nullptr)
                    ledger->record(call.id, outcome);
                ++finished;
            });
    }
    while (finished < total)
        sleep_for(on.io(), milliseconds(5));
    const std::chrono::duration<double> spent = steady_clock::now() - begin;
    result->seconds = spent.count();
    return result;
}

} // namespace tillerhall::bench
