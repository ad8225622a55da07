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
{
    const int on = 1;
    ::setsockopt(m_socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    ::setsockopt(m_socket, SOL_SOCKET, SO_REUSEPORT, &on, sizeof on);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(where.port);
    ::inet_pton(AF_INET, where.ip.c_str(), &to.sin_addr);
    if (::bind(m_socket, reinterpret_cast<const sockaddr*>(&to), sizeof to) !=
        0)
        throw std::runtime_error("the port cannot be kept: " + where.text());
}

port_reservation::~port_reservation()
{
    ::close(m_socket);
}

} // namespace tillerhall
