// Copies of a request that is suspected to crash endpoints: they are sent one at a time over all VMs (copyleases.h).

#include "relay.h"

#include <utility>

#include "eventlog.h"
#include "gateway.h"

namespace lacewing {

bool Relay::awaitCopyLease()
{
    if (this->copyLeaseHeld || !this->gateway.crashes.isSuspectedRequest(this->content.digest)
        || !this->gateway.acquireCopyLease) {
        return false;
    }
    if (this->copyTicket != 0) {
        return true;
    }
    const auto onGranted = [weak = this->weak_from_this()] {
        const auto self = weak.lock();
        if (self && !self->done) {
            self->run([&self] { self->onCopyLease(); });
        }
    };
    this->copyTicket = this->gateway.acquireCopyLease(this->content.digest, onGranted);
    if (this->copyLeaseHeld) {
        return false;
    }
    this->pacedTo.clear();
    this->leaveQueue();
    const Duration limit = this->waitLimit();
    logEvent("copy_waits",
             {{"id", this->info.id}, {"digest", describe(this->content.digest)}, {"limit_ms", inMilliseconds(limit)}});
    this->setTimer(this->waitTimer, limit, &Relay::onCopyLeaseLimit);
    return true;
}

void Relay::onCopyLease()
{
    this->copyLeaseHeld = true;
    if (this->copyTicket != 0) { // otherwise it was granted at once
        this->place();
    }
}

void Relay::onCopyLeaseLimit()
{
    if (this->copyTicket != 0 && !this->copyLeaseHeld) {
        this->sendGatewayAnswer(ResultCode::CopyInProgress, refusedRetryAfter);
    }
}

void Relay::endCopyWait(RequestDigest digest)
{
    if (this->done || this->content.digest != digest || this->copyTicket == 0 || this->copyLeaseHeld) {
        return;
    }
    this->releaseCopyLease();
    this->waitTimer.cancel();
    this->run([this] { this->place(); });
}

void Relay::releaseCopyLease()
{
    const bool unsettled = std::exchange(this->mayStillRun, false);
    this->copyLeaseHeld = false;
    if (const std::int64_t lease = std::exchange(this->copyTicket, 0); lease != 0) {
        this->gateway.releaseCopyLease(lease, unsettled);
    }
}

} // namespace lacewing
