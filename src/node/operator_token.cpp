#include "tillerhall/node/operator_token.hpp"

#include <cstdlib>
#include <fstream>
#include <openssl/crypto.h>

namespace tillerhall
{

result<std::string> read_operator_token(const settings& config)
{
    if (config.token_file.empty())
    {
        const char* given = std::getenv("TILLER_TOKEN");
        return std::string(given == nullptr ? "" : given);
    }
    std::ifstream file(config.token_file);
    std::string token;
    if (!std::getline(file, token) || token.empty())
        return error(error_code::invalid_argument,
                     "no token in " + config.token_file,
                     "write the token on the first line of that file");
    return token;
}

bool has_valid_token(const http_request& request, const std::string& token)
{
    const auto expected = "Bearer " + token;
    const auto& given = request.authorization;
    // Compared in constant time to prevent timing attacks.
    return !token.empty() && given.size() == expected.size() &&
           CRYPTO_memcmp(given.data(), expected.data(), given.size()) == 0;
}

} // namespace tillerhall
