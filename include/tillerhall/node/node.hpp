/** @file One node: its workers, controllers and proxies, composed. */
#pragma once

#include "tillerhall/core/result.hpp"
#include "tillerhall/node/settings.hpp"

#include <memory>
#include <string>

namespace tillerhall
{

/** Everything a `tillerd` process is. */
class node
{
public:
    /** @param token the operators' bearer token; empty refuses changes */
    node(settings config, std::string token);
    ~node();

    /** Binds all addresses. @return why one could not be bound. */
    result<void> open();

    /** @return the settings with the ports that were bound. */
    const settings& config() const noexcept;

    /** Runs until a planned stop is done; returns the exit code. The caller
     * must leave the process without destroying waiting fibers. */
    int run();

private:
    struct parts;
    std::unique_ptr<parts> m_parts;
};

} // namespace tillerhall
