/** @file Fuzzes the CSV reader: valid input must survive a round trip. */
#include "tillerhall/table/csv.hpp"

#include <cstdlib>

extern "C" int LLVMFuzzerTestOneInput(const unsigned char* data,
                                      std::size_t size)
{
    using namespace tillerhall;
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    const auto outcome = read_csv(text);
    if (!outcome.problems.empty())
        return 0;
    const auto again = read_csv(write_csv(outcome.parsed.table));
    if (!again.problems.empty() ||
        !(again.parsed.table == outcome.parsed.table))
        std::abort();
    return 0;
}
