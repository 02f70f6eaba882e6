// A simulated VM for tests: sends the datagrams that the test gives it, and collects the datagrams it receives.

#pragma once

#include "netaddress.h"

#include <cstdint>
#include <string>
#include <vector>

#include <boost/asio/ip/udp.hpp>

#include "lacewing_types.h"
#include "platformport.h"

namespace lacewing::testing {

class FakePeerVm
{
public:
    /// @param context event loop of the VMs under test
    /// @param vm its name
    /// @param ownZone its zone
    FakePeerVm(asio::io_context &context, VmId vm, ZoneName ownZone = "z");

    /// @return contact data for other VMs
    VmContact contact() const;

    /// @param to address of another VM
    /// @param datagram to send; its sender and number are filled in
    void send(const std::string &to, wire::VmDatagram datagram);

    /// @return all datagrams received since the last call
    std::vector<wire::VmDatagram> received();

private:
    VmId vm;
    ZoneName zone;
    asio::ip::udp::socket socket;
    std::int64_t nextNumber = 1;
};

/// @param offset of the last change of the list that was forwarded
/// @return notice of an owner of zone "z" that has just read the list
wire::VmDatagram makeOwnerNotice(std::int64_t offset);

/// @param offset of the list after the change
/// @param id of an endpoint that starts to leave
/// @return datagram that forwards the change
wire::VmDatagram makeLeavingChange(std::int64_t offset, const std::string &id);

} // namespace lacewing::testing
