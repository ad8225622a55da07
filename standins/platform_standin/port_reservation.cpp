#include "platform_standin/port_reservation.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace tillerhall
{

port_reservation::port_reservation(const address& where)
    : m_socket(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0))
    , m_where(where)
{
    const int on = 1;
    ::setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    ::setsockopt(m_socket, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(where.port);
    ::inet_pton(AF_INET, where.ip.c_str(), &to.sin_addr);
    auto* const at = reinterpret_cast<sockaddr*>(&to);
    socklen_t size = sizeof to;
    if (::bind(m_socket, at, size) != 0 ||
        ::getsockname(m_socket, at, &size) != 0)
        throw std::runtime_error("the port cannot be kept: " + where.text());
    m_where.port = ntohs(to.sin_port);
}

port_reservation::~port_reservation()
{
    ::close(m_socket);
}

} // namespace tillerhall
