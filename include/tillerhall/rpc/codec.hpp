/**
 * @file JSON-RPC 2.0 by libjsonrpccpp, wrapped in standard types.
 *
 * Must compile as C++14: the library's headers do not compile as C++17.
 */
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace tillerhall
{

/**
 * @return true if arrays and objects of @p text nest at most 32 deep. The
 * library's parser is recursive; deeper text could overflow a fiber's stack.
 */
bool is_shallow(const std::string& text);

/** The result of handling a frame or of a call. */
enum class rpc_status
{
    ok,
    not_json,
    unknown_method,
    bad_params,
    remote_error,
    transport_failed
};

/** The answer to a call: JSON text if ok, else the reason. */
struct rpc_reply
{
    rpc_status status;
    std::string text;
};

/** Encodes calls and decodes their answers for one connection. */
class rpc_client_codec
{
public:
    /**
     * Sends one frame and waits for the frame that answers it.
     * @return false on failure; @p answer is then the reason.
     */
    using exchange =
        std::function<bool(const std::string& request, std::string& answer)>;

    explicit rpc_client_codec(exchange transport);
    ~rpc_client_codec();

    /** @param params JSON text of an object. */
    rpc_reply call(const std::string& method, const std::string& params);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

/** Decodes request frames, calls one handler and encodes its results. */
class rpc_server_codec
{
public:
    /**
     * @param params JSON text of an object
     * @return JSON text of the result.
     */
    using handler = std::function<std::string(const std::string& method,
                                              const std::string& params)>;

    rpc_server_codec(const std::vector<std::string>& methods, handler dispatch);
    ~rpc_server_codec();

    /**
     * @param answer receives the frame to send back, without a newline
     * @return ok, or the reason for which the connection should be closed.
     */
    rpc_status handle(const std::string& frame, std::string& answer);

private:
    struct state;
    std::unique_ptr<state> m_state;
};

} // namespace tillerhall
