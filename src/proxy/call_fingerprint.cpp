#include "tillerhall/proxy/call_fingerprint.hpp"
#include "tillerhall/core/digest.hpp"
#include "tillerhall/routing/poison_calls.hpp"

#include <boost/beast/http.hpp>

namespace tillerhall
{
namespace
{

// 64 bits for each part: the probability that two of a thousand calls share a
// fingerprint is negligible.
constexpr std::size_t digest_part_digits = 16;

std::string digest_part(std::string_view text)
{
    return digest_of(text).substr(0, digest_part_digits);
}

} // namespace

std::string head_fingerprint(const whole_request& request)
{
    std::string text(request.method_string());
    text += ' ';
    text += request[boost::beast::http::field::host];
    text += ' ';
    text += request.target();
    return digest_part(text);
}

call_fingerprint fingerprint_of(const whole_request& request)
{
    return {head_fingerprint(request), request.body().empty()
                                           ? std::string()
                                           : digest_part(request.body())};
}

std::optional<call_quarantine>
quarantine_of(const poison_calls& known,
              const whole_request& request,
              const std::vector<address>& crashed_at)
{
    if (crashed_at.empty() &&
        (known.empty() || !known.knows_head(head_fingerprint(request))))
        return std::nullopt;
    return known.quarantine_of(fingerprint_of(request).text(), crashed_at,
                               wall_clock_ms());
}

} // namespace tillerhall
