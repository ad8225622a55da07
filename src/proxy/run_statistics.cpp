#include "tillerhall/proxy/run_statistics.hpp"

namespace tillerhall
{
namespace
{

bool is_good(const owner_answer& answer)
{
    return answer.end == call_end::answered &&
           !is_server_error(answer.response->result_int());
}

} // namespace

void run_statistics::set_target(const std::string& id)
{
    if (id == m_target_id)
        return;
    m_target_id = id;
    m_started = 0;
    m_counts.clear();
}

void run_statistics::run_started(const std::string& id)
{
    set_target(id);
    ++m_started;
}

void run_statistics::run_finished(const std::string& id,
                                  const work_class& work,
                                  const owner_answer& answer,
                                  const run_context& context)
{
    const bool good = is_good(answer);
    if (id != m_target_id || answer.end == call_end::not_run ||
        answer.end == call_end::cancelled ||
        (!good && context.nested_call_failed))
        return;
    auto& counts = m_counts[work];
    // A run cut short by its deadline shows its speed, not a failure.
    const bool was_cut = answer.end == call_end::timed_out;
    if (!was_cut)
        ++counts.ended;
    if (!was_cut && !good)
        ++counts.failed;
    // A failed run may have ended early, so its time is not counted.
    if (!context.is_cold && (good || was_cut))
        ++counts.took[run_counts::bucket_of(context.took)];
}

} // namespace tillerhall
