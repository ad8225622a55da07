#include "tillerhall/node/accept_controller.hpp"
#include "tillerhall/core/backoff.hpp"
#include "tillerhall/table/csv.hpp"

#include <boost/json.hpp>

namespace tillerhall
{
namespace
{

// Attempts after lost races before the operator gets a conflict.
constexpr int max_attempts = 8;
constexpr int max_lost_answers = 6;
constexpr milliseconds min_wait(20);
constexpr milliseconds max_wait(800);

accept_outcome refuse(error reason)
{
    accept_outcome outcome;
    outcome.refused = std::move(reason);
    return outcome;
}

} // namespace

std::vector<error> accept_controller::check(const config_table& table) const
{
    return check_table(table,
                       {m_mesh.members.services(), m_mesh.members.places()});
}

accept_outcome accept_controller::accept(accept_request request)
{
    auto problems = check(request.table);
    if (!problems.empty())
    {
        auto outcome = refuse(error(error_code::invalid_argument,
                                    "the table cannot be acted on",
                                    "correct the cells named and try again"));
        outcome.problems = std::move(problems);
        return outcome;
    }
    backoff waits(min_wait, max_wait);
    for (int i = 0; i < max_attempts; ++i)
    {
        if (auto outcome = try_accept(request))
            return std::move(*outcome);
        sleep_for(m_mesh.on.io(), waits.next(m_mesh.random));
    }
    return refuse(error(error_code::conflict,
                        "other accepts came first " +
                            std::to_string(max_attempts) + " times",
                        "try again with the same accept id"));
}

std::optional<accept_outcome>
accept_controller::try_accept(const accept_request& request)
{
    const auto known = m_store.find_accept(request.accept_id);
    if (!known)
        return refuse(known.reason());
    if (known->has_value())
    {
        accept_outcome outcome;
        outcome.version = **known;
        outcome.repeated = true;
        if (const auto record = m_store.read_version(outcome.version))
            outcome.digest = record->digest;
        return outcome;
    }
    const auto head = m_store.read_head();
    if (!head)
        return refuse(head.reason());
    const auto parent = read_head_table(*head);
    if (!parent)
        return refuse(parent.reason());
    if (head->version == request.base)
        return commit(request, *head, *parent, request.table);
    if (request.base > head->version)
        return refuse(error(error_code::invalid_argument,
                            "base " + std::to_string(request.base) +
                                " is newer than the head " +
                                std::to_string(head->version),
                            "start from `tiller show`"));
    const auto base = read_base(request.base);
    if (!base)
        return refuse(base.reason());
    const auto merged = merge(*base, request.table, *parent);
    if (!request.rebase || !merged.conflicts.empty())
        return conflict(request, *head, merged);
    return commit(request, *head, *parent, merged.merged);
}

accept_outcome accept_controller::conflict(const accept_request& request,
                                           const table_head& head,
                                           const merge_outcome& merged)
{
    const auto moved = "version " + std::to_string(head.version) +
                       " was accepted after base " +
                       std::to_string(request.base);
    accept_outcome outcome;
    outcome.head = head.version;
    outcome.conflicts = merged.conflicts;
    if (merged.conflicts.empty())
    {
        outcome.refused =
            error(error_code::conflict, moved + " and changed other cells",
                  "repeat with --rebase to keep both edits");
        outcome.rebased_draft = write_draft(merged.merged, head.version);
    }
    else
        outcome.refused =
            error(error_code::conflict, moved + " and changed the same cells",
                  "settle the cells shown, starting from `tiller show`");
    return outcome;
}

std::optional<accept_outcome>
accept_controller::commit(const accept_request& request,
                          const table_head& head,
                          const config_table& parent,
                          const config_table& table)
{
    accept_outcome outcome;
    outcome.digest = table.digest();
    outcome.version = head.version + 1;
    outcome.changes = diff(parent, table);
    if (outcome.changes.empty() && head.version > 0)
    {
        outcome.version = head.version;
        outcome.unchanged = true;
        return outcome;
    }
    // The merge may have added a name that this node does not know.
    if (auto problems = check(table); !problems.empty())
    {
        outcome = refuse(error(error_code::invalid_argument,
                               "the merged table cannot be acted on"));
        outcome.problems = std::move(problems);
        return outcome;
    }
    const version_record record{
        outcome.version, outcome.digest,  head.digest,    request.accept_id,
        request.author,  wall_clock_us(), outcome.changes};
    backoff waits(min_wait, max_wait);
    for (int i = 0; i < max_lost_answers; ++i)
    {
        // After a lost answer the same write is retried: if the first one took
        // effect, this one fails its comparison and changes nothing.
        const auto committed = m_store.commit(head, record, table);
        if (!committed &&
            committed.reason().code() != error_code::outcome_unknown)
        {
            if (i == 0)
                return refuse(committed.reason());
        }
        else if (committed && !*committed)
            return std::nullopt;
        else if (committed)
        {
            m_tables.distribute({record.version, record.digest,
                                 record.parent_digest, record.accepted_us,
                                 record.changes, std::nullopt});
            m_mesh.board.decisions.note(
                "accepted", "version " + std::to_string(record.version),
                "compare-and-swap at the head succeeded",
                {{"cells", record.changes.size()},
                 {"author", record.author},
                 {"accept_id", record.accept_id}});
            return outcome;
        }
        m_mesh.board.metrics.get("tillerhall_accept_lost_answer_total").add();
        sleep_for(m_mesh.on.io(), waits.next(m_mesh.random));
    }
    return refuse(error(error_code::outcome_unknown,
                        "the source's answer to the write was lost and it "
                        "does not answer now"));
}

result<config_table> accept_controller::read_base(std::uint64_t version)
{
    if (version == 0)
        return config_table{};
    if (m_tables.current()->version() == version)
        return m_tables.current()->table();
    const auto record = m_store.read_version(version);
    if (!record)
        return record.reason();
    return m_store.read_table(record->digest);
}

result<config_table> accept_controller::read_head_table(const table_head& head)
{
    if (head.version == 0)
        return config_table{};
    if (m_tables.current()->digest() == head.digest)
        return m_tables.current()->table();
    return m_store.read_table(head.digest);
}

} // namespace tillerhall
