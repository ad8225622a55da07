/** @file A client connection for JSON-RPC frames. */
#pragma once

#include "tillerhall/http/stream.hpp"
#include "tillerhall/rpc/codec.hpp"

#include <memory>
#include <string>

namespace tillerhall
{

/** A connection to a peer, for one call at a time. */
class rpc_connection
{
public:
    rpc_connection(address peer, std::unique_ptr<tcp_stream> stream);

    /**
     * @param params JSON text of an object
     * @param timeout from sending the request to the end of the answer
     */
    rpc_reply call(const std::string& method,
                   const std::string& params,
                   duration timeout);

    const address& peer() const noexcept { return m_peer; }
    tcp_stream& stream() noexcept { return *m_stream; }

    /** @return bytes received and sent since the last `reset_bytes`. */
    std::size_t bytes_in() const noexcept { return m_bytes_in; }
    std::size_t bytes_out() const noexcept { return m_bytes_out; }
    void reset_bytes() noexcept { m_bytes_in = m_bytes_out = 0; }

private:
    bool exchange(const std::string& request, std::string& answer);

    address m_peer;
    std::unique_ptr<tcp_stream> m_stream;
    rpc_client_codec m_codec;
    std::size_t m_bytes_in = 0;
    std::size_t m_bytes_out = 0;
};

} // namespace tillerhall
