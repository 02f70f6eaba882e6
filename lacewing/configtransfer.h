// Fetches a newer configuration from another VM, and sends this VM's configuration to VMs that ask for it.
//
//   ConfigTransfer transfer(context, clock, vm, ports);
//   transfer.recordStated(vm, inOwnZone, version);   // with each heartbeat that states a newer version
//   transfer.recordInForce(version, record);         // a configuration is in force
//   transfer.answerAsk(vm, known);                   // another VM asks
//   transfer.receive(vm, record);                    // another VM sends
//
// A VM asks by datagram. The record is sent over the connections on which VMs forward requests to each other, to the
// address and with the token that the asking VM has announced through the platform: the VM that asks may be unable to
// read the platform, and accepts a record only from a VM that can. A configuration that contains callers' keys is
// neither kept as text nor sent.

#pragma once

#include "netaddress.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <random>
#include <string>

#include "configcatchup.h"
#include "httpclient.h"
#include "platformport.h"

namespace lacewing {

class RuntimeClock;

/// Counts since the start, for the metrics page.
struct ConfigTransferCounters {
    std::int64_t asked = 0; ///< asks sent to other VMs
    std::int64_t received = 0; ///< configurations from other VMs
    std::int64_t sent = 0; ///< configurations to other VMs
    std::int64_t refused = 0; ///< asks of other VMs that were not answered
};

struct ConfigTransferPorts {
    /// Returns the version in force; 0: none.
    std::function<std::int64_t()> versionInForce;
    /// Sends an ask to a VM.
    std::function<void(const VmId &, std::int64_t known)> sendAsk;
    /// Returns the contact of a VM that is alive at its announced address.
    std::function<std::optional<VmContact>(const VmId &)> contactOf;
    /// Returns whether another VM is sending a large record.
    std::function<bool()> isReceiving;
    /// Called when a VM asks whose contact is not known.
    std::function<void()> onContactUnknown;
    /// Decodes a record and puts the configuration into force if it is newer. Returns whether it could be decoded.
    std::function<bool(const std::string &record)> onRecord;
};

class ConfigTransfer
{
public:
    /// @param ioContext event loop; outlives the transfer
    /// @param runtimeClock source of all times
    /// @param ownVm name of this VM
    /// @param transferPorts connections to the rest of the VM
    ConfigTransfer(asio::io_context &ioContext, RuntimeClock &runtimeClock, VmId ownVm,
                   ConfigTransferPorts transferPorts);

    /// Records that another VM states a version that is newer than the one in force.
    /// @param vm the other VM
    /// @param inOwnZone whether it is in the zone of this VM
    /// @param version that it states
    void recordStated(const VmId &vm, bool inOwnZone, std::int64_t version);
    /// Records that this VM has put a configuration into force.
    /// @param version of the configuration
    /// @param configRecord as read from the platform; empty: not to be passed on
    void recordInForce(std::int64_t version, std::string configRecord);

    /// @return for how long this VM has known that another one has a newer configuration; nothing: no VM has
    std::optional<Duration> behind() const;

    /// Sends the configuration to a VM that asks for it, if it is newer and may be sent now.
    /// @param vm that asks
    /// @param known version in force at that VM
    void answerAsk(const VmId &vm, std::int64_t known);
    /// Takes a configuration that another VM has sent.
    /// @param vm that has sent it
    /// @param configRecord of the configuration
    void receive(const VmId &vm, const std::string &configRecord);

    ConfigTransferCounters counts;

private:
    void scheduleCheck(Duration delay);
    void check();
    asio::awaitable<void> send(VmContact contact);

    asio::io_context &context;
    RuntimeClock &clock;
    VmId own;
    ConfigTransferPorts ports;
    HttpPool pool;
    asio::steady_timer timer;
    std::mt19937_64 random;
    ConfigCatchUp catchUp;
    ConfigSendBudget budget;
    std::string record; ///< of the configuration in force; empty: not passed on
    bool checkPending = false;
    bool lagLogged = false; ///< the present lag has been logged
};

} // namespace lacewing
