// Holders are removed once this VM has their version, so a VM that is not behind has none and spends nothing.

#include "configcatchup.h"

#include <algorithm>
#include <vector>

namespace lacewing {

void recordStatedVersion(ConfigCatchUp &catchUp, const VmId &vm, bool inOwnZone, std::int64_t version,
                         std::int64_t inForce, TimePoint now)
{
    if (version <= inForce) {
        return;
    }
    if (catchUp.holders.empty()) {
        catchUp.behindSince = now;
    }
    if (catchUp.holders.size() >= maxConfigHolders && !catchUp.holders.contains(vm)) {
        return;
    }
    ConfigHolder &holder = catchUp.holders[vm];
    holder.version = std::max(holder.version, version);
    holder.inOwnZone = inOwnZone;
    holder.stated = now;
}

void recordInForce(ConfigCatchUp &catchUp, std::int64_t version, TimePoint now)
{
    const auto erased
        = std::erase_if(catchUp.holders, [version](const auto &holder) { return holder.second.version <= version; });
    if (erased > 0 && !catchUp.holders.empty()) {
        catchUp.behindSince = now; // of a later version
    }
}

std::optional<Duration> timeBehind(const ConfigCatchUp &catchUp, TimePoint now)
{
    return catchUp.holders.empty() ? std::nullopt : std::optional<Duration>(now - catchUp.behindSince);
}

std::optional<VmId> holderToAsk(const ConfigCatchUp &catchUp, std::uint64_t draw, TimePoint now)
{
    const std::optional<Duration> behind = timeBehind(catchUp, now);
    const bool tooEarly = now - catchUp.lastAsk < askInterval || now < catchUp.pausedUntil;
    if (!behind || *behind < ownReadTime || tooEarly) {
        return std::nullopt;
    }
    std::vector<VmId> near;
    std::vector<VmId> far;
    for (const auto &[vm, holder] : catchUp.holders) {
        if (now >= holder.avoidedUntil && now - holder.stated < holderLifetime) {
            (holder.inOwnZone ? near : far).push_back(vm);
        }
    }
    const std::vector<VmId> &candidates = near.empty() ? far : near;
    if (candidates.empty()) {
        return std::nullopt;
    }
    return candidates[draw % candidates.size()];
}

void recordAsked(ConfigCatchUp &catchUp, const VmId &vm, TimePoint now)
{
    catchUp.lastAsk = now;
    const auto found = catchUp.holders.find(vm);
    if (found != catchUp.holders.end()) {
        found->second.avoidedUntil = now + holderAvoidance;
    }
}

void recordUnusable(ConfigCatchUp &catchUp, TimePoint now)
{
    catchUp.pausedUntil = now + unusableRecordPause;
}

bool takeConfigBytes(ConfigSendBudget &budget, std::size_t size, TimePoint now)
{
    const double elapsed = std::chrono::duration<double>(now - budget.refilled).count();
    budget.bytes = std::min(configSendBurst, budget.bytes + std::max(0.0, elapsed) * configSendRate);
    budget.refilled = now;
    if (budget.bytes <= 0) {
        return false;
    }
    budget.bytes -= static_cast<double>(size);
    return true;
}

} // namespace lacewing
