/** @file The failure domains that operators ordered to drain. */
#pragma once

#include "tillerhall/node/mesh_state.hpp"
#include "tillerhall/store/row_store.hpp"

#include <functional>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace tillerhall
{

/**
 * Maintains the view of drained failure domains. Their rows are in the table of
 * the routes, so readers receive them with the routes, and each routes update
 * carries all of them with the revision of the store. The newest revision wins,
 * whatever its source. A node that does not listen to a reader reads the rows
 * itself. Runs on the first worker.
 */
class drain_registry
{
public:
    /** Returns the domain that a row orders to drain, or nothing. */
    using decoder =
        std::function<std::optional<std::string>(const stored_row&)>;

    drain_registry(mesh_state& mesh, decoder decode)
        : m_mesh(mesh)
        , m_decode(std::move(decode))
    {
    }

    /** Sets the action to run after a change, with the previous view. */
    void on_change(std::function<void(const domain_drains&)> action)
    {
        m_on_change = std::move(action);
    }

    /** Applies an answer of the store.
     * @param is_whole true if it holds every row, not only changes */
    void apply_rows(const row_page& page, bool is_whole);

    /** Applies the domains of a routes update. */
    void apply_update(const std::set<std::string>& domains,
                      std::uint64_t revision);

private:
    void set(std::set<std::string> domains, std::uint64_t revision);

    mesh_state& m_mesh;
    decoder m_decode;
    std::function<void(const domain_drains&)> m_on_change;
};

} // namespace tillerhall
