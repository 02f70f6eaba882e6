// The socket is polled and never waited for, so that the test determines when datagrams are read.

#include "fakepeervm.h"

#include <array>

#include "codec.h"

namespace lacewing::testing {

namespace {

using Udp = asio::ip::udp;

constexpr std::size_t maxDatagramBytes = 65536;

} // namespace

FakePeerVm::FakePeerVm(asio::io_context &context, VmId name, ZoneName ownZone)
    : vm(std::move(name)), zone(std::move(ownZone)), socket(context, {asio::ip::address_v4::loopback(), 0})
{
    this->socket.non_blocking(true);
}

VmContact FakePeerVm::contact() const
{
    return {this->vm, this->zone, "127.0.0.1:" + std::to_string(this->socket.local_endpoint().port())};
}

void FakePeerVm::send(const std::string &to, wire::VmDatagram datagram)
{
    datagram.vm = this->vm;
    datagram.incarnation = 1;
    datagram.number = this->nextNumber++;
    datagram.zone = this->zone;
    const auto address = parseAddress(to);
    this->socket.send_to(asio::buffer(encode(datagram)), Udp::endpoint(address->address(), address->port()));
}

std::vector<wire::VmDatagram> FakePeerVm::received()
{
    std::vector<wire::VmDatagram> all;
    std::array<char, maxDatagramBytes> bytes {};
    for (;;) {
        NetError error;
        Udp::endpoint sender;
        const std::size_t size = this->socket.receive_from(asio::buffer(bytes), sender, 0, error);
        if (error) {
            return all;
        }
        wire::VmDatagram datagram;
        if (!decode(std::string_view(bytes.data(), size), datagram)) {
            all.push_back(std::move(datagram));
        }
    }
}

wire::VmDatagram makeOwnerNotice(std::int64_t offset)
{
    wire::PlacementNotice notice;
    notice.zone = "z";
    notice.fencing = 1;
    notice.listAgeMilliseconds = 0;
    notice.listChange = offset;
    notice.listOffset = offset;
    wire::VmDatagram datagram;
    datagram.__set_placement(notice);
    return datagram;
}

wire::VmDatagram makeLeavingChange(std::int64_t offset, const std::string &id)
{
    wire::ListedEndpoint listed;
    listed.endpoint = id;
    listed.serviceName = "s";
    listed.address = "127.0.0.1:9";
    listed.zone = "z";
    listed.slots = 1;
    listed.leaving = true;
    wire::ListChange change;
    change.offset = offset;
    change.listed = {listed};
    wire::VmDatagram datagram;
    datagram.__set_listChange(change);
    return datagram;
}

} // namespace lacewing::testing
