// What the replayed state costs as the number of adapters grows: memory and time of a checkpoint, and time
// of one change. Prints one line a size; times are of this machine and build.
//
//   build/replaybench

#include <chrono>
#include <cstdio>
#include <string>

#include <malloc.h>

#include "blackboard.h"
#include "checkpoints.h"
#include "codec.h"
#include "configreplay.h"

using namespace lacewing;

namespace {

constexpr int versionsPerAdapter = 2;

double millisecondsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start).count();
}

/// What is allocated, whether or not the allocator got it from the system just now.
double allocatedMegabytes()
{
    constexpr double bytesPerMegabyte = 1024.0 * 1024.0;
    const struct mallinfo2 info = mallinfo2();
    return static_cast<double>(info.uordblks + info.hblkhd) / bytesPerMegabyte;
}

wire::ConfigRecord makeAdapter(std::int64_t basedOn, int number)
{
    const std::string name = "member-adapter-" + std::to_string(number);
    wire::ConfigRecord record;
    record.basedOn = basedOn;
    record.changes.resize(2 + versionsPerAdapter);
    wire::AdapterSpec adapter;
    adapter.name = name;
    adapter.member = "member";
    adapter.baseModel = "base-model";
    record.changes[0].__set_adapterCreate(adapter);
    for (int version = 1; version <= versionsPerAdapter; ++version) {
        wire::VersionSpec spec;
        spec.adapter = name;
        spec.version = version;
        spec.source = "store/adapters/" + name + "/" + std::to_string(version);
        record.changes[static_cast<std::size_t>(version)].__set_versionAdd(spec);
    }
    wire::AssignmentSpec assignment;
    assignment.adapter = name;
    assignment.version = versionsPerAdapter;
    record.changes.back().__set_assign(assignment);
    return record;
}

void measure(int adapters)
{
    const double before = allocatedMegabytes();
    Blackboard blackboard;
    ConfigState &config = blackboard.config;
    wire::ConfigRecord first;
    first.changes.resize(1);
    first.changes[0].memberAdd.name = "member";
    first.changes[0].memberAdd.keyHash = "hash";
    first.changes[0].__isset.memberAdd = true;
    applyConfigRecord(config, 0, "nonce", first);
    auto start = std::chrono::steady_clock::now();
    for (int number = 0; number < adapters; ++number) {
        applyConfigRecord(config, number + 1, "nonce", makeAdapter(config.revision, number));
    }
    const double apply = millisecondsSince(start);
    const double memory = allocatedMegabytes() - before;
    config.appliedOffset = adapters;
    start = std::chrono::steady_clock::now();
    const std::vector<wire::CheckpointRecord> parts = makeCheckpoint(blackboard);
    const double make = millisecondsSince(start);
    std::size_t bytes = 0;
    std::size_t largest = 0;
    Blackboard back;
    start = std::chrono::steady_clock::now();
    for (const wire::CheckpointRecord &part : parts) {
        wire::LogRecord record;
        record.__set_checkpoint(part);
        const std::string encoded = encode(record);
        bytes += encoded.size();
        largest = std::max(largest, encoded.size());
        wire::LogRecord decoded;
        Actions actions;
        if (decode(encoded, decoded)) {
            std::printf("part not read back\n");
            return;
        }
        collectCheckpointPart(back, decoded, TimePoint {}, actions);
    }
    const double install = millisecondsSince(start);
    std::printf("adapters %7d  memory %6.1f MB  change %5.1f us  parts %4zu  bytes %9zu  largest %6zu  make %6.1f ms  "
                "encode+install %7.1f ms  same %d\n",
                adapters, memory, apply * 1000 / adapters, parts.size(), bytes, largest, make, install,
                static_cast<int>(back.config.adapters == config.adapters));
}

} // namespace

int main()
{
    for (const int adapters : {3'000, 30'000, 70'000, 140'000}) {
        measure(adapters);
    }
    return 0;
}
