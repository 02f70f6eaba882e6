// A datagram has at most one body, so the first body that is set determines its kind.

#include "datagramcounts.h"

#include "lacewing_types.h"

namespace lacewing {

DatagramKind kindOf(const wire::VmDatagram &datagram)
{
    if (datagram.__isset.placement) {
        return DatagramKind::Placement;
    }
    if (datagram.__isset.demand) {
        return DatagramKind::Demand;
    }
    if (datagram.__isset.prompt) {
        return DatagramKind::Prompt;
    }
    if (datagram.__isset.listChange) {
        return DatagramKind::List;
    }
    if (datagram.__isset.newsAsked) {
        return DatagramKind::NewsAsked;
    }
    if (datagram.__isset.crashNews) {
        return DatagramKind::CrashNews;
    }
    if (datagram.__isset.copyLeaseAsk) {
        return DatagramKind::CopyLeaseAsk;
    }
    if (datagram.__isset.copyLeaseAnswer) {
        return DatagramKind::CopyLeaseAnswer;
    }
    if (datagram.__isset.limitNews) {
        return DatagramKind::LimitNews;
    }
    if (datagram.__isset.configRead) {
        return DatagramKind::ConfigRead;
    }
    if (datagram.__isset.quotaAsk) {
        return DatagramKind::QuotaAsk;
    }
    if (datagram.__isset.quotaAnswer) {
        return DatagramKind::QuotaAnswer;
    }
    if (datagram.__isset.quotaLedger) {
        return DatagramKind::QuotaLedger;
    }
    if (datagram.__isset.originRecords) {
        return DatagramKind::OriginRecords;
    }
    if (datagram.__isset.originAsk) {
        return DatagramKind::OriginAsk;
    }
    if (datagram.__isset.originAnswer) {
        return DatagramKind::OriginAnswer;
    }
    if (datagram.__isset.forwardCancel) {
        return DatagramKind::ForwardCancel;
    }
    if (datagram.__isset.rejectionDigest) {
        return DatagramKind::RejectionDigest;
    }
    if (datagram.__isset.listAsk) {
        return DatagramKind::ListAsk;
    }
    if (datagram.__isset.listAnswer) {
        return DatagramKind::ListAnswer;
    }
    if (datagram.__isset.modelLoads) {
        return DatagramKind::ModelLoads;
    }
    if (datagram.__isset.historyAsk) {
        return DatagramKind::HistoryAsk;
    }
    if (datagram.__isset.historyAnswer) {
        return DatagramKind::HistoryAnswer;
    }
    return datagram.__isset.endpointNews ? DatagramKind::EndpointNews : DatagramKind::Heartbeat;
}

std::string_view nameOf(DatagramKind kind)
{
    constexpr std::array<std::string_view, datagramKindCount> names {
        "heartbeat",      "placement",         "demand",     "prompt",        "list",           "news_asked",
        "endpoint_news",  "crash_news",        "limit_news", "config_read",   "quota_ask",      "quota_answer",
        "quota_ledger",   "origin_records",    "origin_ask", "origin_answer", "forward_cancel", "rejection_digest",
        "copy_lease_ask", "copy_lease_answer", "list_ask",   "list_answer",   "model_loads",    "history_ask",
        "history_answer", "passed_on"};
    return names.at(static_cast<std::size_t>(kind));
}

void count(DatagramsByKind &counts, DatagramKind kind, std::size_t bytes)
{
    DatagramCount &one = counts.at(static_cast<std::size_t>(kind));
    one.datagrams += 1;
    one.bytes += static_cast<std::int64_t>(bytes);
}

std::string describe(const DatagramsByKind &counts)
{
    std::string text;
    for (std::size_t kind = 0; kind < counts.size(); ++kind) {
        const DatagramCount &one = counts[kind];
        if (one.datagrams > 0) {
            text += (text.empty() ? "" : ",") + std::string(nameOf(static_cast<DatagramKind>(kind))) + "="
                + std::to_string(one.datagrams) + "/" + std::to_string(one.bytes);
        }
    }
    return text;
}

} // namespace lacewing
