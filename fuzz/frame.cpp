/** @file Fuzzes the server's decoding of JSON-RPC frames. */
#include "tillerhall/rpc/codec.hpp"

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data,
                                      std::size_t size)
{
    using namespace tillerhall;
    static rpc_server_codec codec({"hb", "push"},
                                  [](const std::string&, const std::string&)
                                  { return std::string("{}"); });
    std::string answer;
    codec.handle(std::string(reinterpret_cast<const char*>(data), size),
                 answer);
    return 0;
}
