// Metrics page and log line on the traffic of an entry VM.

#include "entrynode.h"

#include <cmath>

#include "eventlog.h"
#include "handlerguard.h"
#include "metriclabel.h"
#include "organisationmetrics.h"

namespace lacewing {

std::string EntryNode::metricsText() const
{
    const GatewayCounters &counters = this->dataPath.counters();
    std::string text;
    const auto line = [&text](const std::string &name, std::int64_t value) {
        text += "lacewing_" + name + " " + std::to_string(value) + "\n";
    };
    line("requests_total", counters.requests);
    line("requests_answered_total", counters.answered);
    line("requests_repeated_total", counters.repeats);
    line("requests_repeated_late_total", counters.lateRepeats);
    for (const auto &[service, budget] : this->dataPath.retryBudgets()) {
        const std::string label = "{service=\"" + escapeLabel(service) + "\"}";
        line("retries_charged_total" + label, budget.charged);
        line("retry_tokens" + label, std::lround(budget.tokens));
    }
    line("retry_budget_vms", static_cast<std::int64_t>(this->retryBudgetVms));
    line("callers_gone_total", counters.callersGone);
    line("requests_discarded_total", counters.discarded);
    line("answers_broken_total", counters.brokenAnswers);
    line("answers_unproven_total", counters.answersUnproven);
    for (const auto &[code, count] : counters.ownAnswers) {
        line("own_answers_total{type=\"" + std::string(resultCodeInfo(code).type) + "\"}", count);
    }
    for (const auto &[source, count] : counters.streamsResumed) {
        line("streams_resumed_total{source=\"" + source + "\"}", count);
    }
    line("origins_unknown_total", counters.originsUnknown);
    line("origins_recorded_total", this->origins.recorded);
    line("list_confirmed_by_owner_total", this->listConfirmation.counts.byOwner);
    line("list_confirmed_by_own_read_total", this->listConfirmation.counts.byOwnRead);
    line("list_not_confirmed_total", this->listConfirmation.counts.failed);
    line("history_asks_total", this->history.counts.asked);
    line("history_answers_total", this->history.counts.answered);
    line("history_answers_late_total", this->history.counts.late);
    line("origins_stored_total", this->originStore.stored);
    line("origins_not_stored_total", this->originStore.dropped);
    line("origins_restored_total", this->originsRestored);
    line("requests_forwarded_total", counters.forwarded);
    line("requests_taken_over_total", counters.takenOver);
    line("endpoint_connections_made_total", counters.connectionsMade);
    line("endpoint_connections_failed_total", counters.connectionsFailed);
    line("reach_rounds_total", this->dataPath.reachWatch().roundsStarted);
    line("limits_ignored_total", counters.limitsIgnored);
    line("endpoints_stated_leaving_total", counters.leavingStated);
    line("rests_stated_total", counters.restsStated);
    for (const auto &[hold, count] : counters.sendsHeld) {
        line("sends_held_total{reason=\"" + std::string(toString(hold)) + "\"}", count);
    }
    line("endpoint_rejections_total", counters.rejections);
    line("endpoint_rejections_told_total", counters.rejectionsTold);
    const CrashCounters &crashes = this->dataPath.crashWatch().counts;
    line("endpoint_crashes_total", crashes.crashes);
    line("endpoint_crashes_refuted_total", crashes.refuted);
    line("requests_proven_to_crash_total", crashes.proven);
    line("request_proofs_ended_total", crashes.proofsEnded);
    line("request_proofs_cleared_total", crashes.proofsCleared);
    line("parts_proven_to_crash_total", crashes.partsProven);
    line("crash_digests_untold_total", crashes.untold);
    line("copy_leases_acquired_total", this->copyLeases.counts.acquired);
    line("copy_leases_refused_total", this->copyLeases.counts.refused);
    line("copies_without_lease_total", this->copyLeases.counts.withoutLease);
    line("requests_open", static_cast<std::int64_t>(this->dataPath.openRequests()));
    line("orders_total", this->owner.ordersSent);
    line("load_checks_total", this->owner.loadChecks);
    line("plans_total", this->owner.plansMade);
    line("reports_read_total", this->owner.reportsRead);
    const ZoneModelLoads modelLoads = this->owner.modelLoads();
    line("model_loads_waiting", modelLoads.waiting);
    line("model_loads_in_progress", modelLoads.loading);
    line("model_load_limit", this->owner.modelLoadLimit());
    line("endpoints", static_cast<std::int64_t>(this->dataPath.fleet().endpoints.size()));
    const ListFreshness &list = this->dataPath.fleet().list;
    if (isKnown(list.position)) {
        line("list_age_milliseconds", toMilliseconds(this->clock.now() - list.current));
    }
    line("config_version", this->dataPath.config() ? this->dataPath.config()->version : 0);
    line("config_behind_milliseconds", toMilliseconds(this->configTransfer.behind().value_or(Duration {0})));
    line("config_asks_total", this->configTransfer.counts.asked);
    line("config_asks_refused_total", this->configTransfer.counts.refused);
    line("configs_received_total", this->configTransfer.counts.received);
    line("configs_sent_total", this->configTransfer.counts.sent);
    line("placement_owner", this->owner.active() ? 1 : 0);
    line("records_unreadable_total", this->unreadableRecords);
    line("list_changes_ignored_total", this->listChangesIgnored);
    line("store_up", this->storeUp ? 1 : 0);
    line("store_era", this->dataPath.configProof.store.era);
    line("handler_failures_total", handlerFailures().total);
    const auto datagramLines = [&line](const std::string &name, const DatagramsByKind &counts) {
        for (std::size_t kind = 0; kind < counts.size(); ++kind) {
            const std::string label = "{kind=\"" + std::string(nameOf(static_cast<DatagramKind>(kind))) + "\"}";
            std::string counted = name;
            counted += "_total";
            counted += label;
            line("datagrams_" + counted, counts[kind].datagrams);
            line("datagram_bytes_" + counted, counts[kind].bytes);
        }
    };
    datagramLines("sent_within_zone", this->gossip.counts.sentWithinZone);
    datagramLines("sent_to_other_zones", this->gossip.counts.sentToOtherZones);
    datagramLines("received", this->gossip.counts.received);
    text += this->dataPath.organisationMetrics().text();
    if (this->extraMetrics) {
        text += this->extraMetrics();
    }
    return text;
}

void EntryNode::logTraffic()
{
    const DatagramCounts &counts = this->gossip.counts;
    logEvent("traffic",
             {{"sent_within_zone", describe(counts.sentWithinZone)},
              {"sent_to_other_zones", describe(counts.sentToOtherZones)},
              {"received", describe(counts.received)},
              {"store_calls", this->describeStoreCalls ? this->describeStoreCalls() : std::string()},
              {"reach_rounds", std::to_string(this->dataPath.reachWatch().roundsStarted)}});
}

void EntryNode::countUnreadableRecord()
{
    this->unreadableRecords += 1;
}

} // namespace lacewing
