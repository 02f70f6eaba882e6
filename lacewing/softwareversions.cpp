// A VM that has just started sees the versions of now only. It asks others (historyexchange.h), whose answers count
// like what it had seen itself, and reads what was stored.

#include "softwareversions.h"

#include <algorithm>
#include <vector>

#include "routeconfig.h"

namespace lacewing {

namespace {

Duration windowOf(const ServiceVersions &service)
{
    return service.streamLife + listAgeMargin;
}

std::vector<std::string> recentVersions(const ServiceVersions &service, TimePoint now)
{
    std::vector<std::string> recent;
    for (const auto &[version, seen] : service.seen) {
        if (seen.listed > 0 || now - seen.last < windowOf(service)) {
            recent.push_back(version);
        }
    }
    return recent;
}

bool isMixed(const ServiceVersions &service, TimePoint now)
{
    return now < service.toldMixedUntil || recentVersions(service, now).size() != 1;
}

void recordListed(ServiceVersions &service, const std::string &version, TimePoint now)
{
    const std::vector<std::string> recent = recentVersions(service, now);
    const bool isNew = std::find(recent.begin(), recent.end(), version) == recent.end();
    if (!service.watchedSince) {
        service.watchedSince = now;
    }
    if (isNew && recent.size() == 1) {
        // Endpoints that were listed together with this one did not serve before it.
        const bool servedAlone = now >= service.toldMixedUntil && now - *service.watchedSince >= listAgeMargin;
        service.first = servedAlone ? std::optional<FirstVersion>({recent.front(), now}) : std::nullopt;
    }
    service.seen[version].listed += 1;
}

void recordUnlisted(ServiceVersions &service, const std::string &version, TimePoint now)
{
    SeenVersion &seen = service.seen[version];
    seen.listed = std::max(0, seen.listed - 1);
    seen.last = now;
    std::erase_if(service.seen, [&](const auto &entry) {
        return entry.second.listed == 0 && now - entry.second.last >= windowOf(service);
    });
}

} // namespace

Duration streamLife(const RouteConfig &config, const ServiceName &service)
{
    Duration longest {0};
    for (const ServiceRoute &route : config.routes) {
        if (route.kind == RouteKind::Stream && route.resumable && hasService(route, service)) {
            longest = std::max(longest, route.timeout);
        }
    }
    return std::min(2 * longest, maxStreamLife); // a resumption may last as long as the request before it
}

void setStreamLives(SoftwareVersions &versions, const RouteConfig &config)
{
    for (const auto &[name, spec] : config.services) {
        versions[name].streamLife = streamLife(config, name);
    }
}

void recordVersions(SoftwareVersions &versions, const ServiceName &service, const std::optional<std::string> &before,
                    const std::optional<std::string> &after, TimePoint now)
{
    if (before == after) {
        return;
    }
    ServiceVersions &changed = versions[service];
    if (after) {
        recordListed(changed, *after, now);
    }
    if (before) {
        recordUnlisted(changed, *before, now);
    }
    // An entry that was passed on without its version and is complete now has not changed.
    const auto unstated = changed.seen.find({});
    if (before && before->empty() && after && unstated != changed.seen.end() && unstated->second.listed == 0) {
        changed.seen.erase(unstated);
    }
}

void recordToldVersions(SoftwareVersions &versions, const ServiceName &service, const std::optional<std::string> &sole,
                        Duration watched, TimePoint now)
{
    ServiceVersions &told = versions[service];
    const std::vector<std::string> recent = recentVersions(told, now);
    if (recent.empty() && sole) {
        told.seen[*sole].last = now; // it has left the list unseen, or is not listed here yet
    }
    if (recent.size() != 1) {
        return; // what was seen here is more recent
    }
    if (!sole || *sole != recent.front()) {
        told.toldMixedUntil = now + windowOf(told);
        told.first.reset();
        return;
    }
    told.watchedSince = std::min(told.watchedSince.value_or(now), now - std::max(Duration {0}, watched));
    if (told.interrupted && *told.watchedSince <= told.interrupted->until) {
        told.watchedSince = std::min(*told.watchedSince, told.interrupted->since);
        told.interrupted.reset();
    }
}

void recordToldMix(SoftwareVersions &versions, const ServiceName &service, Duration left, TimePoint now)
{
    ServiceVersions &told = versions[service];
    told.toldMixedUntil = std::max(told.toldMixedUntil, now + std::clamp(left, Duration {0}, windowOf(told)));
    told.first.reset();
}

std::optional<VersionsStatement> stateVersions(const SoftwareVersions &versions, const ServiceName &service,
                                               bool listCurrent, TimePoint now)
{
    const auto found = versions.find(service);
    if (found == versions.end()) {
        return std::nullopt;
    }
    const ServiceVersions &one = found->second;
    const Duration left = std::max(one.toldMixedUntil - now, mixedFor(one, now));
    if (left.count() > 0) {
        return VersionsStatement {std::nullopt, Duration {0}, left};
    }
    const std::string sole = soleVersion(versions, service, now);
    const bool isSole = recentVersions(one, now).size() == 1;
    if (!isSole || !listCurrent || !one.watchedSince) {
        return std::nullopt;
    }
    return VersionsStatement {sole, now - *one.watchedSince, Duration {0}};
}

Duration mixedFor(const ServiceVersions &service, TimePoint now)
{
    std::vector<TimePoint> ends; // of each version's time
    for (const auto &[version, seen] : service.seen) {
        ends.push_back((seen.listed > 0 ? now : seen.last) + windowOf(service));
    }
    if (ends.size() < 2) {
        return Duration {0};
    }
    std::sort(ends.begin(), ends.end());
    return std::max(Duration {0}, ends[ends.size() - 2] - now);
}

void recordStoredMix(SoftwareVersions &versions, const ServiceName &service, Duration left, TimePoint now)
{
    ServiceVersions &known = versions[service];
    if (!watchedLongEnough(known, now)) {
        known.toldMixedUntil = std::max(known.toldMixedUntil, now + std::min(left, maxStreamLife + listAgeMargin));
    }
}

void restartWatch(SoftwareVersions &versions, TimePoint knownUntil, TimePoint now)
{
    for (auto &[name, service] : versions) {
        if (service.watchedSince && !service.interrupted && *service.watchedSince < knownUntil) {
            service.interrupted = InterruptedWatch {*service.watchedSince, std::min(knownUntil, now)};
        }
        service.watchedSince = now;
    }
}

bool areSeveralKnown(const ServiceVersions &service, TimePoint now)
{
    return now < service.toldMixedUntil || recentVersions(service, now).size() > 1;
}

bool needsOrigins(const SoftwareVersions &versions, const ServiceName &service, TimePoint now)
{
    const auto found = versions.find(service);
    return found == versions.end() || isMixed(found->second, now);
}

std::string soleVersion(const SoftwareVersions &versions, const ServiceName &service, TimePoint now)
{
    const auto found = versions.find(service);
    if (found == versions.end()) {
        return {};
    }
    const std::vector<std::string> recent = recentVersions(found->second, now);
    return recent.size() == 1 ? recent.front() : std::string();
}

std::optional<FirstVersion> firstVersion(const SoftwareVersions &versions, const ServiceName &service, TimePoint now)
{
    const auto found = versions.find(service);
    if (found == versions.end() || !found->second.first) {
        return std::nullopt;
    }
    // Later on, the records of the first streams of the second version have expired too.
    const bool holds = now - found->second.first->until < found->second.streamLife;
    return holds ? found->second.first : std::nullopt;
}

bool watchedLongEnough(const ServiceVersions &service, TimePoint now)
{
    return service.watchedSince && now - *service.watchedSince >= windowOf(service);
}

} // namespace lacewing
