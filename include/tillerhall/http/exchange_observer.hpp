/** @file Receives the progress of an exchange. */
#pragma once

namespace tillerhall
{

/** Receives the progress of one exchange; called at most once each. */
class exchange_observer
{
public:
    /** The socket has taken the whole request. */
    virtual void request_sent() = 0;

    /** The head of the response has been read; its body may follow. */
    virtual void response_began() = 0;

protected:
    exchange_observer() = default;
    ~exchange_observer() = default;
    exchange_observer(const exchange_observer&) = default;
    exchange_observer& operator=(const exchange_observer&) = default;
};

} // namespace tillerhall
