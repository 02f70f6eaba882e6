// Events are functions in a queue by time. A VM that is frozen handles what reached it when it runs again.

#include "quotamodel.h"

#include <algorithm>
#include <cmath>

#include "knownvm.h"

namespace lacewing::testing {

namespace {

constexpr double slack = 17000;
constexpr double overshoot = 1.1;
constexpr double windowSeconds = 8;
/// Head of a datagram, an ask, an answer and an announcement, as encoded.
constexpr std::size_t askBytes = 90;
constexpr std::size_t answerBytes = 75;
constexpr std::size_t announcementBytes = 70;
constexpr std::int64_t maxDelayMicroseconds = 3000;

} // namespace

QuotaModel::QuotaModel(QuotaModelSettings modelSettings, std::uint64_t seed)
    : settings(std::move(modelSettings)),
      random(seed),
      uses(settings.rates.size()),
      references(settings.rates.size()),
      totals(settings.rates.size()),
      outCutUntil(settings.zones),
      inCutUntil(settings.zones)
{
    this->clock.pause();
    this->begun = this->clock.now();
    RouteConfig made;
    made.version = 1;
    made.requiresKeys = true;
    for (std::size_t index = 0; index < this->settings.rates.size(); ++index) {
        Organisation organisation;
        organisation.name = "o" + std::to_string(index);
        organisation.quota = {this->settings.rates[index], this->settings.rates[index], true, 200};
        made.organisations.push_back(organisation);
        this->totals[index].rate = organisation.quota.rate;
    }
    this->config = std::make_shared<const RouteConfig>(made);
    this->vms.resize(this->settings.vms);
    for (std::size_t number = 0; number < this->vms.size(); ++number) {
        this->vms[number].id = "vm" + std::to_string(number);
        this->vms[number].zone = number % this->settings.zones;
        this->vms[number].heard.resize(this->vms.size());
        this->startVm(number);
    }
}

double QuotaModel::draw()
{
    return std::uniform_real_distribution<double>(0, 1)(this->random);
}

void QuotaModel::at(TimePoint time, std::function<void()> action)
{
    this->events.push({time, this->nextOrder++, std::move(action)});
}

std::size_t QuotaModel::numberOf(const VmId &id) const
{
    return std::stoul(id.substr(2));
}

void QuotaModel::startVm(std::size_t number)
{
    Vm &vm = this->vms[number];
    vm.incarnation += 1;
    vm.up = true;
    std::fill(vm.heard.begin(), vm.heard.end(), TimePoint {});
    QuotaSettings own;
    own.vm = vm.id;
    own.zone = "z" + std::to_string(vm.zone);
    own.millicores = number < 2 * this->settings.zones ? 500 : 120;
    own.zones = static_cast<std::int32_t>(this->settings.zones);
    own.bounds = {milliseconds(8000), overshoot - 1, slack};
    QuotaPorts ports;
    ports.ask = [this, number](const VmId &to, const wire::QuotaAsk &ask) {
        const std::size_t other = this->numberOf(to);
        this->deliver(number, other, askBytes, [this, number, other, ask] {
            const Vm &from = this->vms[number];
            this->vms[other].exchange->receiveAsk(from.id, "z" + std::to_string(from.zone), ask);
        });
    };
    ports.answer = [this, number](const VmId &to, const wire::QuotaAnswer &answer) {
        const std::size_t other = this->numberOf(to);
        const std::uint64_t incarnation = this->vms[other].incarnation;
        this->deliver(number, other, answerBytes, [this, other, incarnation, answer] {
            if (this->vms[other].incarnation == incarnation) {
                this->vms[other].exchange->receiveAnswer(answer);
            }
        });
    };
    ports.announce = [this, number](const wire::QuotaLedgerNews &news) {
        for (std::size_t other = 0; other < this->vms.size(); ++other) {
            this->deliver(number, other, announcementBytes, [this, number, other, news] {
                const Vm &from = this->vms[number];
                this->vms[other].exchange->receiveNews(from.id, "z" + std::to_string(from.zone), news);
            });
        }
    };
    ports.zoneVms = [this, number] {
        std::vector<ZoneVm> others;
        const Vm &self = this->vms[number];
        for (std::size_t other = self.zone; other < this->vms.size(); other += this->settings.zones) {
            if (other != number) {
                const bool heard = this->clock.now() - self.heard[other] < vmFreshness;
                others.push_back({this->vms[other].id, other < 2 * this->settings.zones ? 500 : 120, heard});
            }
        }
        return others;
    };
    ports.wakeAfter = [this, number, incarnation = vm.incarnation](Duration delay) {
        this->at(this->clock.now() + delay, [this, number, incarnation] {
            if (this->vms[number].up && this->vms[number].incarnation == incarnation) {
                this->vms[number].exchange->expire();
            }
        });
    };
    vm.exchange = std::make_unique<QuotaExchange>(this->clock, own, ports);
    vm.exchange->setConfig(this->config);
    vm.exchange->vmsListed();
    this->at(this->clock.now() + milliseconds(static_cast<std::int64_t>(this->random() % 50)),
             [this, number, incarnation = vm.incarnation] { this->beat(number, incarnation); });
}

bool QuotaModel::isCut(std::size_t from, std::size_t to) const
{
    const TimePoint now = this->clock.now();
    const Vm &sender = this->vms[from];
    const Vm &receiver = this->vms[to];
    if (now < sender.muteUntil || now < receiver.deafUntil) {
        return true;
    }
    return sender.zone != receiver.zone
        && (now < this->outCutUntil[sender.zone] || now < this->inCutUntil[receiver.zone]);
}

void QuotaModel::deliver(std::size_t from, std::size_t to, std::size_t size, const std::function<void()> &action)
{
    this->bytes += static_cast<double>(size);
    if (from == to || this->isCut(from, to) || this->draw() < this->settings.datagramLoss) {
        return;
    }
    const auto delay = Duration(200 + static_cast<std::int64_t>(this->random() % maxDelayMicroseconds));
    this->at(this->clock.now() + delay, [this, to, action] {
        Vm &receiver = this->vms[to];
        if (!receiver.up) {
            return;
        }
        if (this->clock.now() < receiver.frozenUntil) {
            this->at(receiver.frozenUntil, action);
            return;
        }
        action();
    });
}

void QuotaModel::beat(std::size_t number, std::uint64_t incarnation)
{
    Vm &vm = this->vms[number];
    if (!vm.up || vm.incarnation != incarnation) {
        return;
    }
    if (this->clock.now() < vm.frozenUntil) {
        this->at(vm.frozenUntil, [this, number, incarnation] { this->beat(number, incarnation); });
        return;
    }
    for (std::size_t other = vm.zone; other < this->vms.size(); other += this->settings.zones) {
        this->deliver(number, other, 0, [this, number, other] { this->vms[other].heard[number] = this->clock.now(); });
    }
    vm.exchange->heartbeat();
    this->at(this->clock.now() + milliseconds(1000), [this, number, incarnation] { this->beat(number, incarnation); });
}

double QuotaModel::demandOf(std::size_t organisation) const
{
    const double passed = std::chrono::duration<double>(this->clock.now() - this->begun)
        / std::chrono::duration<double>(this->end - this->begun);
    const bool hot = this->settings.hotDemand > 0 && organisation == 0 && passed > 0.25 && passed < 0.5;
    return (hot ? this->settings.hotDemand : this->settings.demand) * this->settings.rates[organisation];
}

std::size_t QuotaModel::chooseVm(std::size_t organisation)
{
    const std::size_t number = this->random() % this->vms.size();
    if (!this->settings.oneZone) {
        return number;
    }
    constexpr std::int64_t moveMilliseconds = 7000;
    const auto move = static_cast<std::size_t>(toMilliseconds(this->clock.now() - this->begun) / moveMilliseconds);
    const std::size_t zone = (organisation + move) % this->settings.zones;
    const std::size_t inZone = number - number % this->settings.zones + zone;
    return inZone < this->vms.size() ? inZone : zone;
}

void QuotaModel::arrive(std::size_t organisation)
{
    constexpr double meanUnits = 1100;
    const double perSecond = this->demandOf(organisation) / meanUnits;
    const double units = std::round(300 + 1600 * this->draw());
    const std::size_t number = this->chooseVm(organisation);
    const Vm &vm = this->vms[number];
    if (vm.up && this->clock.now() >= vm.frozenUntil) {
        this->request(number, organisation, units);
    }
    const double seconds = -std::log(1 - this->draw()) / perSecond;
    this->at(this->clock.now() + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds)),
             [this, organisation] { this->arrive(organisation); });
}

