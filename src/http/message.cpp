#include "tillerhall/http/message.hpp"

#include <boost/url/encode.hpp>
#include <boost/url/parse.hpp>
#include <boost/url/rfc/unreserved_chars.hpp>
#include <boost/url/src.hpp>

namespace tillerhall
{

std::string http_request::param(const std::string& name,
                                const std::string& fallback) const
{
    const auto found = query.find(name);
    return found == query.end() ? fallback : found->second;
}

std::string percent_encode(const std::string& text)
{
    return boost::urls::encode(text, boost::urls::unreserved_chars);
}

void parse_target(const std::string& target, http_request& into)
{
    const auto parsed = boost::urls::parse_origin_form(target);
    if (!parsed)
    {
        into.path = target;
        return;
    }
    into.path = parsed->path();
    for (const auto& param : parsed->params())
        into.query[param.key] = param.value;
}

} // namespace tillerhall
