// Datagrams on the software versions that began streams: each goes to one VM.

#include "vmgossip.h"

namespace lacewing {

void VmGossip::dispatchOrigins(const wire::VmDatagram &datagram)
{
    if (datagram.__isset.originRecords && this->onOriginRecords) {
        this->onOriginRecords(datagram.originRecords);
    }
    if (datagram.__isset.originAsk && this->onOriginAsk) {
        this->onOriginAsk(datagram.vm, datagram.originAsk);
    }
    if (datagram.__isset.originAnswer && this->onOriginAnswer) {
        this->onOriginAnswer(datagram.vm, datagram.originAnswer);
    }
}

void VmGossip::sendOriginRecords(const VmId &vm, const wire::OriginRecords &records)
{
    wire::VmDatagram datagram = this->newDatagram();
    datagram.__set_originRecords(records);
    this->sendToVm(vm, datagram);
}

void VmGossip::sendOriginAsk(const VmId &vm, const wire::OriginAsk &ask)
{
    wire::VmDatagram datagram = this->newDatagram();
    datagram.__set_originAsk(ask);
    this->sendToVm(vm, datagram);
}

void VmGossip::sendOriginAnswer(const VmId &vm, const wire::OriginAnswer &answer)
{
    wire::VmDatagram datagram = this->newDatagram();
    datagram.__set_originAnswer(answer);
    this->sendToVm(vm, datagram);
}

} // namespace lacewing
