#include "peereligibility.h"

#include "knownvm.h"
#include "platformport.h"

namespace lacewing {

bool mayForwardTo(const KnownVm &vm, const VmContact &contact, const ServiceName &service, TimePoint now)
{
    const auto announced = parseAddress(contact.address);
    const bool atAnnouncedAddress
        = announced && vm.address.address() == announced->address() && vm.address.port() == announced->port();
    return atAnnouncedAddress && !contact.token.empty() && isAlive(vm, now) && !vm.leaving
        && !saysUnreachable(vm, service, now);
}

} // namespace lacewing
