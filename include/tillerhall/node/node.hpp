/** @file Composes a node of its workers, controllers and proxies. */
#pragma once

#include "tillerhall/core/result.hpp"
#include "tillerhall/node/settings.hpp"

#include <memory>
#include <string>

namespace tillerhall
{

/** The node that a `tillerd` process runs. */
class node
{
public:
    /** @param token the operators' bearer token; if empty, changes are
     * refused */
    node(settings config, std::string token);
    ~node();

    /** Binds all addresses. @return the error if one cannot be bound */
    result<void> open();

    /** Returns the settings with the bound ports filled in. */
    const settings& config() const noexcept;

    /** Runs until a planned stop is complete and returns the exit code. The
     * caller must exit the process without destroying waiting fibers. */
    int run();

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace tillerhall
