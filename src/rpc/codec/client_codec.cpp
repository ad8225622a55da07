#include "tillerhall/rpc/codec.hpp"

#include <json/json.h>
#include <jsonrpccpp/client.h>

namespace tillerhall
{
namespace
{

/** The connector of libjsonrpccpp; passes frames to the transport. */
class connector : public jsonrpc::IClientConnector
{
public:
    explicit connector(rpc_client_codec::exchange transport)
        : m_transport(std::move(transport))
    {
    }

    void SendRPCMessage(const std::string& message, std::string& answer) throw(
        jsonrpc::JsonRpcException) override
    {
        if (!m_transport(message, answer))
            throw jsonrpc::JsonRpcException(
                jsonrpc::Errors::ERROR_CLIENT_CONNECTOR, answer);
        if (!is_shallow(answer))
            throw jsonrpc::JsonRpcException(
                jsonrpc::Errors::ERROR_CLIENT_CONNECTOR,
                "the answer nests too deep");
    }

private:
    rpc_client_codec::exchange m_transport;
};

std::string to_text(const Json::Value& value)
{
    static const Json::StreamWriterBuilder builder = []
    {
        Json::StreamWriterBuilder settings;
        settings["indentation"] = "";
        return settings;
    }();
    return Json::writeString(builder, value);
}

bool parse_text(const std::string& text, Json::Value& value)
{
    static const Json::CharReaderBuilder builder;
    const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
    std::string failed;
    return reader->parse(text.data(), text.data() + text.size(), &value,
                         &failed);
}

rpc_status status_of(int code)
{
    if (code == jsonrpc::Errors::ERROR_CLIENT_CONNECTOR)
        return rpc_status::transport_failed;
    if (code == jsonrpc::Errors::ERROR_RPC_METHOD_NOT_FOUND)
        return rpc_status::unknown_method;
    if (code == jsonrpc::Errors::ERROR_RPC_INVALID_PARAMS)
        return rpc_status::bad_params;
    return rpc_status::remote_error;
}

} // namespace

struct rpc_client_codec::state
{
    explicit state(exchange transport)
        : adapter(std::move(transport))
        , client(adapter)
    {
    }

    connector adapter;
    jsonrpc::Client client;
};

rpc_client_codec::rpc_client_codec(exchange transport)
    : m_state(new state(std::move(transport)))
{
}

rpc_client_codec::~rpc_client_codec() = default;

rpc_reply rpc_client_codec::call(const std::string& method,
                                 const std::string& params)
{
    Json::Value given;
    if (!parse_text(params, given))
        return {rpc_status::bad_params, "params are not JSON"};
    try
    {
        Json::Value answer;
        m_state->client.CallMethod(method, given, answer);
        return {rpc_status::ok, to_text(answer)};
    }
    catch (const jsonrpc::JsonRpcException& failed)
    {
        return {status_of(failed.GetCode()), failed.GetMessage()};
    }
    catch (const std::exception& failed)
    {
        return {rpc_status::not_json, failed.what()};
    }
}

} // namespace tillerhall
