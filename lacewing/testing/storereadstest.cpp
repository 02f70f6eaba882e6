// Replay of large configurations that VMs read over slow links, on simulated time: reads that wait and reads that check
// receive the same records, connections are reset, and several configurations lie behind each other.

#include "storereads.h"

#include <algorithm>
#include <vector>

#include <criterion/criterion.h>

using namespace lacewing;

namespace {

/// How a VM reads.
enum class Way {
    Whole, ///< an answer that has not ended after answerMilliseconds is dropped
    Stall, ///< an answer is received for as long as bytes arrive
    Shared, ///< the same, and one large answer at a time
    Newest, ///< the same, and a listing where it is smaller than what lies behind a page
};

struct Load {
    std::size_t kilobytes = 0; ///< of a configuration
    int versions = 1; ///< that lie behind each other
    double linkRate = 1250; ///< kilobytes per second
    double busyShare = 0; ///< of the link
    std::vector<int> resets; ///< milliseconds
};

struct Outcome {
    int inForce = 0; ///< milliseconds until the newest configuration is in force
    double kilobytes = 0; ///< received until then
};

constexpr int answerMilliseconds = 700;
constexpr int retryMilliseconds = 1000;
constexpr int checkMilliseconds = 1000;
constexpr int replayMilliseconds = 30000;

/// A read of one VM.
struct Read {
    double left = 0; ///< kilobytes of the answer
    double size = 0;
    int from = 0; ///< version that it begins behind
    int versions = 0; ///< in the answer
    int begun = 0;
    int startsAt = 0; ///< after a failure
    bool active = false;
    bool large = false; ///< counts as a transfer
};

class Model
{
public:
    Model(const Load &replayed, Way reaction) : load(replayed), way(reaction)
    {
    }

    Outcome run()
    {
        const double perMillisecond = this->load.linkRate * (1 - this->load.busyShare) / 1000;
        for (int now = 0; now < replayMilliseconds && this->known < this->load.versions; ++now) {
            this->outcome.inForce = now;
            const bool reset
                = std::find(this->load.resets.begin(), this->load.resets.end(), now) != this->load.resets.end();
            for (std::size_t index = 0; index < this->reads.size(); ++index) {
                this->advance(this->reads[index], index == 0, reset, now);
            }
            const auto receiving = static_cast<double>(
                std::count_if(this->reads.begin(), this->reads.end(), [](const Read &one) { return one.active; }));
            for (Read &read : this->reads) {
                if (read.active) {
                    read.left -= perMillisecond / receiving;
                    this->outcome.kilobytes += perMillisecond / receiving;
                }
            }
        }
        this->outcome.inForce += this->known < this->load.versions ? 1 : 0;
        return this->outcome;
    }

private:
    void advance(Read &read, bool waits, bool reset, int now)
    {
        if (read.active && read.left <= 0) {
            this->known = std::max(this->known, read.from + read.versions);
            this->list = this->way == Way::Newest
                && shouldListInstead({static_cast<std::size_t>(read.size * 1024), read.versions,
                                      this->load.versions - this->known},
                                     0);
            this->end(read, now, waits ? 0 : checkMilliseconds);
        } else if (read.active && (reset || this->isLate(read, waits, now))) {
            this->end(read, now, waits ? retryMilliseconds : checkMilliseconds);
        }
        this->resetBefore = this->resetBefore || reset;
        if (!read.active && now >= read.startsAt && this->known < this->load.versions) {
            this->begin(read, now);
        }
    }

    /// @return whether the read is ended before its answer; the first one had waited and has time left
    bool isLate(const Read &read, bool waits, int now) const
    {
        return this->way == Way::Whole && now - read.begun >= answerMilliseconds && (this->resetBefore || !waits);
    }

