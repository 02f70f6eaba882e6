#include "peereligibility.h"

#include "knownvm.h"
#include "platformport.h"

namespace lacewing {

bool isAtAnnouncedAddress(const KnownVm &vm, const VmContact &contact, TimePoint now)
{
    const auto announced = parseAddress(contact.address);
    return announced && vm.address.address() == announced->address() && vm.address.port() == announced->port()
        && !contact.token.empty() && isAlive(vm, now);
}

bool mayForwardTo(const KnownVm &vm, const VmContact &contact, const ServiceName &service, TimePoint now)
{
    return isAtAnnouncedAddress(vm, contact, now) && !vm.leaving && !saysUnreachable(vm, service, now);
}

} // namespace lacewing