bool QuotaModel::owes(std::size_t organisation, double units)
{
    const LedgerPart whole {1, {}};
    const Organisation &one = this->config->organisations[organisation];
    return grantUnits(this->references[organisation], one, {units, 0}, whole, this->clock.now()).units > 0;
}

void QuotaModel::request(std::size_t number, std::size_t organisation, double units)
{
    const Organisation &one = this->config->organisations[organisation];
    OrganisationResult &total = this->totals[organisation];
    const bool owed = this->owes(organisation, units);
    total.offered += units;
    total.owed += owed ? units : 0;
    const QuotaDone done = [this, organisation, units, owed](const QuotaOutcome &outcome) {
        if (outcome.result == QuotaResult::Granted) {
            this->uses[organisation].push_back({this->clock.now(), units});
            this->totals[organisation].granted += units;
        } else if (owed) {
            this->totals[organisation].refusedOwed += units;
        }
    };
    if (this->settings.equalShares) {
        const LedgerPart part {1.0 / static_cast<double>(this->vms.size()), {milliseconds(8000), overshoot - 1, slack}};
        const QuotaGrant grant = grantUnits(this->vms[number].ownShare, one, {units, 0}, part, this->clock.now());
        done({grant.units > 0 ? QuotaResult::Granted : QuotaResult::OverQuota, this->clock.now(), Duration {0}});
        return;
    }
    this->vms[number].exchange->acquire(one, units, done);
}

