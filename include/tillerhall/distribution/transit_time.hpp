/** @file Time that messages are under way, without synchronized clocks. */
#pragma once

#include "tillerhall/core/time.hpp"

#include <cstdint>
#include <deque>
#include <map>
#include <string>

namespace tillerhall
{

/**
 * Tells how much longer a message was under way than the fastest of the latest
 * ones of its sender. The difference between the receiver's clock and the
 * sender's is the offset of the clocks plus the time under way; the smallest
 * one stands for the offset (Paxson, "On calibrating measurements of packet
 * transit times", 1998). Does no I/O.
 */
class transit_time
{
public:
    /** Latest messages of a sender that are compared. */
    static constexpr std::size_t window = 32;
    /** Senders that are not heard for so long are forgotten. */
    static constexpr std::chrono::seconds forget_after{60};

    /**
     * Notes a message.
     * @param sent_ms the sender's steady clock when it sent the message
     * @return how much longer than the fastest one it was under way; zero for
     * the first message of a sender
     */
    duration excess(const std::string& sender,
                    std::int64_t sent_ms,
                    time_point received);

private:
    struct sender_history
    {
        std::deque<std::int64_t> differences_ms; ///< of the clocks
        time_point last{};
    };

    std::map<std::string, sender_history> m_senders;
};

} // namespace tillerhall
