/** @file Publishes which calls are held, and tells of new ones. */
#pragma once

namespace tillerhall
{

struct blackboard;
class member_list;

/**
 * Makes the view of suspects anew after @p members changed. One line for each
 * call that is held from now on; docs/OPERATORS.md says what to do then.
 */
void publish_suspects(blackboard& board, const member_list& members);

} // namespace tillerhall
