/** @file The accepted versions of the table in the platform's services, which
 * are the source of truth. */
#pragma once

#include "tillerhall/store/object_store.hpp"
#include "tillerhall/store/table_service.hpp"
#include "tillerhall/table/config_table.hpp"
#include "tillerhall/table/delta.hpp"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace tillerhall
{

/** The newest accepted version. */
struct table_head
{
    std::uint64_t version = 0; ///< 0: none accepted yet
    std::string digest;
    std::uint64_t revision = 0; ///< of the stored item, for the next commit
};

/** An accepted version in the history. */
struct version_record
{
    std::uint64_t version = 0;
    std::string digest;
    std::string parent_digest;
    std::string accept_id;
    std::string author;
    std::int64_t accepted_us = 0; ///< wall clock of the accepting node
    table_delta changes;          ///< from the parent version
};

/** Reads and commits versions; passes on the errors of the services. */
class table_store
{
public:
    table_store(table_service& tables, object_store& objects)
        : m_tables(tables)
        , m_objects(objects)
    {
    }

    /** @return the head; version 0 before the first accept. */
    result<table_head> read_head();

    /** @return the record of @p version, or `not_found`. */
    result<version_record> read_version(std::uint64_t version);

    /** @return the last @p limit records, newest first. */
    result<std::vector<version_record>> read_history(std::size_t limit);

    /** @return the table with @p digest; `corrupt` if the content differs. */
    result<config_table> read_table(const std::string& digest);

    /** @return the version committed with @p accept_id, if there is one. */
    result<std::optional<std::uint64_t>>
    find_accept(const std::string& accept_id);

    /**
     * Makes @p record the head, in one transaction, if the head is still
     * @p expected.
     * @return false if the head has changed or the accept id was used before.
     */
    result<bool> commit(const table_head& expected,
                        const version_record& record,
                        const config_table& table);

private:
    table_service& m_tables;
    object_store& m_objects;
};

} // namespace tillerhall
