#include "tillerhall/membership/member.hpp"
#include "tillerhall/core/digest.hpp"

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <tuple>

namespace tillerhall
{
namespace
{

namespace json = boost::json;

constexpr std::array<std::string_view, 4> member_state_names{"alive", "leaving",
                                                             "suspect", "dead"};
constexpr std::array<std::string_view, 3> target_state_names{
    "serving", "draining", "down"};

/** Array indexes in the compact form. */
enum field : std::size_t
{
    rpc_address,
    peer_port,
    caller_port,
    operator_port,
    region,
    domain,
    service,
    target,
    target_is,
    state,
    incarnation,
    field_count, ///< of the first format; all later fields are optional
    target_id = field_count,
    departed_targets,
    link_mbps,
    target_crashes, ///< written only if it or a later field is not empty
    good_runs,
    release
};

address with_port(const address& base, const json::value& port)
{
    return {base.ip, json::value_to<std::uint16_t>(port)};
}

/** Reads an enumerator; throws std::out_of_range if @p count is exceeded. */
template <class Enum>
Enum enum_from(const json::value& value, std::size_t count)
{
    const auto number = json::value_to<std::uint64_t>(value);
    if (number >= count)
        throw std::out_of_range("unknown state");
    return static_cast<Enum>(number);
}

json::value to_json(const target_crash& sent)
{
    return json::array{sent.target_id, sent.at_ms,
                       json::value_from(sent.calls)};
}

target_crash target_crash_from(const json::value& value)
{
    const auto& cells = value.as_array();
    return {json::value_to<std::string>(cells.at(0)),
            json::value_to<std::uint64_t>(cells.at(1)),
            json::value_to<std::vector<std::string>>(cells.at(2))};
}

json::value to_json(const good_run& sent)
{
    return json::array{sent.call, sent.at_ms};
}

good_run good_run_from(const json::value& value)
{
    const auto& cells = value.as_array();
    return {json::value_to<std::string>(cells.at(0)),
            json::value_to<std::uint64_t>(cells.at(1))};
}

template <class Event>
json::array to_json_array(const std::vector<Event>& events)
{
    json::array list;
    for (const auto& each : events)
        list.push_back(to_json(each));
    return list;
}

auto sort_key(const target_crash& event)
{
    return std::tie(event.at_ms, event.target_id);
}

auto sort_key(const good_run& event)
{
    return std::tie(event.at_ms, event.call);
}

/** Merges @p offered into @p to and keeps the newest. The result doesn't depend
 * on the order of merges. @return true if @p to changed. */
template <class Event>
bool add_newest(std::vector<Event>& to,
                const std::vector<Event>& offered,
                std::size_t max_kept)
{
    auto all = to;
    std::ranges::copy_if(offered, std::back_inserter(all),
                         [&](const Event& each)
                         { return std::ranges::find(to, each) == to.end(); });
    std::ranges::sort(all, {},
                      [](const Event& each) { return sort_key(each); });
    if (all.size() > max_kept)
        all.erase(all.begin(),
                  all.end() - static_cast<std::ptrdiff_t>(max_kept));
    const bool changed = all != to;
    to = std::move(all);
    return changed;
}

address address_from(const json::value& value)
{
    const auto parsed = address::parse(value.as_string().c_str());
    if (!parsed)
        throw std::invalid_argument(parsed.reason().detail());
    return *parsed;
}

} // namespace

std::string_view name_of(member_state state) noexcept
{
    return member_state_names[static_cast<std::size_t>(state)];
}

std::string_view name_of(target_state state) noexcept
{
    return target_state_names[static_cast<std::size_t>(state)];
}

bool is_later(std::uint64_t incarnation, std::uint64_t than) noexcept
{
    constexpr std::uint64_t half = std::uint64_t{1} << 63;
    const auto ahead = incarnation - than;
    return ahead == half ? incarnation > than : ahead != 0 && ahead < half;
}

std::uint64_t incarnation_after(std::uint64_t one, std::uint64_t other) noexcept
{
    return (is_later(one, other) ? one : other) + 1;
}

bool supersedes(const member& offered, const member& known) noexcept
{
    if (offered.incarnation != known.incarnation)
        return is_later(offered.incarnation, known.incarnation);
    return offered.state > known.state;
}

bool add_departed_targets(member& to, const std::vector<std::string>& left)
{
    constexpr std::size_t max_kept = 8;
    std::vector<std::string> missing;
    std::ranges::copy_if(left, std::back_inserter(missing),
                         [&](const std::string& id)
                         {
                             return std::ranges::find(to.departed_targets,
                                                      id) ==
                                    to.departed_targets.end();
                         });
    // Entries of the record itself are newer.
    to.departed_targets.insert(to.departed_targets.begin(), missing.begin(),
                               missing.end());
    if (to.departed_targets.size() > max_kept)
        to.departed_targets.erase(to.departed_targets.begin(),
                                  to.departed_targets.end() - max_kept);
    return !missing.empty();
}

bool takes_calls(const member& checked) noexcept
{
    return checked.state == member_state::alive &&
           checked.target_is == target_state::serving;
}

bool serves_while_leaving(const member& checked) noexcept
{
    return checked.state == member_state::leaving &&
           checked.target_is == target_state::serving;
}

bool is_live(const member& checked) noexcept
{
    return checked.state == member_state::alive ||
           checked.state == member_state::leaving;
}

bool add_target_crashes(member& to, const std::vector<target_crash>& crashes)
{
    constexpr std::size_t max_kept = 4;
    return add_newest(to.target_crashes, crashes, max_kept);
}

bool add_good_runs(member& to, const std::vector<good_run>& runs)
{
    constexpr std::size_t max_kept = 16;
    return add_newest(to.good_runs, runs, max_kept);
}

bool forget_crash_evidence(member& of, std::uint64_t oldest_ms)
{
    const auto is_old = [&](const auto& each)
    { return each.at_ms < oldest_ms; };
    const auto crashes = std::erase_if(of.target_crashes, is_old);
    const auto runs = std::erase_if(of.good_runs, is_old);
    return crashes + runs > 0;
}

json::value to_json(const member& sent)
{
    json::array cells{sent.rpc.text(),
                      sent.peer.port,
                      sent.caller.port,
                      sent.operators.port,
                      sent.place.region,
                      sent.place.domain,
                      sent.service,
                      sent.target.text(),
                      static_cast<int>(sent.target_is),
                      static_cast<int>(sent.state),
                      sent.incarnation,
                      sent.target_id,
                      json::value_from(sent.departed_targets),
                      sent.link_mbps};
    const bool no_crash_data =
        sent.target_crashes.empty() && sent.good_runs.empty();
    if (no_crash_data && sent.release.empty())
        return cells;
    cells.push_back(to_json_array(sent.target_crashes));
    cells.push_back(to_json_array(sent.good_runs));
    if (!sent.release.empty())
        cells.push_back(json::string(sent.release));
    return cells;
}

result<member> member_from_json(const json::value& value)
{
    try
    {
        const auto& cells = value.as_array();
        if (cells.size() < field_count)
            throw std::out_of_range("too few fields");
        member read;
        read.rpc = address_from(cells[rpc_address]);
        read.peer = with_port(read.rpc, cells[peer_port]);
        read.caller = with_port(read.rpc, cells[caller_port]);
        read.operators = with_port(read.rpc, cells[operator_port]);
        read.place = {json::value_to<std::string>(cells[region]),
                      json::value_to<std::string>(cells[domain])};
        read.service = json::value_to<std::string>(cells[service]);
        read.target = address_from(cells[target]);
        read.target_is = enum_from<target_state>(cells[target_is],
                                                 target_state_names.size());
        read.state =
            enum_from<member_state>(cells[state], member_state_names.size());
        read.incarnation = json::value_to<std::uint64_t>(cells[incarnation]);
        if (cells.size() > departed_targets)
        {
            read.target_id = json::value_to<std::string>(cells[target_id]);
            read.departed_targets = json::value_to<std::vector<std::string>>(
                cells[departed_targets]);
        }
        if (cells.size() > link_mbps)
            read.link_mbps = json::value_to<std::uint32_t>(cells[link_mbps]);
        if (cells.size() > target_crashes)
            for (const auto& each : cells[target_crashes].as_array())
                read.target_crashes.push_back(target_crash_from(each));
        if (cells.size() > good_runs)
            for (const auto& each : cells[good_runs].as_array())
                read.good_runs.push_back(good_run_from(each));
        if (cells.size() > release)
            read.release = json::value_to<std::string>(cells[release]);
        return read;
    }
    catch (const std::exception& failed)
    {
        return error(error_code::protocol_error,
                     std::string("not a member record: ") + failed.what());
    }
}

std::uint64_t hash_of(const member& hashed)
{
    return stable_hash(json::serialize(to_json(hashed)));
}

std::uint64_t key_of(const member& keyed)
{
    // A collision of region or domain hashes only costs locality; the 48 bits
    // of the address hash keep members' keys distinct.
    constexpr int name_bits = 8;
    const auto region = stable_hash(keyed.place.region) >> (64 - name_bits);
    const auto domain = stable_hash(keyed.place.domain) >> (64 - name_bits);
    const auto node = stable_hash(keyed.rpc.text()) >> (64 - key_node_bits);
    return region << (name_bits + key_node_bits) | domain << key_node_bits |
           node;
}

} // namespace tillerhall
