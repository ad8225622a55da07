/** @file Random tables, members and updates for property tests. */
#pragma once

#include "tillerhall/membership/member.hpp"
#include "tillerhall/table/column.hpp"
#include "tillerhall/table/config_table.hpp"

#include <catch2/catch.hpp>
#include <rapidcheck/catch.h>

namespace rc
{

template <>
struct Arbitrary<tillerhall::row>
{
    static Gen<tillerhall::row> arbitrary()
    {
        return gen::exec(
            []
            {
                tillerhall::row made;
                made.key.service = "s" + std::to_string(*gen::inRange(0, 5));
                made.key.place = "p" + std::to_string(*gen::inRange(0, 3));
                for (const auto& each : tillerhall::columns())
                    made.*each.field = *gen::inRange<std::int64_t>(
                        each.min_value,
                        std::min<std::int64_t>(each.max_value,
                                               each.min_value + 4) +
                            1);
                return made;
            });
    }
};

template <>
struct Arbitrary<tillerhall::config_table>
{
    static Gen<tillerhall::config_table> arbitrary()
    {
        return gen::map(gen::arbitrary<std::vector<tillerhall::row>>(),
                        [](std::vector<tillerhall::row> rows)
                        { return tillerhall::config_table(std::move(rows)); });
    }
};

template <>
struct Arbitrary<tillerhall::member>
{
    static Gen<tillerhall::member> arbitrary()
    {
        return gen::exec(
            []
            {
                using namespace tillerhall;
                member made;
                const auto port = *gen::inRange<std::uint16_t>(1, 12);
                made.rpc = {"127.0.0.1", port};
                made.peer = made.caller = made.operators = made.target =
                    made.rpc;
                made.place = {"r" + std::to_string(port % 2),
                              "d" + std::to_string(port % 5)};
                made.service = "s" + std::to_string(port % 3);
                made.state = static_cast<member_state>(*gen::inRange(0, 4));
                made.incarnation = *gen::inRange<std::uint64_t>(1, 4);
                return made;
            });
    }
};

} // namespace rc
