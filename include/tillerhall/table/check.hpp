/** @file Refusal of tables that the mesh could not act on. */
#pragma once

#include "tillerhall/core/error.hpp"
#include "tillerhall/table/config_table.hpp"

#include <set>
#include <string>
#include <vector>

namespace tillerhall
{

/** The services and failure domains that the mesh has heard of. */
struct known_names
{
    std::set<std::string> services;
    std::set<std::string> places;
};

/**
 * @return every reason not to accept @p table: services or places unknown to
 * the mesh, and services whose weights are all zero.
 */
std::vector<error> check_table(const config_table& table,
                               const known_names& known);

} // namespace tillerhall
