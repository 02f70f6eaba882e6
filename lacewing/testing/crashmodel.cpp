// Reports take some milliseconds or are lost. Copies of a suspect need a lease, which one grantor gives without delay.

#include "crashmodel.h"

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "copyleases.h"
#include "crashledger.h"

namespace lacewing {

namespace {

constexpr RequestDigest request = 1;
constexpr std::int64_t stepMilliseconds = 2;
/// What a caller waits for its answer, and for the lease of a copy.
constexpr std::int64_t patienceMilliseconds = 2400;
constexpr std::int64_t downMilliseconds = 2000;

/// VMs with a ledger each, in front of the endpoints of one service. Reports take some milliseconds or are lost.
class Model
{
public:
    Model(unsigned seed, int vms, int endpoints, const Traffic &copies, const Failures &causes)
        : random(seed),
          traffic(copies),
          failures(causes),
          ledgers(static_cast<std::size_t>(vms)),
          downUntil(static_cast<std::size_t>(endpoints), 0),
          born(static_cast<std::size_t>(endpoints), 0)
    {
    }

    Figures run(std::int64_t length)
    {
        this->planFailures();
        while (this->now < length) {
            this->now += stepMilliseconds;
            this->deliver();
            if (this->isDue()) {
                for (int copy = 0; copy < this->traffic.copies; ++copy) {
                    this->arrive();
                }
            }
            this->sendWaiting();
            this->endCopies();
            this->review();
        }
        return this->figures;
    }

private:
    struct Copy {
        std::size_t vm = 0;
        std::size_t endpoint = 0;
        std::int64_t arrived = 0;
        std::int64_t sent = 0;
        std::int64_t ticket = 0;
    };

    TimePoint time() const
    {
        return TimePoint(milliseconds(1000000 + this->now));
    }

    bool chance(double share)
    {
        return std::uniform_real_distribution<double>(0, 1)(this->random) < share;
    }

    std::size_t below(std::size_t count)
    {
        return std::uniform_int_distribution<std::size_t>(0, count - 1)(this->random);
    }

    bool isDue()
    {
        const auto interval = static_cast<std::int64_t>(1000 / this->traffic.perSecond);
        return this->traffic.regular ? this->now % interval < stepMilliseconds
                                     : this->chance(this->traffic.perSecond * stepMilliseconds / 1000);
    }

    void planFailures()
    {
        for (int time = 0; time < this->failures.times; ++time) {
            for (int endpoint = 0; endpoint < this->failures.endpoints; ++endpoint) {
                const std::int64_t at
                    = this->failures.at + time * this->failures.pause + endpoint * this->failures.apart;
                this->lastFailure = std::max(this->lastFailure, at);
                this->events.emplace(at, [this] { this->failOne(); });
            }
        }
    }

    void failOne()
    {
        if (!this->running.empty()) {
            this->crash(this->running[this->below(this->running.size())].endpoint);
        }
    }

    bool isLate(const Copy &copy) const
    {
        constexpr std::int64_t settled = 6000;
        return this->failures.endpoints > 0 && copy.arrived > this->lastFailure + settled;
    }

    void arrive()
    {
        const Copy copy {this->below(this->ledgers.size()), 0, this->now, 0, ++this->tickets};
        this->figures.sent += 1;
        this->figures.lateSent += this->isLate(copy) ? 1 : 0;
        this->waiting.push_back(copy);
    }

    void sendWaiting()
    {
        for (Copy copy : std::exchange(this->waiting, {})) {
            const Suspicion suspicion = suspicionOf(this->ledgers[copy.vm], request);
            if (suspicion == Suspicion::Proven) {
                this->figures.denied += 1;
            } else if (this->now - copy.arrived > patienceMilliseconds) {
                continue; // refused as not run
            } else if (suspicion == Suspicion::Suspected
                       && !askCopyLease(this->leases, request, this->idOf(copy), this->time()).granted) {
                this->waiting.push_back(copy);
            } else {
                this->send(copy);
            }
        }
    }

    CopyId idOf(const Copy &copy) const
    {
        return {"vm" + std::to_string(copy.vm), copy.ticket};
    }

    void send(Copy copy)
    {
        std::vector<std::size_t> up;
        std::vector<int> load(this->downUntil.size(), 0);
        for (const Copy &other : this->running) {
            load[other.endpoint] += 1;
        }
        for (std::size_t endpoint = 0; endpoint < this->downUntil.size(); ++endpoint) {
            if (this->downUntil[endpoint] <= this->now) {
                up.push_back(endpoint);
            }
        }
        if (up.empty()) {
            this->waiting.push_back(copy);
            return;
        }
        std::shuffle(up.begin(), up.end(), this->random);
        copy.endpoint = *std::min_element(up.begin(), up.end(),
                                          [&](std::size_t one, std::size_t other) { return load[one] < load[other]; });
        copy.sent = this->now;
        constexpr std::int64_t contactTime = 3000;
        this->figures.endedLate += this->thirdEnd >= 0 && this->now > this->thirdEnd + contactTime ? 1 : 0;
        this->running.push_back(copy);
    }

