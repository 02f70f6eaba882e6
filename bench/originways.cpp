#include "originways.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <queue>
#include <random>
#include <utility>
#include <vector>

namespace lacewing::bench {

namespace {

// As encoded (messagesizes.cpp), and 28 B of IP and UDP.
constexpr double headBytes = 69 + 28; // of a datagram with records
constexpr double recordBytes = 14; // key, index of the version, life
constexpr double askBytes = 68 + 28;
constexpr double answerBytes = 72 + 28;
constexpr double fullDatagram = 1200;
constexpr double largestAppend = 64000;
constexpr double storeRecordBytes = 148; ///< of the configuration log

constexpr double transit = 0.001;
constexpr double killNoticed = 1.0; // until the others no longer take a killed VM for alive
constexpr double changeNoticed = 0.1; // until they know of one that leaves or starts
constexpr double away = 5.0;
constexpr double stopInterval = 0.28;
constexpr double cutDuration = 10.0;
constexpr double killedShare = 0.55;
constexpr double recordLives = 2.0; // a resumption may last as long again
constexpr int askedBeyondHolders = 1;

std::uint64_t mix(std::uint64_t a, std::uint64_t b)
{
    std::uint64_t value = a + 0x9e3779b97f4a7c15ULL * (b + 1);
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

struct Vm {
    int zone = 0;
    bool up = true;
    int incarnation = 0;
    double listedFrom = -1;
    double listedUntil = 0; // while it is away
    std::vector<std::size_t> held; // streams, also those whose records have expired
};

struct Copy {
    int vm = 0;
    int incarnation = 0;
    double from = 0;
};

struct Stream {
    std::uint64_t key = 0;
    int vm = 0;
    double end = 0;
    double recordUntil = 0;
    bool relayed = true; // false while its caller is without a VM, and after its end
    bool exception = false;
    double storedFrom = -1;
    std::vector<Copy> copies;
};

class Simulation
{
public:
    Simulation(const OriginDeployment &simulated, const OriginWay &simulatedWay, const OriginLoad &simulatedLoad,
               std::uint64_t seed)
        : deployment(simulated),
          way(simulatedWay),
          load(simulatedLoad),
          random(seed),
          vms(static_cast<std::size_t>(simulated.vms)),
          zoneVms(static_cast<std::size_t>(simulated.zones)),
          flushTimes(static_cast<std::size_t>(simulated.vms) * static_cast<std::size_t>(simulated.vms), -1.0),
          storeFlushTimes(static_cast<std::size_t>(simulated.vms), -1.0)
    {
        for (int vm = 0; vm < simulated.vms; ++vm) {
            const int zone = vm * simulated.zones / simulated.vms;
            this->vmOf(vm).zone = zone;
            this->zoneVms[static_cast<std::size_t>(zone)].push_back(vm);
        }
    }

    OriginWayResult run(OriginTrouble trouble)
    {
        const double settled = recordLives * this->deployment.longestLife;
        const double troubleEnd = settled + this->schedule(trouble, settled);
        const double end = troubleEnd + 5;
        this->measuredFrom = settled;
        this->askPeaks.assign(static_cast<std::size_t>(end) + 1, 0.0);
        this->startLater(0);
        while (!this->events.empty() && this->events.top().at < end) {
            const Event event = this->events.top();
            this->events.pop();
            this->now = event.at;
            event.action();
        }
        return this->result(end - settled);
    }

private:
    struct Event {
        double at = 0;
        std::uint64_t number = 0;
        std::function<void()> action;
        bool operator<(const Event &other) const
        {
            return this->at != other.at ? this->at > other.at : this->number > other.number;
        }
    };

    void at(double when, std::function<void()> action)
    {
        this->events.push({when, this->eventNumber++, std::move(action)});
    }

    Vm &vmOf(int vm)
    {
        return this->vms[static_cast<std::size_t>(vm)];
    }

    double draw()
    {
        return std::uniform_real_distribution<double>(0.0, 1.0)(this->random);
    }

    bool measured() const
    {
        return this->now >= this->measuredFrom;
    }

    bool listed(int vm)
    {
        const Vm &state = this->vmOf(vm);
        return state.up ? this->now >= state.listedFrom : this->now < state.listedUntil;
    }

    bool reaches(int from, int to)
    {
        const int zoneA = this->vmOf(from).zone;
        const int zoneB = this->vmOf(to).zone;
        return zoneA == zoneB || (zoneA != this->cutZone && zoneB != this->cutZone);
    }

    /// Listed VMs of the zone by rendezvous hash, best first, without the one given.
    std::vector<int> ranked(int zone, std::uint64_t key, int count, int without)
    {
        std::vector<std::pair<std::uint64_t, int>> order;
        for (const int vm : this->zoneVms[static_cast<std::size_t>(zone)]) {
            if (vm != without && this->listed(vm)) {
                order.emplace_back(mix(key, static_cast<std::uint64_t>(vm)), vm);
            }
        }
        const auto kept = std::min(order.size(), static_cast<std::size_t>(count));
        std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(kept), order.end(),
                          std::greater<>());
        std::vector<int> result;
        for (std::size_t i = 0; i < kept; ++i) {
            result.push_back(order[i].second);
        }
        return result;
    }

    /// Zones by hash of the key, without the one given.
    int farZone(std::uint64_t key, int without) const
    {
        int best = -1;
        for (int zone = 0; zone < this->deployment.zones; ++zone) {
            if (zone != without
                && (best < 0
                    || mix(~key, static_cast<std::uint64_t>(zone)) > mix(~key, static_cast<std::uint64_t>(best)))) {
                best = zone;
            }
        }
        return best;
    }

    std::vector<int> holdersOf(std::uint64_t key, int recorder)
    {
        const int zone = this->vmOf(recorder).zone;
        std::vector<int> holders;
        switch (this->way.mechanism) {
        case OriginMechanism::HashedHolders:
        case OriginMechanism::Derived:
            holders = this->ranked(zone, key, this->way.holders, recorder);
            break;
        case OriginMechanism::RecorderHolders:
            holders = this->ranked(zone, static_cast<std::uint64_t>(recorder), this->way.holders, recorder);
            break;
        case OriginMechanism::ZoneTold:
            holders = this->ranked(zone, key, this->deployment.vms, recorder);
            break;
        case OriginMechanism::Store:
            break;
        }
        if (this->way.farHolder && this->deployment.zones > 1) {
            const std::vector<int> far = this->ranked(this->farZone(key, zone), key, 1, recorder);
            holders.insert(holders.end(), far.begin(), far.end());
        }
        return holders;
    }

    void hold(std::size_t number, int vm, double from)
    {
        Stream &stream = this->streams[number];
        Vm &holder = this->vmOf(vm);
        for (const Copy &copy : stream.copies) {
            if (copy.vm == vm && copy.incarnation == holder.incarnation) {
                return;
            }
        }
        stream.copies.push_back({vm, holder.incarnation, from});
        holder.held.push_back(number);
    }

    bool holds(const Stream &stream, int vm)
    {
        const Vm &holder = this->vmOf(vm);
        return std::any_of(stream.copies.begin(), stream.copies.end(), [&](const Copy &copy) {
            return copy.vm == vm && copy.incarnation == holder.incarnation && copy.from <= this->now;
        });
    }

    void record(std::size_t number)
    {
        Stream &stream = this->streams[number];
        const int recorder = stream.vm;
        if (this->way.mechanism == OriginMechanism::Derived && !stream.exception) {
            return;
        }
        if (this->way.mechanism == OriginMechanism::Store) {
            this->append(stream);
            return;
        }
        this->hold(number, recorder, this->now);
        for (const int holder : this->holdersOf(stream.key, recorder)) {
            double &flushAt = this->flushTimes[static_cast<std::size_t>(recorder) * this->vms.size()
                                               + static_cast<std::size_t>(holder)];
            if (flushAt < this->now) {
                flushAt = this->now + this->way.window;
                this->countRecords(headBytes, 1);
            }
            this->countRecords(recordBytes, 0);
            const int incarnation = this->vmOf(recorder).incarnation;
            this->at(flushAt, [this, number, recorder, holder, incarnation] {
                // A VM that stops in an orderly way sends what it has collected; one that is killed does not.
                const Vm &sender = this->vmOf(recorder);
                const bool sent = sender.incarnation == incarnation || sender.listedUntil < 0;
                if (sent && this->vmOf(holder).up && this->reaches(recorder, holder)
                    && this->draw() >= this->load.datagramLoss) {
                    this->hold(number, holder, this->now + transit);
                }
            });
        }
    }

    void append(Stream &stream)
    {
        double &flushAt = this->storeFlushTimes[static_cast<std::size_t>(stream.vm)];
        if (flushAt < this->now) {
            flushAt = this->now + this->way.window;
            if (this->measured()) {
                this->appends += 1;
                this->storeBytesAppended += storeRecordBytes;
            }
        }
        if (this->measured()) {
            this->storeBytesAppended += recordBytes;
        }
        if (this->vmOf(stream.vm).zone != this->cutZone) {
            stream.storedFrom = flushAt;
        }
    }

    void countRecords(double bytes, int datagrams)
    {
        if (this->measured()) {
            this->recordBytesSent += bytes;
            this->datagramsSent += datagrams;
        }
    }

    void countAsked(double bytes, int datagrams)
    {
        if (this->measured()) {
            this->askBytesSent += bytes;
            this->datagramsSent += datagrams;
            this->askPeaks[static_cast<std::size_t>(this->now)] += bytes;
        }
    }

    bool ask(const Stream &stream, int from, int to)
    {
        ++this->askedNow;
        this->countAsked(askBytes, 1);
        if (this->measured()) {
            ++this->asks;
        }
        if (!this->vmOf(to).up || !this->reaches(from, to) || this->draw() < this->load.datagramLoss) {
            return false;
        }
        this->countAsked(answerBytes, 1);
        const bool received = this->draw() >= this->load.datagramLoss;
        const bool known = this->holds(stream, to);
        if (received && !known && this->vmOf(to).incarnation == 0) {
            ++this->deniedNow;
        }
        return received && known;
    }

    bool askAll(const Stream &stream, int from, const std::vector<int> &asked)
    {
        bool known = false;
        for (const int vm : asked) {
            known = this->ask(stream, from, vm) || known;
        }
        return known;
    }

    /// @return whether the version that the stream began at is known at the VM
    bool find(const Stream &stream, int taker)
    {
        if (this->way.mechanism == OriginMechanism::Store) {
            this->reads += this->measured() ? 1 : 0;
            return this->vmOf(taker).zone != this->cutZone && stream.storedFrom >= 0 && stream.storedFrom <= this->now;
        }
        if (this->way.mechanism == OriginMechanism::Derived && !stream.exception) {
            // The exceptions' holders are asked all the same: that there is no record is known only from them.
            this->askAll(stream, taker, this->askedIn(this->vmOf(taker).zone, stream.key, taker));
            return true;
        }
        if (this->holds(stream, taker)) {
            return true;
        }
        const int zone = this->vmOf(taker).zone;
        if (this->askAll(stream, taker, this->askedIn(zone, stream.key, taker))) {
            return true;
        }
        if (this->way.farHolder && this->deployment.zones > 1) {
            // The far zone of a record depends on its recorder's zone: the first zone by hash, or the second.
            const int first = this->farZone(stream.key, -1);
            const int second = this->farZone(stream.key, first);
            for (const int far : {first, second}) {
                if (far != zone
                    && this->askAll(stream, taker, this->ranked(far, stream.key, 1 + askedBeyondHolders, taker))) {
                    return true;
                }
            }
        }
        std::vector<int> others;
        for (int other = 0; other < this->deployment.zones; ++other) {
            if (other != zone && this->way.asksAllZones) {
                const std::vector<int> asked = this->askedIn(other, stream.key, taker);
                others.insert(others.end(), asked.begin(), asked.end());
            }
        }
        if (this->askAll(stream, taker, others)) {
            return true;
        }
        if (this->way.storesAtStop) {
            this->reads += this->measured() ? 1 : 0;
            return zone != this->cutZone && stream.storedFrom >= 0 && stream.storedFrom <= this->now;
        }
        return false;
    }

    std::vector<int> askedIn(int zone, std::uint64_t key, int taker)
    {
        int count = this->way.holders + askedBeyondHolders;
        if (this->way.mechanism == OriginMechanism::RecorderHolders) {
            count = this->deployment.vms;
        } else if (this->way.mechanism == OriginMechanism::ZoneTold) {
            count = 2;
        }
        return this->ranked(zone, key, count, taker);
    }

    void startLater(double when)
    {
        std::exponential_distribution<double> gap(this->deployment.startsPerSecond * this->load.startsShare);
        this->at(when + gap(this->random), [this] {
            this->start();
            this->startLater(this->now);
        });
    }

    int chooseVm(int zone, bool anyZone)
    {
        std::vector<int> serving;
        for (int vm = 0; vm < this->deployment.vms; ++vm) {
            if (this->vmOf(vm).up && (anyZone || this->vmOf(vm).zone == zone)) {
                serving.push_back(vm);
            }
        }
        if (serving.empty()) {
            return -1;
        }
        return serving[static_cast<std::size_t>(this->draw() * static_cast<double>(serving.size()))];
    }

    void start()
    {
        const int vm = static_cast<int>(this->draw() * static_cast<double>(this->deployment.vms));
        if (!this->vmOf(vm).up) {
            return;
        }
        const std::size_t number = this->streams.size();
        const double longest = this->deployment.longestLife;
        std::exponential_distribution<double> lives(3 / longest);
        const double life = std::min(lives(this->random), longest);
        Stream &stream = this->streams.emplace_back();
        stream.key = this->random();
        stream.vm = vm;
        stream.end = this->now + life;
        stream.recordUntil = this->now + recordLives * longest;
        stream.exception = this->draw() < this->way.exceptions;
        this->startsMeasured += this->measured() ? 1 : 0;
        this->relayed.resize(this->vms.size());
        this->relayed[static_cast<std::size_t>(vm)].push_back(number);
        this->record(number);
        if (this->draw() < this->load.breakShare) {
            this->at(this->now + this->draw() * life, [this, number] { this->breakStream(number, false); });
        }
    }

    void breakStream(std::size_t number, bool leavesZone)
    {
        Stream &stream = this->streams[number];
        if (!stream.relayed || this->now >= stream.end) {
            return;
        }
        stream.relayed = false;
        const double delay = 0.1 + 0.9 * this->draw();
        this->at(this->now + delay, [this, number, leavesZone] { this->resume(number, leavesZone); });
    }

    void resume(std::size_t number, bool leavesZone)
    {
        Stream &stream = this->streams[number];
        const int zone = this->vmOf(stream.vm).zone;
        const bool other = leavesZone || this->draw() < this->load.otherZoneShare;
        int taker = other ? -1 : this->chooseVm(zone, false);
        for (int tries = 0; taker < 0 && tries < 100; ++tries) {
            taker = this->chooseVm(zone, true);
            if (leavesZone && taker >= 0 && this->vmOf(taker).zone == this->cutZone) {
                taker = -1;
            }
        }
        if (taker < 0) {
            if (this->now < stream.recordUntil) {
                this->at(this->now + 0.5, [this, number, leavesZone] { this->resume(number, leavesZone); });
            }
            return;
        }
        this->askedNow = 0;
        this->deniedNow = 0;
        const bool known = this->find(stream, taker);
        const bool derived = this->way.mechanism == OriginMechanism::Derived;
        if (this->measured()) {
            ++this->resumptions;
            this->takenUp += known ? 1 : 0;
            this->takenUpWrongly += !known && derived ? 1 : 0;
            this->oneDenied += !known && this->deniedNow > 0 ? 1 : 0;
            this->allDenied += !known && this->deniedNow > 1 && this->deniedNow == this->askedNow ? 1 : 0;
        }
        if (known) {
            stream.vm = taker;
            stream.relayed = true;
            stream.recordUntil = this->now + recordLives * this->deployment.longestLife;
            stream.end = std::max(stream.end, this->now + 1);
            this->relayed[static_cast<std::size_t>(taker)].push_back(number);
            this->record(number);
        }
    }

    void stop(int vm, bool orderly)
    {
        Vm &state = this->vmOf(vm);
        if (orderly && this->way.handOver) {
            this->handOver(vm);
        }
        state.up = false;
        state.listedUntil = orderly ? -1 : this->now + killNoticed;
        ++state.incarnation;
        state.held.clear();
        for (const std::size_t number : std::exchange(this->relayed[static_cast<std::size_t>(vm)], {})) {
            if (this->streams[number].vm == vm) {
                this->breakStream(number, false);
            }
        }
    }

    void restart(int vm)
    {
        Vm &state = this->vmOf(vm);
        state.up = true;
        state.listedFrom = this->now + changeNoticed;
    }

    void handOver(int vm)
    {
        std::vector<double> bytes(this->vms.size(), 0.0);
        std::vector<bool> lost(this->vms.size(), false);
        double stored = 0;
        for (const std::size_t number : this->vmOf(vm).held) {
            Stream &stream = this->streams[number];
            // Only what may still be taken up. The VM knows this of streams that it relays; of others it knows when
            // the record expires.
            const bool own = stream.vm == vm;
            if (this->now >= stream.recordUntil || (own && this->now >= stream.end)) {
                continue;
            }
            if (this->way.storesAtStop) {
                stored += recordBytes;
                stream.storedFrom = this->now;
            }
            for (const int holder : this->holdersOf(stream.key, vm)) {
                double &sent = bytes[static_cast<std::size_t>(holder)];
                if (std::fmod(sent, fullDatagram) < recordBytes) {
                    lost[static_cast<std::size_t>(holder)] = this->draw() < this->load.datagramLoss;
                }
                sent += recordBytes;
                if (!lost[static_cast<std::size_t>(holder)] && this->vmOf(holder).up && this->reaches(vm, holder)) {
                    this->hold(number, holder, this->now + transit);
                }
            }
        }
        if (this->way.storesAtStop && this->vmOf(vm).zone != this->cutZone) {
            this->appends += std::max(1.0, std::ceil(stored / largestAppend));
            this->storeBytesAppended += stored;
        }
        for (const double sent : bytes) {
            const double datagrams = std::ceil(sent / (fullDatagram - headBytes));
            this->countAsked(sent + datagrams * headBytes, static_cast<int>(datagrams));
        }
    }

    /// @return how long it takes
    double schedule(OriginTrouble trouble, double from)
    {
        std::vector<int> order;
        order.reserve(this->vms.size());
        for (int vm = 0; vm < this->deployment.vms; ++vm) {
            order.push_back(vm);
        }
        this->relayed.resize(this->vms.size());
        if (trouble != OriginTrouble::RollingStopByZone) {
            std::shuffle(order.begin(), order.end(), this->random);
        }
        switch (trouble) {
        case OriginTrouble::None:
            return 5;
        case OriginTrouble::VmKilled:
            this->at(from, [this, vm = order.front()] { this->stop(vm, false); });
            return 3;
        case OriginTrouble::MostKilled:
            for (int i = 0; i < std::lround(killedShare * this->deployment.vms); ++i) {
                const int vm = order[static_cast<std::size_t>(i)];
                this->at(from, [this, vm] { this->stop(vm, false); });
                this->at(from + away, [this, vm] { this->restart(vm); });
            }
            return 3;
        case OriginTrouble::RollingStop:
        case OriginTrouble::RollingStopByZone:
            for (std::size_t i = 0; i < order.size(); ++i) {
                const double when = from + stopInterval * static_cast<double>(i);
                this->at(when, [this, vm = order[i]] { this->stop(vm, true); });
                this->at(when + away, [this, vm = order[i]] { this->restart(vm); });
            }
            return stopInterval * static_cast<double>(order.size()) + away;
        case OriginTrouble::ZoneCutOff:
            this->at(from, [this] {
                this->cutZone = 0;
                for (const int vm : this->zoneVms.front()) {
                    for (const std::size_t number : std::exchange(this->relayed[static_cast<std::size_t>(vm)], {})) {
                        if (this->streams[number].vm == vm) {
                            this->breakStream(number, true);
                        }
                    }
                }
            });
            this->at(from + cutDuration, [this] { this->cutZone = -1; });
            return 3;
        }
        return 0;
    }

    OriginWayResult result(double seconds)
    {
        const double vmSeconds = seconds * static_cast<double>(this->vms.size());
        OriginWayResult result;
        result.streams = this->startsMeasured;
        result.resumptions = this->resumptions;
        result.known = this->takenUp;
        result.wrong = this->takenUpWrongly;
        result.unknownButOneDenied = this->oneDenied;
        result.unknownAndAllDenied = this->allDenied;
        result.asksPerResumption
            = this->resumptions > 0 ? static_cast<double>(this->asks) / static_cast<double>(this->resumptions) : 0;
        result.recordBytesPerVm = this->recordBytesSent / vmSeconds;
        result.askBytesPerVm = this->askBytesSent / vmSeconds;
        result.datagramsPerVm = static_cast<double>(this->datagramsSent) / vmSeconds;
        result.peakBytesPerVm = *std::max_element(this->askPeaks.begin(), this->askPeaks.end())
            / static_cast<double>(this->vms.size()) / this->load.startsShare;
        std::size_t entries = 0;
        for (Stream &stream : this->streams) {
            if (this->now < stream.recordUntil) {
                entries += static_cast<std::size_t>(
                    std::count_if(stream.copies.begin(), stream.copies.end(), [this](const Copy &copy) {
                        return copy.incarnation == this->vmOf(copy.vm).incarnation;
                    }));
            }
        }
        result.entriesPerVm
            = static_cast<double>(entries) / static_cast<double>(this->vms.size()) / this->load.startsShare;
        result.storeAppends = this->appends / seconds;
        result.storeReads = static_cast<double>(this->reads) / seconds;
        result.storeBytes = this->storeBytesAppended / seconds;
        return result;
    }

    OriginDeployment deployment;
    OriginWay way;
    OriginLoad load;
    std::mt19937_64 random;
    std::vector<Vm> vms;
    std::vector<std::vector<int>> zoneVms;
    std::vector<std::vector<std::size_t>> relayed;
    std::vector<double> flushTimes;
    std::vector<double> storeFlushTimes;
    std::vector<Stream> streams;
    std::priority_queue<Event> events;
    std::uint64_t eventNumber = 0;
    double now = 0;
    double measuredFrom = 0;
    int cutZone = -1;

    std::int64_t startsMeasured = 0;
    std::int64_t resumptions = 0;
    std::int64_t takenUp = 0;
    std::int64_t takenUpWrongly = 0;
    std::int64_t oneDenied = 0;
    std::int64_t allDenied = 0;
    int askedNow = 0; // for the resumption at hand
    int deniedNow = 0;
    std::int64_t asks = 0;
    std::int64_t datagramsSent = 0;
    double appends = 0;
    std::int64_t reads = 0;
    double recordBytesSent = 0;
    double askBytesSent = 0;
    double storeBytesAppended = 0;
    std::vector<double> askPeaks;
};

} // namespace

OriginWayResult simulateOriginWay(const OriginDeployment &deployment, const OriginWay &way, OriginTrouble trouble,
                                  const OriginLoad &load, std::uint64_t seed)
{
    return Simulation(deployment, way, load, seed).run(trouble);
}

} // namespace lacewing::bench
