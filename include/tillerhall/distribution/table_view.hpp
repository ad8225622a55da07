/** @file One accepted version of the table, immutable once built. */
#pragma once

#include "tillerhall/table/config_table.hpp"

#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <cstdint>
#include <string>

namespace tillerhall
{

/** A version, its digest and its rows; reference-counted. */
class table_view : public boost::intrusive_ref_counter<table_view>
{
public:
    table_view() = default;
    table_view(std::uint64_t version,
               std::string digest,
               std::int64_t accepted_us,
               config_table table)
        : m_version(version)
        , m_digest(std::move(digest))
        , m_accepted_us(accepted_us)
        , m_table(std::move(table))
    {
    }

    /** Returns the version; 0 before any table is known. */
    std::uint64_t version() const noexcept { return m_version; }
    const std::string& digest() const noexcept { return m_digest; }
    const config_table& table() const noexcept { return m_table; }
    /** Returns the wall clock of the accepting node, in microseconds. */
    std::int64_t accepted_us() const noexcept { return m_accepted_us; }

private:
    std::uint64_t m_version = 0;
    std::string m_digest;
    std::int64_t m_accepted_us = 0;
    config_table m_table;
};

using table_view_ptr = boost::intrusive_ptr<const table_view>;

} // namespace tillerhall
