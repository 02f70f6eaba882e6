// Compares the ways of docs/design/streamorigins.md: which share of the streams taken up has a known version after
// each kind of trouble, and what each way sends, asks and keeps. Deterministic: the same output for the same seeds.
//
//   build/originwaysbench [six|shifted|design]…
//   build/originwaysbench denials   what "no record" proves
//   build/originwaysbench costs      processor time of a datagram with records, of this machine and build

#include <chrono>
#include <cstdio>
#include <string>
#include <string_view>
#include <vector>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "codec.h"
#include "originways.h"

using namespace lacewing::bench;

namespace {

struct NamedWay {
    std::string name;
    OriginWay way;
};

struct NamedTrouble {
    std::string name;
    OriginTrouble trouble = OriginTrouble::None;
    double loss = 0;
};

struct Case {
    OriginDeployment deployment;
    double troubleShare = 1; ///< of the streams simulated where only shares are printed
    double killedShare = 1; ///< the same where one VM is killed, as few streams break then
    std::uint64_t seeds = 3;
};

std::vector<NamedWay> allWays()
{
    std::vector<NamedWay> ways;
    for (int holders = 1; holders <= 3; ++holders) {
        for (const bool handOver : {false, true}) {
            OriginWay way;
            way.holders = holders;
            way.handOver = handOver;
            ways.push_back({"hashed k=" + std::to_string(holders) + (handOver ? " handed over" : ""), way});
        }
    }
    OriginWay far;
    far.holders = 1;
    far.farHolder = true;
    ways.push_back({"hashed k=1 handed over, 1 far", far});
    far.holders = 2;
    ways.push_back({"hashed k=2 handed over, 1 far", far});
    far.holders = 1;
    far.asksAllZones = false;
    ways.push_back({"hashed k=1 handed over, 1 far, not all zones asked", far});
    far.window = 0.100;
    ways.push_back({"the same, 100 ms", far});
    far.window = 1;
    ways.push_back({"the same, 1 s", far});
    far.window = 0.010;
    far.storesAtStop = true;
    ways.push_back({"the same, 10 ms, stored at a stop", far});
    far.storesAtStop = false;
    far.holders = 2;
    ways.push_back({"hashed k=2 handed over, 1 far, not all zones asked", far});
    for (const double window : {0.010, 0.250}) {
        OriginWay way;
        way.window = window;
        way.mechanism = OriginMechanism::RecorderHolders;
        for (way.holders = 1; way.holders <= 2; ++way.holders) {
            ways.push_back({"by recorder k=" + std::to_string(way.holders) + " handed over, "
                                + std::to_string(static_cast<int>(window * 1000)) + " ms",
                            way});
        }
    }
    OriginWay told;
    told.mechanism = OriginMechanism::ZoneTold;
    told.handOver = false;
    ways.push_back({"zone told", told});
    OriginWay derived;
    derived.mechanism = OriginMechanism::Derived;
    ways.push_back({"derived, exceptions k=2 handed over", derived});
    OriginWay store;
    store.mechanism = OriginMechanism::Store;
    ways.push_back({"store, 10 ms", store});
    store.window = 1;
    ways.push_back({"store, 1 s", store});
    return ways;
}

const std::vector<NamedTrouble> &allTroubles()
{
    static const std::vector<NamedTrouble> troubles = {
        {"none", OriginTrouble::None, 0},
        {"loss", OriginTrouble::None, 0.01},
        {"killed", OriginTrouble::VmKilled, 0},
        {"k.+loss", OriginTrouble::VmKilled, 0.01},
        {"rolling", OriginTrouble::RollingStop, 0},
        {"r.+loss", OriginTrouble::RollingStop, 0.01},
        {"by zone", OriginTrouble::RollingStopByZone, 0},
        {"55 %", OriginTrouble::MostKilled, 0},
        {"cut", OriginTrouble::ZoneCutOff, 0},
    };
    return troubles;
}

void printTraffic(const Case &which, const std::vector<NamedWay> &ways)
{
    std::printf("\n%s: per VM and second without trouble, 1 %% of the streams taken up\n",
                which.deployment.name.c_str());
    std::printf("| way | records B | asks and answers B | datagrams | asks a resumption | entries | store appends | "
                "store reads | store B |\n|---|---|---|---|---|---|---|---|---|\n");
    for (const NamedWay &way : ways) {
        const OriginWayResult result
            = simulateOriginWay(which.deployment, way.way, OriginTrouble::None, OriginLoad {}, 1);
        std::printf("| %s | %.0f | %.0f | %.1f | %.1f | %.0f | %.0f | %.0f | %.0f |\n", way.name.c_str(),
                    result.recordBytesPerVm, result.askBytesPerVm, result.datagramsPerVm, result.asksPerResumption,
                    result.entriesPerVm, result.storeAppends, result.storeReads, result.storeBytes);
        std::fflush(stdout);
    }
}

void printShares(const Case &which, const std::vector<NamedWay> &ways)
{
    std::printf("\n%s: share of resumptions whose version is known, in %%, mean of %d seeds\n| way |",
                which.deployment.name.c_str(), static_cast<int>(which.seeds));
    for (const NamedTrouble &trouble : allTroubles()) {
        std::printf(" %s |", trouble.name.c_str());
    }
    std::printf(" asks killed | asks 55 %% | peak B killed | peak B rolling | peak B 55 %% |\n|---|");
    for (std::size_t i = 0; i < allTroubles().size() + 5; ++i) {
        std::printf("---|");
    }
    std::printf("\n");
    for (const NamedWay &way : ways) {
        std::printf("| %s |", way.name.c_str());
        OriginWayResult killed;
        OriginWayResult rolling;
        OriginWayResult most;
        for (const NamedTrouble &trouble : allTroubles()) {
            std::int64_t known = 0;
            std::int64_t wrong = 0;
            std::int64_t all = 0;
            OriginWayResult result;
            for (std::uint64_t seed = 1; seed <= which.seeds; ++seed) {
                OriginLoad load;
                load.startsShare = trouble.trouble == OriginTrouble::VmKilled ? which.killedShare : which.troubleShare;
                load.datagramLoss = trouble.loss;
                if (trouble.trouble == OriginTrouble::VmKilled || trouble.trouble == OriginTrouble::ZoneCutOff) {
                    load.breakShare = 0; // they would hide the few that break with the VM or the zone
                }
                result = simulateOriginWay(which.deployment, way.way, trouble.trouble, load, seed);
                known += result.known;
                wrong += result.wrong;
                all += result.resumptions;
            }
            if (trouble.loss == 0 && trouble.trouble == OriginTrouble::VmKilled) {
                killed = result;
            } else if (trouble.loss == 0 && trouble.trouble == OriginTrouble::RollingStop) {
                rolling = result;
            } else if (trouble.trouble == OriginTrouble::MostKilled) {
                most = result;
            }
            std::printf(" %.2f", all > 0 ? 100.0 * static_cast<double>(known) / static_cast<double>(all) : 0.0);
            if (wrong > 0) {
                std::printf(" (%.2f wrong)", 100.0 * static_cast<double>(wrong) / static_cast<double>(all));
            }
            std::printf(" |");
            std::fflush(stdout);
        }
        std::printf(" %.1f | %.1f | %.0f | %.0f | %.0f |\n", killed.asksPerResumption, most.asksPerResumption,
                    killed.peakBytesPerVm, rolling.peakBytesPerVm, most.peakBytesPerVm);
        std::fflush(stdout);
    }
}

/// All streams simulated are recorded, so whoever takes "no record" for a proof of an earlier start errs each time.
void printDenials(const Case &which)
{
    std::vector<NamedWay> ways;
    for (int holders = 1; holders <= 2; ++holders) {
        for (const bool far : {false, true}) {
            OriginWay way;
            way.holders = holders;
            way.farHolder = far;
            way.asksAllZones = !far;
            ways.push_back({"hashed k=" + std::to_string(holders) + " handed over" + (far ? ", 1 far" : ""), way});
        }
    }
    std::printf(
        "\n%s: of 1000 resumptions unknown although one VM / all VMs asked have run from the beginning and have "
        "no record\n| way |",
        which.deployment.name.c_str());
    for (const NamedTrouble &trouble : allTroubles()) {
        std::printf(" %s |", trouble.name.c_str());
    }
    std::printf("\n");
    for (const NamedWay &way : ways) {
        std::printf("| %s |", way.name.c_str());
        for (const NamedTrouble &trouble : allTroubles()) {
            std::int64_t one = 0;
            std::int64_t whole = 0;
            std::int64_t all = 0;
            for (std::uint64_t seed = 1; seed <= which.seeds; ++seed) {
                OriginLoad load;
                load.startsShare = which.troubleShare;
                load.datagramLoss = trouble.loss;
                const OriginWayResult result
                    = simulateOriginWay(which.deployment, way.way, trouble.trouble, load, seed);
                one += result.unknownButOneDenied;
                whole += result.unknownAndAllDenied;
                all += result.resumptions;
            }
            const double scale = all > 0 ? 1000.0 / static_cast<double>(all) : 0.0;
            std::printf(" %.1f / %.1f |", scale * static_cast<double>(one), scale * static_cast<double>(whole));
            std::fflush(stdout);
        }
        std::printf("\n");
    }
}

double microsecondsSince(std::chrono::steady_clock::time_point start, int rounds)
{
    return std::chrono::duration<double, std::micro>(std::chrono::steady_clock::now() - start).count() / rounds;
}

/// Sends to itself over loopback, so that sending and receiving are both in the time.
void printCosts()
{
    constexpr int rounds = 100'000;
    constexpr std::size_t largest = 2048;
    const int socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in address = {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t length = sizeof(address);
    auto *generic = reinterpret_cast<sockaddr *>(&address);
    if (socket < 0 || ::bind(socket, generic, length) != 0 || ::getsockname(socket, generic, &length) != 0
        || ::connect(socket, generic, length) != 0) {
        std::perror("socket");
        return;
    }
    std::printf("| records | bytes | encoded and decoded us | sent and received us |\n|---|---|---|---|\n");
    for (const int count : {1, 4, 10, 22}) {
        lacewing::wire::VmDatagram datagram;
        datagram.vm = "entry-luzon-a-01";
        datagram.zone = "luzon-a";
        lacewing::wire::OriginRecords records;
        records.versionNames = {"v1.12.3"};
        for (int number = 0; number < count; ++number) {
            records.keys.push_back(0x4f1e2d3c5b6a7988 + number);
            records.versions.push_back(0);
            records.lifeMilliseconds.push_back(40'000);
        }
        datagram.__set_originRecords(records);
        auto start = std::chrono::steady_clock::now();
        std::string bytes;
        for (int i = 0; i < rounds; ++i) {
            bytes = lacewing::encode(datagram);
            lacewing::wire::VmDatagram back;
            if (lacewing::decode(bytes, back)) {
                std::fprintf(stderr, "not decoded\n");
                break;
            }
        }
        const double coded = microsecondsSince(start, rounds);
        start = std::chrono::steady_clock::now();
        std::vector<char> received(largest);
        for (int i = 0; i < rounds; ++i) {
            if (::send(socket, bytes.data(), bytes.size(), 0) < 0
                || ::recv(socket, received.data(), received.size(), 0) < 0) {
                std::perror("send");
                break;
            }
        }
        std::printf("| %d | %zu | %.2f | %.2f |\n", count, bytes.size(), coded, microsecondsSince(start, rounds));
    }
    ::close(socket);
}

} // namespace

int main(int argc, char **argv)
{
    if (argc > 1 && std::string_view(argv[1]) == "costs") {
        printCosts();
        return 0;
    }
    const std::vector<Case> cases = {
        {{"six", 2, 6, 30, 20}, 1, 1, 20},
        {{"shifted", 3, 58, 300, 20}, 1, 1, 10},
        {{"design", 23, 590, 53000, 20}, 0.01, 0.05, 3},
    };
    const std::vector<NamedWay> ways = allWays();
    if (argc > 1 && std::string_view(argv[1]) == "denials") {
        printDenials(cases[0]);
        printDenials(cases[1]);
        return 0;
    }
    for (const Case &which : cases) {
        bool wanted = argc < 2;
        for (int i = 1; i < argc; ++i) {
            wanted = wanted || which.deployment.name == argv[i];
        }
        if (wanted) {
            printShares(which, ways);
            printTraffic(which, ways);
        }
    }
    return 0;
}
