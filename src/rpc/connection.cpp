#include "tillerhall/rpc/connection.hpp"
#include "tillerhall/core/await.hpp"
#include "tillerhall/rpc/server.hpp"

#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

namespace tillerhall
{

rpc_connection::rpc_connection(address peer, std::unique_ptr<tcp_stream> stream)
    : m_peer(std::move(peer))
    , m_stream(std::move(stream))
    , m_codec([this](const std::string& request, std::string& answer)
              { return exchange(request, answer); })
{
}

rpc_reply rpc_connection::call(const std::string& method,
                               const std::string& params,
                               duration timeout)
{
    m_stream->expires_after(timeout);
    return m_codec.call(method, params);
}

bool rpc_connection::exchange(const std::string& request, std::string& answer)
{
    auto frame = request;
    while (!frame.empty() && frame.back() == '\n')
        frame.pop_back();
    frame.push_back('\n');
    boost::system::error_code failed;
    m_bytes_out += boost::asio::async_write(
        *m_stream, boost::asio::buffer(frame), await{failed});
    std::string buffer;
    if (!failed)
        m_bytes_in += boost::asio::async_read_until(
            *m_stream,
            boost::asio::dynamic_buffer(buffer, rpc_server::max_frame_bytes),
            '\n', await{failed});
    answer = failed ? failed.message() : buffer;
    return !failed;
}

} // namespace tillerhall
