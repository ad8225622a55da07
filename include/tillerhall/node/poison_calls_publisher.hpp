/** @file Publishes quarantined calls and logs new ones. */
#pragma once

namespace tillerhall
{

struct blackboard;
class member_list;

/**
 * Rebuilds the view of poison calls after @p members have changed. Writes one
 * journal entry for each newly quarantined call; docs/OPERATORS.md describes
 * the remedy.
 */
void publish_poison_calls(blackboard& board, const member_list& members);

} // namespace tillerhall
