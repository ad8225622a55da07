/** @file Clients of the platform services, over HTTP and JSON; see
 * docs/PLATFORM.md. */
#pragma once

#include "tillerhall/http/api_client.hpp"
#include "tillerhall/observe/traffic.hpp"
#include "tillerhall/store/host_list.hpp"
#include "tillerhall/store/object_store.hpp"
#include "tillerhall/store/table_service.hpp"

namespace tillerhall
{

/** An HTTP client of one platform service, with a timeout per request. */
class platform_connection
{
public:
    platform_connection(boost::asio::io_context& io,
                        const address& server,
                        duration timeout,
                        traffic_counters& traffic)
        : m_client(io, server)
        , m_timeout(timeout)
        , m_traffic(traffic)
    {
    }

    /** Sends a request and counts its bytes as `traffic_kind::source`. */
    result<http_response> call(const std::string& method,
                               const std::string& target,
                               const std::string& body = {});

private:
    api_client m_client;
    duration m_timeout;
    traffic_counters& m_traffic;
};

class http_table_service : public table_service
{
public:
    explicit http_table_service(platform_connection connection)
        : m_connection(std::move(connection))
    {
    }

    result<std::optional<table_item>> get(const std::string& key) override;
    result<std::vector<table_item>> list_last(const std::string& prefix,
                                              std::size_t limit) override;
    result<commit_outcome>
    transact(const table_transaction& transaction) override;

private:
    platform_connection m_connection;
};

class http_object_store : public object_store
{
public:
    explicit http_object_store(platform_connection connection)
        : m_connection(std::move(connection))
    {
    }

    result<void> put(const std::string& name,
                     const std::string& content) override;
    result<std::string> get(const std::string& name) override;

private:
    platform_connection m_connection;
};

class http_host_list : public host_list
{
public:
    explicit http_host_list(platform_connection connection)
        : m_connection(std::move(connection))
    {
    }

    result<std::vector<listed_host>> read() override;

private:
    platform_connection m_connection;
};

} // namespace tillerhall
