/** @file Fuzzes what targets say of themselves, and its way between nodes. */
#include "tillerhall/proxy/target_notice.hpp"
#include "tillerhall/proxy/target_constraints.hpp"
#include "tillerhall/proxy/wire_names.hpp"

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data,
                                      std::size_t size)
{
    using namespace tillerhall;
    static const wire_names names;
    const std::string text(reinterpret_cast<const char*>(data), size);
    boost::beast::http::fields fields;
    fields.set(names.rate_limit, text);
    const auto notice = read_notice(fields, names);
    if (!notice.rate_limit)
        return 0;
    const target_constraints sent{"i-1", notice.rate_limit, false};
    write_constraints(fields, sent);
    if (take_constraints(fields) != sent)
        std::abort();
    return 0;
}
