// Which VMs take over the requests of this VM when it is cut off from a service.
//
// Address and token of a VM are those announced through the platform: a datagram could come from any process in the
// network, and requests may carry callers' keys.

#include "entrynode.h"
#include "peereligibility.h"

namespace lacewing {

namespace {

/// Minimum interval of the reads of the VM list on request.
constexpr Duration contactsInterval = milliseconds(1000);
/// A cancellation is sent again after this time, in case a datagram is lost.
constexpr Duration cancelRepeatDelay = milliseconds(100);

} // namespace

void EntryNode::connectForwarding()
{
    this->dataPath.forwardingPeers = [this](const ServiceName &service) { return this->forwardingPeers(service); };
    this->gossip.onForwardCancel
        = [this](const VmId &vm, const std::string &id) { this->dataPath.cancelForwarded(vm, id); };
    // The connection to the other VM may be silent, so that its close reaches nobody.
    this->dataPath.onForwardCancelled = [this](const VmId &vm, const std::string &id) {
        this->gossip.sendForwardCancel(vm, id);
        this->after(cancelRepeatDelay, [this, vm, id] { this->gossip.sendForwardCancel(vm, id); });
    };
    this->dataPath.onReachUpdate = [this] {
        this->gossip.unreachableServices = this->dataPath.reachWatch().unreachableServices();
        this->heartbeat();
        if (!this->gossip.unreachableServices.empty()) {
            this->refreshContacts(); // VMs that have started since the last read are missing
        }
    };
    this->dataPath.onPeersOutdated = [this] { this->refreshContacts(); };
}

void EntryNode::refreshContacts()
{
    const TimePoint now = this->clock.now();
    if (now - this->contactsRead >= contactsInterval) {
        this->contactsRead = now;
        this->refreshVms();
    }
}

std::vector<ForwardingPeer> EntryNode::forwardingPeers(const ServiceName &service) const
{
    const TimePoint now = this->clock.now();
    std::vector<ForwardingPeer> peers;
    for (const auto &[name, vm] : this->gossip.vms()) {
        const auto contact = this->contacts.find(name);
        if (contact != this->contacts.end() && mayForwardTo(vm, contact->second, service, now)) {
            peers.push_back({name, contact->second.address, contact->second.token, vm.millicores});
        }
    }
    return peers;
}

} // namespace lacewing
