#include "tillerhall/node/self_record.hpp"
#include "tillerhall/core/time.hpp"

namespace tillerhall
{

member self_record(const settings& config)
{
    member self;
    self.rpc = config.advertise_rpc;
    self.peer = config.advertise_peer;
    self.caller = config.caller;
    self.operators = config.operators;
    self.place = {config.region, config.domain};
    self.service = config.service;
    self.target = config.target;
    self.target_is = target_state::down;
    self.link_mbps = static_cast<std::uint32_t>(config.link_mbps);
    self.incarnation = static_cast<std::uint64_t>(wall_clock_us() / 1000);
    return self;
}

} // namespace tillerhall
