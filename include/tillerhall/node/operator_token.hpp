/** @file The bearer token that authorizes changes by operators. */
#pragma once

#include "tillerhall/http/message.hpp"
#include "tillerhall/node/settings.hpp"

#include <string>

namespace tillerhall
{

/** Returns the token from the settings' token file, else from TILLER_TOKEN. If
 * empty, every change is refused. */
result<std::string> read_operator_token(const settings& config);

/** Returns true if @p request carries @p token; false if that is empty. */
bool has_valid_token(const http_request& request, const std::string& token);

} // namespace tillerhall
