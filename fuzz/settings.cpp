/** @file Fuzzes the settings reader. */
#include "tillerhall/node/settings.hpp"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data,
                                      std::size_t size)
{
    const std::string text(reinterpret_cast<const char*>(data), size);
    (void)tillerhall::parse_settings(text, "fuzz.yaml");
    return 0;
}