    void endCopies()
    {
        const std::vector<Copy> before = this->running;
        for (const Copy &copy : before) {
            const std::int64_t age = this->now - copy.sent;
            const auto isSame = [&copy](const Copy &one) { return one.ticket == copy.ticket; };
            if (std::none_of(this->running.begin(), this->running.end(), isSame)) {
                continue; // its endpoint has crashed
            }
            if (this->traffic.crashesAfter >= 0 && age >= this->traffic.crashesAfter) {
                this->figures.ended += 1;
                this->thirdEnd = this->figures.ended == 3 ? this->now : this->thirdEnd;
                this->crash(copy.endpoint);
            } else if (suspicionOf(this->ledgers[copy.vm], request) == Suspicion::Proven
                       && age < toMilliseconds(earlyCrashWindow)) {
                this->figures.denied += 1;
                this->end(copy, true);
            } else if (this->traffic.crashesAfter < 0 && age >= this->traffic.work) {
                this->figures.served += 1;
                this->figures.lateServed += this->isLate(copy) ? 1 : 0;
                this->end(copy, false);
                this->tell(copy.vm, 200, [](CrashLedger &ledger, TimePoint) { recordCompletion(ledger, request); });
            } else if (suspicionOf(this->ledgers[copy.vm], request) == Suspicion::Suspected) {
                askCopyLease(this->leases, request, this->idOf(copy), this->time()); // renews it, if it has one
            }
        }
    }

    void end(const Copy &copy, bool unsettled)
    {
        endCopyLease(this->leases, request, this->idOf(copy), unsettled, this->time());
        std::erase_if(this->running, [&copy](const Copy &one) { return one.ticket == copy.ticket; });
    }

    void crash(std::size_t endpoint)
    {
        const CrashKey key = crashKeyOf("e" + std::to_string(endpoint), this->born[endpoint]++);
        this->downUntil[endpoint] = this->now + downMilliseconds;
        std::map<std::size_t, InProgress> byVm;
        const std::vector<Copy> before = this->running;
        for (const Copy &copy : before) {
            if (copy.endpoint != endpoint) {
                continue;
            }
            InProgress &requests = byVm[copy.vm];
            const std::int64_t age = this->now - copy.sent;
            const bool late = this->traffic.answersFirst && age >= toMilliseconds(earlyCrashWindow);
            (late ? requests.late : requests.early).assign(1, request);
            const auto [known, isNew] = requests.ages.try_emplace(request, milliseconds(age));
            known->second = std::min<Duration>(known->second, milliseconds(age));
            this->end(copy, true);
        }
        for (const auto &[vm, requests] : byVm) {
            this->tell(vm, 5, [key, requests = requests](CrashLedger &ledger, TimePoint at) {
                recordCrash(ledger, key, "s", requests, at);
            });
        }
    }

    void tell(std::size_t from, std::int64_t delay, const std::function<void(CrashLedger &, TimePoint)> &apply)
    {
        for (std::size_t vm = 0; vm < this->ledgers.size(); ++vm) {
            const bool own = vm == from;
            if (own || !this->chance(this->traffic.loss)) {
                const auto transit = own ? 0 : delay + static_cast<std::int64_t>(this->below(8));
                this->events.emplace(this->now + transit,
                                     [this, vm, apply] { apply(this->ledgers[vm], this->time()); });
            }
        }
    }

    void deliver()
    {
        while (!this->events.empty() && this->events.begin()->first <= this->now) {
            const auto action = this->events.begin()->second;
            this->events.erase(this->events.begin());
            action();
        }
    }

    void review()
    {
        constexpr std::int64_t heartbeat = 1000;
        for (std::size_t vm = 0; vm < this->ledgers.size(); ++vm) {
            if (hasUnsettledCrash(this->ledgers[vm], this->time() - milliseconds(10)) || this->now % heartbeat == 0) {
                reviewLedger(this->ledgers[vm], this->time());
            }
            if (this->now % heartbeat == 0) {
                for (const SuspectStatement &one :
                     selectStatements(this->ledgers[vm], this->random(), 4, this->time())) {
                    this->tell(vm, 1, [one](CrashLedger &ledger, TimePoint at) { applyStatement(ledger, one, at); });
                }
            }
        }
    }

    std::mt19937_64 random;
    Traffic traffic;
    Failures failures;
    std::int64_t now = 0;
    std::int64_t lastFailure = 0;
    std::int64_t thirdEnd = -1;
    std::int64_t tickets = 0;
    std::vector<CrashLedger> ledgers;
    std::vector<std::int64_t> downUntil;
    std::vector<std::int64_t> born;
    std::vector<Copy> running;
    std::vector<Copy> waiting;
    CopyLeases leases;
    std::multimap<std::int64_t, std::function<void()>> events;
    Figures figures;
};

} // namespace

Figures playCrashModel(unsigned seed, int vms, int endpoints, const Traffic &traffic, const Failures &failures)
{
    constexpr std::int64_t length = 40000;
    return Model(seed, vms, endpoints, traffic, failures).run(length);
}

} // namespace lacewing
