/** @file Fuzzes claim items read from the table service. */
#include "tillerhall/routing/claim_shard.hpp"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data,
                                      std::size_t size)
{
    using namespace tillerhall;
    claim_shard shard(1);
    const std::string text(reinterpret_cast<const char*>(data), size);
    (void)shard.load({{"claims/01/03", text, 1}});
    (void)shard.find("k", 3);
    return 0;
}
