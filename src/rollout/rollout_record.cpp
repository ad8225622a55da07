#include "tillerhall/rollout/rollout_record.hpp"

#include <algorithm>
#include <boost/json.hpp>
#include <iterator>
#include <set>
#include <stdexcept>

namespace tillerhall
{
namespace
{

namespace json = boost::json;

/** Adds names, sorted and limited, so that all nodes keep the same ones.
 * @return whether @p to changed. */
bool add_names(std::vector<std::string>& to,
               const std::vector<std::string>& offered,
               std::size_t max_count)
{
    std::set<std::string> all(to.begin(), to.end());
    all.insert(offered.begin(), offered.end());
    std::vector<std::string> merged(all.begin(), all.end());
    merged.resize(std::min(merged.size(), max_count));
    const bool changed = merged != to;
    to = std::move(merged);
    return changed;
}

/** @return the releases that are closed once a newer order replaces @p before.
 */
std::vector<std::string> closed_after(const rollout_record& before)
{
    auto closed = before.closed;
    if (before.state != rollout_state::completed &&
        before.order.release != before.stable)
        add_names(closed, {before.order.release}, rollout_record::max_closed);
    return closed;
}

bool replace(rollout_record& known, const rollout_record& offered)
{
    auto next = offered;
    if (next.stable.empty())
        next.stable = stable_release(known);
    add_names(next.closed, closed_after(known), rollout_record::max_closed);
    // A new order reopens its release.
    std::erase(next.closed, next.order.release);
    known = std::move(next);
    return true;
}

/** Sets @p to to the greater of both. @return whether @p to changed. */
template <class T>
bool take_greater(T& to, const T& offered)
{
    if (!(to < offered))
        return false;
    to = offered;
    return true;
}

/** Reads a duration, limited so that adding it to a time cannot overflow. */
milliseconds span_from(const json::value& value)
{
    constexpr std::chrono::hours max_span{24 * 366};
    const auto number = json::value_to<std::int64_t>(value);
    if (number < 0 || number > std::chrono::milliseconds(max_span).count())
        throw std::out_of_range("no span of a roll-out");
    return milliseconds(number);
}

template <class Enum>
Enum enum_from(const json::value& value, Enum last)
{
    const auto number = json::value_to<std::uint64_t>(value);
    if (number > static_cast<std::uint64_t>(last))
        throw std::out_of_range("unknown state of a roll-out");
    return static_cast<Enum>(number);
}

} // namespace

bool merge(rollout_record& known, const rollout_record& offered)
{
    if (offered.order.revision != known.order.revision)
        return offered.order.revision > known.order.revision &&
               replace(known, offered);
    bool changed = take_greater(known.stage, offered.stage);
    if (offered.state > known.state)
    {
        known.state = offered.state;
        known.reason = offered.reason;
        changed = true;
    }
    if (known.stable.empty() && !offered.stable.empty())
    {
        known.stable = offered.stable;
        changed = true;
    }
    known.begun = std::min(known.begun, offered.begun);
    changed |= add_names(known.regressed_targets, offered.regressed_targets,
                         rollout_record::max_regressed_targets);
    changed |=
        add_names(known.closed, offered.closed, rollout_record::max_closed);
    return changed;
}

bool is_closed(const rollout_record& known, const std::string& release)
{
    if (known.state == rollout_state::rolled_back &&
        release == known.order.release)
        return true;
    // Targets of the old release may stop without notice in this state.
    if (known.state == rollout_state::completed && release == known.stable &&
        release != known.order.release)
        return true;
    return std::ranges::find(known.closed, release) != known.closed.end();
}

const std::string& stable_release(const rollout_record& known)
{
    return known.state == rollout_state::completed ? known.order.release
                                                   : known.stable;
}

json::value to_json(const rollout_record& sent, time_point now)
{
    return json::array{sent.order.service,
                       sent.order.release,
                       sent.order.time.count(),
                       sent.order.revision,
                       to_ms(now - sent.begun),
                       sent.stable,
                       static_cast<int>(sent.state),
                       static_cast<int>(sent.stage),
                       sent.reason,
                       json::value_from(sent.regressed_targets),
                       json::value_from(sent.closed)};
}

rollout_record rollout_record_from_json(const json::value& value,
                                        time_point now)
{
    const auto& cells = value.as_array();
    std::size_t next = 0;
    const auto text = [&]
    { return json::value_to<std::string>(cells.at(next++)); };
    rollout_record read;
    read.order.service = text();
    read.order.release = text();
    read.order.time = span_from(cells.at(next++));
    read.order.revision = json::value_to<std::uint64_t>(cells.at(next++));
    read.begun = now - span_from(cells.at(next++));
    read.stable = text();
    read.state = enum_from(cells.at(next++), rollout_state::completed);
    read.stage = enum_from(cells.at(next++), rollout_stage::all);
    read.reason = text();
    read.regressed_targets =
        json::value_to<std::vector<std::string>>(cells.at(next++));
    read.closed = json::value_to<std::vector<std::string>>(cells.at(next++));
    return read;
}

} // namespace tillerhall
