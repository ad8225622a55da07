/** @file What an entry knows of the restrictions that targets have named. */
#pragma once

#include "tillerhall/core/address.hpp"
#include "tillerhall/proxy/owner_answer.hpp"

#include <map>

namespace tillerhall
{

/**
 * The constraints of targets by their owners, as of the newest answers. Only an
 * answer of the target itself ends them: a restarted owner does not know them
 * until then.
 */
class constraint_memory
{
public:
    /** Takes the constraints that @p answer of @p owner holds. */
    void answered(const address& owner, const owner_answer& answer)
    {
        if (answer.constraints)
            m_known[owner] = *answer.constraints;
        else if (answer.end == call_end::answered)
            m_known.erase(owner);
    }

    /** @return what to send to @p owner with a call. */
    std::optional<target_constraints> of(const address& owner) const
    {
        const auto found = m_known.find(owner);
        return found == m_known.end() ? std::nullopt
                                      : std::optional(found->second);
    }

private:
    std::map<address, target_constraints> m_known;
};

} // namespace tillerhall