void QuotaModel::disturb()
{
    const TimePoint now = this->clock.now();
    const std::size_t number = this->random() % this->vms.size();
    Vm &vm = this->vms[number];
    const Duration length = milliseconds(500 + static_cast<std::int64_t>(this->random() % 6000));
    switch (this->random() % 5) {
    case 0:
        vm.frozenUntil = now + length;
        break;
    case 1:
        vm.deafUntil = now + length;
        break;
    case 2:
        vm.muteUntil = now + length;
        break;
    case 3:
        vm.deafUntil = now + length;
        vm.muteUntil = vm.deafUntil;
        break;
    default:
        vm.up = false;
        this->at(now + length, [this, number] { this->startVm(number); });
        break;
    }
    // Ledgers are among the first VMs, and disturbed as often as all others together.
    const std::size_t next = this->random() % (2 * this->settings.zones);
    if (next < this->vms.size() && this->draw() < 0.5) {
        this->vms[next].frozenUntil = now + length;
    }
    this->at(now + milliseconds(static_cast<std::int64_t>(this->random() % 2000)), [this] { this->disturb(); });
}

void QuotaModel::cutZone()
{
    const TimePoint now = this->clock.now();
    const std::size_t zone = this->random() % this->settings.zones;
    const Duration length = milliseconds(2000 + static_cast<std::int64_t>(this->random() % 8000));
    const std::uint64_t ways = this->random() % 3;
    if (ways != 1) {
        this->outCutUntil[zone] = now + length;
    }
    if (ways != 0) {
        this->inCutUntil[zone] = now + length;
    }
    this->at(now + milliseconds(3000 + static_cast<std::int64_t>(this->random() % 5000)), [this] { this->cutZone(); });
}

void QuotaModel::run(Duration length)
{
    constexpr Duration lead = milliseconds(4000);
    this->end = this->clock.now() + lead + length;
    for (std::size_t organisation = 0; organisation < this->settings.rates.size(); ++organisation) {
        this->at(this->begun + lead, [this, organisation] { this->arrive(organisation); });
    }
    if (this->settings.faults) {
        this->at(this->begun + lead, [this] { this->disturb(); });
    }
    if (this->settings.zoneCuts) {
        this->at(this->begun + lead, [this] { this->cutZone(); });
    }
    while (!this->events.empty() && this->events.top().at <= this->end) {
        const Event next = this->events.top();
        this->events.pop();
        this->clock.advance(std::max(Duration {0}, next.at - this->clock.now()));
        next.action();
    }
}

std::vector<OrganisationResult> QuotaModel::results() const
{
    std::vector<OrganisationResult> all = this->totals;
    const Duration window = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(windowSeconds));
    for (std::size_t organisation = 0; organisation < all.size(); ++organisation) {
        const double rate = this->settings.rates[organisation];
        const double allowed = (rate * windowSeconds + rate) * overshoot + slack;
        const std::vector<Use> &used = this->uses[organisation];
        double sum = 0;
        std::size_t oldest = 0;
        for (const Use &use : used) {
            sum += use.units;
            while (use.at - used[oldest].at >= window) {
                sum -= used[oldest++].units;
            }
            all[organisation].worstWindow = std::max(all[organisation].worstWindow, sum / allowed);
        }
    }
    return all;
}

double QuotaModel::controlBytes() const
{
    const double seconds = std::chrono::duration<double>(this->end - this->begun).count();
    return 2 * this->bytes / seconds / static_cast<double>(this->vms.size());
}

} // namespace lacewing::testing
