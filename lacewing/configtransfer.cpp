// A timer runs only while this VM is behind.

#include "configtransfer.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>

#include "clock.h"
#include "eventlog.h"
#include "forwarding.h"
#include "handlerguard.h"
#include "lacewing_types.h"

namespace lacewing {

namespace {

/// Interval of the checks whether a VM has to be asked, while this VM is behind.
constexpr Duration checkInterval = milliseconds(100);
/// For a part of a configuration, and for the answer to the whole.
constexpr Duration sendTimeout = milliseconds(1000);
/// A lag that lasts longer than this is logged.
constexpr Duration loggedLag = milliseconds(1000);

} // namespace

ConfigTransfer::ConfigTransfer(asio::io_context &ioContext, RuntimeClock &runtimeClock, VmId ownVm,
                               ConfigTransferPorts transferPorts)
    : context(ioContext),
      clock(runtimeClock),
      own(std::move(ownVm)),
      ports(std::move(transferPorts)),
      pool(ioContext, HttpPoolSettings {}),
      timer(ioContext),
      random(std::random_device {}())
{
}

void ConfigTransfer::recordStated(const VmId &vm, bool inOwnZone, std::int64_t version)
{
    recordStatedVersion(this->catchUp, vm, inOwnZone, version, this->ports.versionInForce(), this->clock.now());
    this->scheduleCheck(ownReadTime);
}

void ConfigTransfer::recordInForce(std::int64_t version, std::string configRecord)
{
    lacewing::recordInForce(this->catchUp, version, this->clock.now());
    this->record = std::move(configRecord);
    this->lagLogged = false;
}

std::optional<Duration> ConfigTransfer::behind() const
{
    return timeBehind(this->catchUp, this->clock.now());
}

void ConfigTransfer::answerAsk(const VmId &vm, std::int64_t known)
{
    if (known >= this->ports.versionInForce()) {
        return;
    }
    auto contact = this->ports.contactOf(vm);
    if (!contact) {
        this->ports.onContactUnknown();
    }
    if (!contact || this->record.empty() || !takeConfigBytes(this->budget, this->record.size(), this->clock.now())) {
        this->counts.refused += 1;
        return;
    }
    this->counts.sent += 1;
    asio::co_spawn(this->context, this->send(std::move(*contact)), reportingFailure("config_transfer"));
}

void ConfigTransfer::receive(const VmId &vm, const std::string &configRecord)
{
    this->counts.received += 1;
    logEvent("config_received",
             {{"vm", vm},
              {"bytes", std::to_string(configRecord.size())},
              {"behind_ms", inMilliseconds(this->behind().value_or(Duration {0}))}});
    if (!this->ports.onRecord(configRecord)) {
        recordUnusable(this->catchUp, this->clock.now());
    }
}

void ConfigTransfer::scheduleCheck(Duration delay)
{
    if (this->checkPending) {
        return;
    }
    this->checkPending = true;
    this->timer.expires_after(delay);
    this->timer.async_wait([this](const NetError &error) {
        this->checkPending = false;
        if (!error) {
            runGuarded("config_transfer", [this] { this->check(); });
        }
    });
}

void ConfigTransfer::check()
{
    const TimePoint now = this->clock.now();
    const std::optional<Duration> lag = timeBehind(this->catchUp, now);
    if (!lag) {
        return;
    }
    if (*lag >= loggedLag && !this->lagLogged) {
        this->lagLogged = true;
        logEvent("config_behind",
                 {{"version", std::to_string(this->ports.versionInForce())},
                  {"behind_ms", inMilliseconds(*lag)},
                  {"holders", std::to_string(this->catchUp.holders.size())}});
    }
    // Several VMs that send at the same time slow each other down.
    if (this->ports.isReceiving && this->ports.isReceiving()) {
        this->scheduleCheck(checkInterval);
        return;
    }
    if (const auto holder = holderToAsk(this->catchUp, this->random(), now)) {
        recordAsked(this->catchUp, *holder, now);
        this->counts.asked += 1;
        this->ports.sendAsk(*holder, this->ports.versionInForce());
    }
    this->scheduleCheck(checkInterval);
}

asio::awaitable<void> ConfigTransfer::send(VmContact contact)
{
    wire::ForwardedRequest carrier;
    carrier.token = contact.token;
    carrier.vm = this->own;
    carrier.configVersion = this->ports.versionInForce();
    carrier.__set_carriesConfig(true);
    HttpHeaders headers;
    writeForwarding(headers, carrier);
    HttpCall call;
    call.address = contact.address;
    call.method = http::verb::post;
    call.target = "/";
    call.headers[headers.front().name] = headers.front().value;
    call.body = this->record;
    call.timeout = sendTimeout;
    call.stallTimeout = sendTimeout;
    co_await fetch(this->pool, call); // a VM that did not get it asks again
}

} // namespace lacewing
