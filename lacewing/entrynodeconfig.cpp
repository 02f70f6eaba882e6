// Reads of the operators' changes that prove that the configuration is current, and those that the placement owner of
// the zone passes on (configproof.h).

#include "entrynode.h"

#include <algorithm>
#include <utility>

#include "eventlog.h"

namespace lacewing {

namespace {

/// A lag that lasts longer than this is logged.
constexpr Duration loggedLag = milliseconds(1000);

} // namespace

void EntryNode::receiveConfigVersion(const VmId &vm, std::int64_t version)
{
    const TimePoint now = this->clock.now();
    recordStatedVersion(this->configCatchUp, vm, version, this->gossip.configVersion, now);
    const std::optional<Duration> lag = timeBehind(this->configCatchUp, now);
    if (lag && *lag >= loggedLag && !this->configLagLogged) {
        this->configLagLogged = true;
        logEvent("config_behind",
                 {{"version", std::to_string(this->gossip.configVersion)},
                  {"behind_ms", inMilliseconds(*lag)},
                  {"holders", std::to_string(this->configCatchUp.holders.size())}});
    }
}

bool EntryNode::needsConfigProofs() const
{
    const auto &config = this->dataPath.config();
    return this->settings.revocationBound && config && config->requiresKeys;
}

void EntryNode::checkConfigProof()
{
    if (!this->needsConfigProofs() || !this->onConfigCheck) {
        return;
    }
    const TimePoint now = this->clock.now();
    const ConfigReader reader {this->owner.active(), this->configCheckBegun};
    if (!shouldReadConfig(this->dataPath.configProof, reader, *this->settings.revocationBound, now)) {
        return;
    }
    this->configCheckBegun = now;
    this->receivedAtConfigCheck = this->gossip.receivedNumbers();
    this->onConfigCheck();
}

void EntryNode::passOnConfigRead(TimePoint begun)
{
    // Other reads, such as one that has waited for news, may have begun before those datagrams were received.
    const bool covers = this->configCheckBegun && begun >= *this->configCheckBegun;
    if (!covers || !this->owner.active() || this->receivedAtConfigCheck.numbers.empty()) {
        return;
    }
    wire::ConfigRead read = std::exchange(this->receivedAtConfigCheck, {});
    read.offset = this->dataPath.configProof.appliedOffset;
    this->gossip.sendConfigRead(read);
}

void EntryNode::receiveConfigRead(const wire::ConfigRead &read)
{
    const std::size_t count = std::min(read.incarnations.size(), read.numbers.size());
    for (std::size_t index = 0; index < count; ++index) {
        if (read.incarnations[index] == this->gossip.ownIncarnation()) {
            recordPassedOnRead(this->dataPath.configProof, read.offset, read.numbers[index]);
        }
    }
}

} // namespace lacewing
