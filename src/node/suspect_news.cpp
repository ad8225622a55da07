#include "tillerhall/node/suspect_news.hpp"
#include "tillerhall/node/blackboard.hpp"

#include <boost/json.hpp>

namespace tillerhall
{
namespace
{

void note_quarantined(journal& decisions,
                      const std::string& call,
                      const ends_under_call& known)
{
    boost::json::array owners;
    for (const auto& each : known.ends)
        owners.emplace_back(each.owner.text());
    decisions.note(
        "call_held", call, "targets crashed under it",
        {{"ends", known.ends.size()}, {"owners", std::move(owners)}});
}

} // namespace

void publish_suspects(blackboard& board, const member_list& members)
{
    const suspect_calls_ptr next(new suspect_calls(members));
    const auto before = board.suspects.get();
    board.suspects.set(next);
    if (next->empty())
        return;
    for (const auto& call : next->newly_held(*before, wall_clock_ms()))
        note_quarantined(board.decisions, call, *next->find(call));
}

} // namespace tillerhall
