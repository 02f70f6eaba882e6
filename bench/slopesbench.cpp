// Measures the slopes that docs/CAPACITY.md multiplies by the counts of the design size.
//
//   build/slopesbench [--small] [--counts]
//
// --small uses smaller sizes (CI); --counts prints only what is the same in every run. Times are of this
// machine; each is the least of several runs, since other work on the machine only adds to them.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <string_view>
#include <vector>

#include <malloc.h>

#include "codec.h"
#include "messagesizes.h"
#include "slopecores.h"
#include "slopefit.h"

using namespace lacewing;

namespace {

constexpr int repeats = 3;

double allocatedBytes()
{
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd);
}

double microseconds(const std::function<void()> &work)
{
    double least = 1e300;
    for (int run = 0; run < repeats; ++run) {
        const auto start = std::chrono::steady_clock::now();
        work();
        const std::chrono::duration<double, std::micro> spent = std::chrono::steady_clock::now() - start;
        least = std::min(least, spent.count());
    }
    return least;
}

double requestCost(const CoreSize &size)
{
    constexpr int requests = 2000;
    SlopeCore core(size);
    const double spent = microseconds([&core] {
        for (int number = 0; number < requests; ++number) {
            core.request();
        }
    });
    if (core.answered != std::int64_t {requests} * repeats) {
        std::printf("only %lld of %d requests answered\n", static_cast<long long>(core.answered), requests * repeats);
    }
    return spent / requests;
}

double tickCost(const CoreSize &size)
{
    constexpr int ticks = 1000;
    SlopeCore core(size);
    return microseconds([&core] {
               for (int number = 0; number < ticks; ++number) {
                   core.tick();
               }
           })
        / ticks;
}

double adapterMemory(int adapters)
{
    const double before = allocatedBytes();
    const SlopeCore core({adapters, 1, 1});
    return allocatedBytes() - before;
}

double openRequestMemory(int requests)
{
    SlopeCore core({100, 9, 1});
    const double before = allocatedBytes();
    for (int number = 0; number < requests; ++number) {
        core.openRequest();
    }
    return allocatedBytes() - before;
}

double encodeCost(int frames)
{
    wire::PeerFrame frame;
    wire::DataFrame data;
    data.bytes = " word";
    frame.__set_data(data);
    return microseconds([frames, &frame] {
        for (int number = 0; number < frames; ++number) {
            wire::PeerFrame back;
            if (decode(encode(frame), back)) {
                std::printf("frame not read back\n");
            }
        }
    });
}

SlopeRow measure(const char *name, const char *unit, const std::vector<int> &sizes,
                 const std::function<double(int)> &cost)
{
    SlopeRow row {name, unit, {}};
    for (const int size : sizes) {
        row.points.push_back({static_cast<double>(size), cost(size)});
    }
    return row;
}

void printSlopes(bool small)
{
    const std::vector<int> adapters
        = small ? std::vector<int> {500, 1000, 1500, 2000} : std::vector<int> {3'000, 35'000, 70'000, 140'000};
    const std::vector<int> endpoints = small ? std::vector<int> {2, 4, 6, 9} : std::vector<int> {9, 38, 76, 152};
    const std::vector<int> requests = {500, 1000, 2000, 4000};
    const std::vector<SlopeRow> rows = {
        measure("request, entry and owner, by adapters", "us/adapter", adapters,
                [](int size) {
                    return requestCost({size, 9, 1});
                }),
        measure("request, entry and owner, by endpoints", "us/endpoint", endpoints,
                [](int size) {
                    return requestCost({3'000, size, 1});
                }),
        measure("tick, by endpoints owned", "us/endpoint", endpoints,
                [](int size) {
                    return tickCost({3'000, size, 1});
                }),
        measure("tick, by adapters", "us/adapter", adapters,
                [](int size) {
                    return tickCost({size, 9, 1});
                }),
        measure("memory of the configuration, by adapters", "B/adapter", adapters, adapterMemory),
        measure("memory of open requests, entry and owner", "B/request", requests, openRequestMemory),
        measure("one-token frame, encode and decode", "us/frame", {10'000, 20'000, 40'000, 80'000}, encodeCost),
    };
    for (const SlopeRow &row : rows) {
        std::printf("%s\n", toText(row).c_str());
    }
}

void printMembership(bool small)
{
    struct Deployment {
        int vms;
        int zones;
    };
    const std::vector<Deployment> deployments = small ? std::vector<Deployment> {{6, 3}, {12, 3}, {26, 4}}
                                                      : std::vector<Deployment> {{6, 3}, {26, 4}, {84, 4}, {590, 23}};
    for (const double changes : {0.0, 0.1}) {
        for (const Deployment &size : deployments) {
            const MembershipCost cost = measureMembership(size.vms, size.zones, changes, small ? 2 : 5);
            std::printf("membership: %4d VMs in %2d zones, %.1f changes/s a VM: busiest %6.0f B/s, mean %6.0f B/s, "
                        "%.3f %% of a core a VM\n",
                        size.vms, size.zones, changes, cost.busiestBytes, cost.meanBytes, cost.coreShare * 100);
        }
    }
}

} // namespace

int main(int argc, char **argv)
{
    bool small = false;
    bool countsOnly = false;
    for (int number = 1; number < argc; ++number) {
        small = small || std::string_view(argv[number]) == "--small";
        countsOnly = countsOnly || std::string_view(argv[number]) == "--counts";
    }
    for (const MessageSize &size : messageSizes()) {
        std::printf("| %s | %zu |\n", size.name.c_str(), size.bytes);
    }
    if (!countsOnly) {
        printSlopes(small);
        printMembership(small);
    }
    return 0;
}
