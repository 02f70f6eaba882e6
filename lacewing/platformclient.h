// Talks to the platform from threads of its own: reads the log and the VM list, and appends records. What
// happens is delivered as events; the receiver passes them on to the runtime's thread.
//
//   PlatformClient client(options, [&](Event event) { post(std::move(event)); });
//   client.start();
//   client.read(0);          // RecordsRead or LogReadFailed follows
//   client.append(record);   // AppendEnded follows
//   client.stop();

#pragma once

#include <atomic>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include "event.h"
#include "hostport.h"
#include "sizes.h"
#include "types.h"

namespace lacewing {

struct PlatformOptions {
    HostPort platform;
    Duration appendTimeout = milliseconds(2000);
    Duration readTimeout = milliseconds(4000); ///< of a page of the log, above longPoll
    Duration longPoll = milliseconds(1000); ///< how long the platform may hold a read with nothing new
    Duration vmListInterval = milliseconds(1000);
    Duration vmListTimeout = milliseconds(2000);
    std::size_t pageRecords = 512; ///< halved after a page that was too large, doubled after each that was not
    std::size_t pageLimit = 32 * mebibyte; ///< bytes of an answer with a page
    std::size_t appendQueueLimit = 1024;
    std::size_t appendThreads = 4;
};

class PlatformClient
{
public:
    using Receiver = std::function<void(Event)>;

    /// @param wanted where and how
    /// @param eventReceiver called from the client's threads; must not block for long
    PlatformClient(PlatformOptions wanted, Receiver eventReceiver);
    ~PlatformClient();
    PlatformClient(const PlatformClient &) = delete;
    PlatformClient &operator=(const PlatformClient &) = delete;

    /// Starts the threads; call once.
    void start();

    /// Reads the log once. RecordsRead or LogReadFailed follows; a newer call replaces one not yet begun.
    /// @param from offset to read from
    void read(LogOffset from);

    /// Queues a record for the log. AppendEnded says how it ended: Refused only if it was surely not stored.
    /// @param record to append; its nonce comes back in the event
    void append(const wire::LogRecord &record);

    /// Ends the threads; exchanges in progress are given up within a fraction of a second, and no event is
    /// delivered after it returns. Called by the destructor too.
    void stop();

private:
    struct QueuedAppend {
        std::string nonce;
        std::string bytes;
    };

    void runReads();
    void runVmList();
    void runAppends();
    AppendEnded carryOut(class BlockingHttpClient &client, const QueuedAppend &queued) const;
    Event readPage(class BlockingHttpClient &client, LogOffset from, std::size_t &most) const;

    PlatformOptions options;
    Receiver receiver;
    std::atomic<bool> stopped {false};
    std::mutex mutex;
    std::condition_variable changed;
    std::optional<LogOffset> wantedRead;
    std::deque<QueuedAppend> appends;
    std::vector<std::thread> threads;
};

} // namespace lacewing
