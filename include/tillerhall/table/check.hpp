/** @file Validation of a table against the services and places of the mesh. */
#pragma once

#include "tillerhall/core/error.hpp"
#include "tillerhall/table/config_table.hpp"

#include <set>
#include <string>
#include <vector>

namespace tillerhall
{

/** The services and failure domains known to the mesh. */
struct known_names
{
    std::set<std::string> services;
    std::set<std::string> places;
};

/**
 * @return all problems of @p table: services or places unknown to the mesh, and
 * services whose weights are all zero.
 */
std::vector<error> check_table(const config_table& table,
                               const known_names& known);

} // namespace tillerhall
