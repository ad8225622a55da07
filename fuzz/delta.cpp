/** @file Fuzzes table updates from peers, including the version gate. */
#include "tillerhall/distribution/version_gate.hpp"

#include <boost/json.hpp>
#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data,
                                      std::size_t size)
{
    using namespace tillerhall;
    boost::system::error_code failed;
    const auto value = boost::json::parse(
        std::string_view(reinterpret_cast<const char*>(data), size), failed);
    if (failed || !value.is_object())
        return 0;
    const auto update = update_from_json(value.as_object());
    if (!update)
        return 0;
    version_gate gate([](const config_table&) { return true; });
    gate.offer(*update);
    // The gate must accept only contents that match their digest.
    if (gate.current()->version() != 0 &&
        gate.current()->table().digest() != gate.current()->digest())
        std::abort();
    return 0;
}
