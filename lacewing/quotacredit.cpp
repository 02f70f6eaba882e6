// Recent use is a sum in which each request fades over a second, so it approximates the units spent a second.

#include "quotacredit.h"

#include <algorithm>
#include <cmath>

namespace lacewing {

namespace {

constexpr Duration fadeTime = milliseconds(1000);
/// Units are asked for in advance for this time: half of their lifetime, so that few expire.
constexpr Duration advanceTime = unitLifetime / 2;

/// Sums of the same units may differ by rounding.
constexpr double unitTolerance = 1e-6;

void fade(QuotaCredit &credit, TimePoint now)
{
    const double passed = std::chrono::duration<double>(now - credit.updated) / std::chrono::duration<double>(fadeTime);
    credit.recentUse *= std::exp(-std::max(0.0, passed));
    credit.updated = now;
}

} // namespace

double availableUnits(QuotaCredit &credit, TimePoint now)
{
    std::erase_if(credit.granted, [now](const GrantedUnits &one) { return now - one.asked >= unitLifetime; });
    double units = 0;
    for (const GrantedUnits &one : credit.granted) {
        units += one.units;
    }
    return units;
}

std::optional<TimePoint> spendUnits(QuotaCredit &credit, double units, TimePoint now)
{
    if (availableUnits(credit, now) + unitTolerance < units) {
        return std::nullopt;
    }
    fade(credit, now);
    credit.recentUse += units;
    TimePoint asked = now;
    for (double left = units; left > 0 && !credit.granted.empty();) {
        GrantedUnits &oldest = credit.granted.front();
        asked = std::min(asked, oldest.asked);
        const double taken = std::min(left, oldest.units);
        oldest.units -= taken;
        left -= taken;
        if (oldest.units <= 0) {
            credit.granted.pop_front();
        }
    }
    return asked;
}

void addUnits(QuotaCredit &credit, double units, TimePoint asked)
{
    const auto later = std::find_if(credit.granted.begin(), credit.granted.end(),
                                    [asked](const GrantedUnits &one) { return one.asked > asked; });
    credit.granted.insert(later, {units, asked});
}

double expectedUnits(QuotaCredit &credit, TimePoint now)
{
    fade(credit, now);
    const double perSecond = credit.recentUse / std::chrono::duration<double>(fadeTime).count();
    return perSecond * std::chrono::duration<double>(advanceTime).count();
}

} // namespace lacewing
