// Datagrams on the software versions that began streams, on the list that says which versions there are, and on what
// other VMs have seen: each goes to one VM.

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
    if (datagram.__isset.listAsk && this->onListAsk) {
        this->onListAsk(datagram.vm, datagram.listAsk);
    }
    if (datagram.__isset.listAnswer && this->onListAnswer) {
        this->onListAnswer(datagram.vm, datagram.listAnswer);
    }
    if (datagram.__isset.historyAsk && this->onHistoryAsk) {
        this->onHistoryAsk(datagram.vm, datagram.historyAsk);
    }
    if (datagram.__isset.historyAnswer && this->onHistoryAnswer) {
        this->onHistoryAnswer(datagram.vm, datagram.historyAnswer);
    }
}

void VmGossip::sendHistoryAsk(const VmId &vm, const wire::HistoryAsk &ask)
{
    wire::VmDatagram datagram = this->newDatagram();
    datagram.__set_historyAsk(ask);
    this->sendToVm(vm, datagram);
}

void VmGossip::sendHistoryAnswer(const VmId &vm, const wire::HistoryAnswer &answer)
{
    wire::VmDatagram datagram = this->newDatagram();
    datagram.__set_historyAnswer(answer);
    this->sendToVm(vm, datagram);
}

void VmGossip::sendListAsk(const VmId &vm, const wire::ListAsk &ask)
{
    wire::VmDatagram datagram = this->newDatagram();
    datagram.__set_listAsk(ask);
    this->sendToVm(vm, datagram);
}

void VmGossip::sendListAnswer(const VmId &vm, const wire::ListAnswer &answer)
{
    wire::VmDatagram datagram = this->newDatagram();
    datagram.__set_listAnswer(answer);
    this->sendToVm(vm, datagram);
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
