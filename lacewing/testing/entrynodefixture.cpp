// Calls are answered at once, except announcements if they are to be stored later, and orders and reports if loads
// never end.

#include "entrynodefixture.h"

#include <cstdint>

#include <unistd.h>

namespace lacewing::testing {

std::string freeAddress()
{
    constexpr std::uint32_t loopback = 0x7f000000;
    constexpr std::uint32_t hostBits = 0x00ffffff;
    constexpr int firstPort = 20000;
    static int next = firstPort;
    const std::uint32_t host = 0x100 + static_cast<std::uint32_t>(::getpid()); // not 127.0.0.1
    const asio::ip::address_v4 address(loopback | (host & hostBits));
    return address.to_string() + ":" + std::to_string(next++);
}

PlatformPort FakePlatform::port(const VmId &vm)
{
    PlatformPort made;
    made.claim = [this, vm](std::int64_t superseded, std::int64_t process,
                            const std::function<void(std::optional<ClaimReply>)> &done) {
        if (this->unreachableVms.contains(vm)) {
            done(std::nullopt);
            return;
        }
        const auto end = static_cast<std::int64_t>(this->claims.size());
        if (superseded == end) {
            this->claims.push_back(vm);
            this->claimProcess = process;
        }
        done(ClaimReply {superseded == end, static_cast<std::int64_t>(this->claims.size())});
    };
    made.claimHolder = [this](const std::function<void(std::optional<ClaimHolder>)> &done) {
        const VmId holder = this->claims.empty() ? VmId() : this->claims.back();
        done(ClaimHolder {static_cast<std::int64_t>(this->claims.size()), holder, this->claimProcess});
    };
    made.newestClaim = [this](std::int64_t, const std::function<void(std::optional<std::int64_t>)> &done) {
        done(static_cast<std::int64_t>(this->claims.size()));
    };
    made.order = [this](const PlacementOrder &, const std::string &, std::int64_t,
                        const std::function<void(OrderReply)> &done) {
        this->orders += 1;
        if (this->loadsNeverEnd != nullptr) {
            asio::post(*this->loadsNeverEnd, [done] { done(OrderReply::Accepted); });
        } else {
            done(OrderReply::NoAnswer);
        }
    };
    made.report
        = [this](const EndpointName &, const std::string &, const std::function<void(const ReportAnswer &)> &done) {
              EndpointReport report;
              if (this->loadsNeverEnd == nullptr) {
                  done({report});
                  return;
              }
              report.held["m"] = 1;
              asio::post(*this->loadsNeverEnd, [done, report] { done({report}); });
          };
    made.announce = [this](const VmContact &contact, const std::function<void(bool)> &done) {
        const auto store = [this, contact, done] {
            this->contacts.push_back(contact);
            done(true);
        };
        if (this->storedLater != nullptr) {
            asio::post(*this->storedLater, store);
        } else {
            store();
        }
    };
    made.withdraw = [](const VmId &) {};
    made.storeMix = [](const ServiceName &, std::int64_t, const std::function<void(bool)> &stored) { stored(true); };
    made.storeOrigins = [this](const std::string &record, const std::function<void(bool)> &stored) {
        this->origins.push_back(record);
        stored(true);
    };
    made.readOrigins
        = [this](const std::function<void(std::optional<std::vector<std::string>>)> &done) { done(this->origins); };
    made.listVms
        = [this](const std::function<void(std::optional<std::vector<VmContact>>)> &done) { done(this->contacts); };
    return made;
}

EntryNodeSettings settingsOf(const VmId &vm)
{
    EntryNodeSettings settings;
    settings.vm = vm;
    settings.zone = "z";
    settings.callerAddress = "127.0.0.1:0";
    settings.readyAddress = "127.0.0.1:0";
    settings.readyPath = "/ready";
    settings.datagramAddress = freeAddress();
    settings.claim.ownerChangeDelay = Duration {0};
    return settings;
}

std::shared_ptr<const RouteConfig> makeEngineConfig()
{
    constexpr int placesForAdapters = 18;
    EngineSpec engine;
    engine.slots = 32;
    engine.adapterSlots = placesForAdapters;
    engine.weightsMegabytes = 67000;
    engine.models.push_back({"m", 65000, 12, milliseconds(600)});
    ServiceSpec service;
    service.name = "s";
    service.engine = engine;
    RouteConfig config;
    config.version = 1;
    config.services["s"] = service;
    return std::make_shared<const RouteConfig>(config);
}

EndpointEntry makeEntry(bool leaving)
{
    EndpointEntry entry;
    entry.id = "i-1";
    entry.service = "s";
    entry.address = "127.0.0.1:9";
    entry.zone = "z";
    entry.leaving = leaving;
    entry.held["m"] = 1;
    return entry;
}

} // namespace lacewing::testing
