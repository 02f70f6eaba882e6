// Decides which VMs may get forwarded requests.
//
// Load pattern: VMs are replaced and restarted at other addresses while this VM is cut off from a service. A forwarded
// request carries its caller's key, so it must not go to an address that another process has taken over.

#pragma once

#include "types.h"

namespace lacewing {

struct KnownVm;
struct VmContact;

/// @param vm what is known of another VM from its datagrams
/// @param contact the VM as announced through the platform
/// @param now time
/// @return whether the VM takes requests of other VMs and is alive at the announced address
bool isAtAnnouncedAddress(const KnownVm &vm, const VmContact &contact, TimePoint now);

/// @param vm what is known of another VM from its datagrams
/// @param contact the VM as announced through the platform
/// @param service of the request
/// @param now time
/// @return whether the VM takes forwarded requests, is alive at the announced address, and does not say that it is
/// stopping or cut off from the service
bool mayForwardTo(const KnownVm &vm, const VmContact &contact, const ServiceName &service, TimePoint now);

} // namespace lacewing
