#include "tillerhall/rpc/codec.hpp"

#include <json/json.h>
#include <jsonrpccpp/server.h>

namespace tillerhall
{
namespace
{

/** A connector without transport: frames are passed in by `handle`. */
class frame_connector : public jsonrpc::AbstractServerConnector
{
public:
    bool StartListening() override { return true; }
    bool StopListening() override { return true; }
    bool SendResponse(const std::string&, void*) override { return true; }
};

std::string to_text(const Json::Value& value)
{
    Json::StreamWriterBuilder builder;
    builder["indentation"] = "";
    return Json::writeString(builder, value);
}

Json::Value parse_text(const std::string& text)
{
    static const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    Json::Value value;
    std::string failed;
    reader->parse(text.data(), text.data() + text.size(), &value, &failed);
    return value;
}

/** Calls the dispatch function for every method. */
class dispatcher : public jsonrpc::AbstractServer<dispatcher>
{
public:
    dispatcher(frame_connector& adapter,
               const std::vector<std::string>& names,
               rpc_server_codec::handler dispatch)
        : AbstractServer(adapter)
        , m_dispatch(std::move(dispatch))
    {
        for (const auto& method : names)
            bindAndAddMethod(jsonrpc::Procedure(method, jsonrpc::PARAMS_BY_NAME,
                                                jsonrpc::JSON_OBJECT, NULL),
                             &dispatcher::unused);
    }

    void HandleMethodCall(jsonrpc::Procedure& called,
                          const Json::Value& input,
                          Json::Value& output) override
    {
        output =
            parse_text(m_dispatch(called.GetProcedureName(), to_text(input)));
    }

private:
    void unused(const Json::Value&, Json::Value&) {}

    rpc_server_codec::handler m_dispatch;
};

rpc_status status_of(const Json::Value& answer)
{
    if (!answer.isObject() || !answer.isMember("error"))
        return rpc_status::ok;
    const int code = answer["error"]["code"].asInt();
    if (code == jsonrpc::Errors::ERROR_RPC_JSON_PARSE_ERROR)
        return rpc_status::not_json;
    if (code == jsonrpc::Errors::ERROR_RPC_METHOD_NOT_FOUND)
        return rpc_status::unknown_method;
    return rpc_status::bad_params;
}

} // namespace

struct rpc_server_codec::state
{
    state(const std::vector<std::string>& methods, handler dispatch)
        : server(adapter, methods, std::move(dispatch))
    {
    }

    frame_connector adapter;
    dispatcher server;
};

rpc_server_codec::rpc_server_codec(const std::vector<std::string>& methods,
                                   handler dispatch)
    : m_state(new state(methods, std::move(dispatch)))
{
}

rpc_server_codec::~rpc_server_codec() = default;

rpc_status rpc_server_codec::handle(const std::string& frame,
                                    std::string& answer)
{
    if (!is_shallow(frame))
        return rpc_status::not_json;
    m_state->adapter.GetHandler()->HandleRequest(frame, answer);
    while (!answer.empty() && answer.back() == '\n')
        answer.pop_back();
    // Error answers are short, so longer ones are not parsed again.
    constexpr std::size_t max_error_bytes = 512;
    if (answer.size() > max_error_bytes)
        return rpc_status::ok;
    return status_of(parse_text(answer));
}

} // namespace tillerhall
