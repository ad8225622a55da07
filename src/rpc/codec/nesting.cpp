#include "tillerhall/rpc/codec.hpp"

namespace tillerhall
{

bool is_shallow(const std::string& text)
{
    constexpr int max_depth = 32;
    int depth = 0;
    bool in_string = false;
    for (std::size_t i = 0; i < text.size(); ++i)
    {
        const char c = text[i];
        if (in_string && c == '\\')
            ++i; // an escaped quote does not end the string
        else if (c == '"')
            in_string = !in_string;
        else if (!in_string && (c == '[' || c == '{') && ++depth > max_depth)
            return false;
        else if (!in_string && (c == ']' || c == '}'))
            --depth;
    }
    return true;
}

} // namespace tillerhall
