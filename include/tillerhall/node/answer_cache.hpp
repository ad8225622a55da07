/** @file Answers stored for repeats of calls with an idempotency key. */
#pragma once

#include "tillerhall/http/relay.hpp"

#include <list>
#include <map>
#include <string>

namespace tillerhall
{

/** Keeps the newest answers up to a total size of their bodies. */
class answer_cache
{
public:
    /** @param max_bytes limit of the bodies together */
    explicit answer_cache(std::size_t max_bytes)
        : m_max_bytes(max_bytes)
    {
    }

    /** Stores @p answer in place of an earlier one of @p key. */
    void put(const std::string& key, const stored_answer& answer);

    /** @return the answer of @p key; nullptr if there is none. */
    const stored_answer* find(const std::string& key) const;

    std::size_t bytes() const noexcept { return m_bytes; }
    std::size_t size() const noexcept { return m_answers.size(); }

private:
    struct entry
    {
        stored_answer answer;
        std::list<std::string>::iterator position; ///< in `m_order`
    };
    using entries = std::map<std::string, entry>;

    void remove(entries::iterator removed);

    std::size_t m_max_bytes;
    std::size_t m_bytes = 0;
    entries m_answers;
    std::list<std::string> m_order; ///< oldest first
};

} // namespace tillerhall
