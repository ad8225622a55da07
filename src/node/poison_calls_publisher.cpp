#include "tillerhall/node/poison_calls_publisher.hpp"
#include "tillerhall/node/blackboard.hpp"

#include <boost/json.hpp>

namespace tillerhall
{
namespace
{

void note_quarantined(journal& decisions,
                      const std::string& call,
                      const crashes_under_call& known)
{
    boost::json::array owners;
    for (const auto& each : known.crashes)
        owners.emplace_back(each.owner.text());
    decisions.note(
        "call_held", call, "targets crashed under it",
        {{"ends", known.crashes.size()}, {"owners", std::move(owners)}});
}

} // namespace

void publish_poison_calls(blackboard& board, const member_list& members)
{
    const poison_calls_ptr next(new poison_calls(members));
    const auto before = board.poison_view.get();
    board.poison_view.set(next);
    if (next->empty())
        return;
    for (const auto& call : next->newly_quarantined(*before, wall_clock_ms()))
        note_quarantined(board.decisions, call, *next->find(call));
}

} // namespace tillerhall
