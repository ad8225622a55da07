/** @file The secret by which operators may change things. */
#pragma once

#include "tillerhall/http/message.hpp"
#include "tillerhall/node/settings.hpp"

#include <string>

namespace tillerhall
{

/** @return the token in the settings' file, or in TILLER_TOKEN; empty if there
 * is none, which refuses every change. */
result<std::string> read_operator_token(const settings& config);

/** @return whether @p request brings @p token; never if that is empty. */
bool brings_token(const http_request& request, const std::string& token);

} // namespace tillerhall