    void begin(Read &read, int now)
    {
        const bool byRecord = this->way == Way::Newest;
        const int behind = this->load.versions - this->known;
        const int inPage = std::max(1, byRecord ? 1 : static_cast<int>(512 / this->load.kilobytes));
        read = {};
        read.from = this->list ? this->load.versions - 1 : this->known;
        read.versions = this->list ? 1 : std::min(behind, inPage);
        read.size = static_cast<double>(this->load.kilobytes) * read.versions * (this->list ? 4.0 / 3 : 1);
        read.left = read.size;
        read.begun = now;
        read.startsAt = now;
        if (this->way == Way::Whole || this->way == Way::Stall) {
            read.active = true;
            return;
        }
        const bool before = this->transfers.receiving;
        read.active = beginTransfer(this->transfers, static_cast<std::uint64_t>(read.size * 1024));
        read.large = !before && this->transfers.receiving;
    }

    void end(Read &read, int now, int pause)
    {
        this->transfers.receiving = this->transfers.receiving && !read.large;
        read = {};
        read.startsAt = now + pause;
    }

    Load load;
    Way way;
    int known = 0; ///< versions
    bool list = false; ///< the next read is a listing
    bool resetBefore = false;
    TopicTransfers transfers;
    std::vector<Read> reads {2}; ///< one that waits, and one that checks
    Outcome outcome;
};

} // namespace

Test(storereads, oneLargeAnswerIsReceivedAtATime)
{
    TopicTransfers transfers;
    cr_expect(beginTransfer(transfers, maxParallelReadBytes));
    cr_expect_not(transfers.receiving);
    cr_expect(beginTransfer(transfers, maxParallelReadBytes + 1));
    cr_expect(transfers.receiving);
    cr_expect_not(beginTransfer(transfers, maxParallelReadBytes + 1));
    cr_expect_not(beginTransfer(transfers, std::nullopt), "an answer of unstated size may be large");
    cr_expect(beginTransfer(transfers, 16));
}

Test(storereads, aListingReplacesReadsOfWhatItSupersedes)
{
    cr_expect_not(shouldListInstead({250000, 1, 0}, 0), "the page was the last one");
    cr_expect_not(shouldListInstead({250000, 1, 1}, 0));
    cr_expect(shouldListInstead({250000, 1, 2}, 0));
    cr_expect_not(shouldListInstead({250000, 1, 2}, 1000000), "the listing has many other keys");
    cr_expect_not(shouldListInstead({0, 0, 8}, 0));
}

// A configuration is in force within twice the time that the link needs for one, but for the resets.
Test(storereads, largeConfigurationsArriveInTheTimeThatTheLinkNeeds)
{
    const std::vector<Load> loads {
        {100, 1, 1250, 0.5, {}},     {100, 8, 1250, 0.9, {}},    {250, 2, 1250, 0.5, {300}},
        {250, 1, 1250, 0.7, {300}},  {250, 8, 1250, 0.9, {}},    {250, 8, 1250, 0.5, {300, 1500}},
        {800, 1, 1250, 0.5, {}},     {800, 2, 1250, 0.1, {300}}, {800, 2, 1250, 0.9, {}},
        {4000, 1, 1250, 0.5, {300}},
    };
    for (const Load &load : loads) {
        for (const Way way : {Way::Whole, Way::Stall, Way::Shared, Way::Newest}) {
            const Outcome outcome = Model(load, way).run();
            cr_log_info("%4zu KB x %d, busy %.1f, %zu resets, way %d: in force after %5d ms, %6.0f KB received",
                        load.kilobytes, load.versions, load.busyShare, load.resets.size(), static_cast<int>(way),
                        outcome.inForce, outcome.kilobytes);
            if (way != Way::Newest) {
                continue;
            }
            const double one = static_cast<double>(load.kilobytes) / (load.linkRate * (1 - load.busyShare)) * 1000;
            const int needed = load.versions == 1 ? 1 : 3; // a page, and a listing that is a third larger
            const double bound = one * needed + static_cast<double>(load.resets.size()) * (one + retryMilliseconds);
            cr_expect_leq(outcome.inForce, static_cast<int>(bound) + 10, "%zu KB x %d", load.kilobytes, load.versions);
        }
    }
}
