// What PeerLinks keeps of each connection; shared by its two sources only.

#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "peerconnection.h"
#include "peerlink.h"

namespace lacewing {

/// An offer made on a dialled connection.
struct SentOffer {
    std::uint64_t place = 0;
    bool model = true;
};

/// A connection dialled by this VM.
struct PeerLinks::Outgoing {
    explicit Outgoing(asio::io_context &context) : timer(context)
    {
    }

    VmId vm;
    std::shared_ptr<PeerConnection> connection; ///< null unless connected
    bool ready = false; ///< the other side's hello has come
    bool dialling = false;
    std::chrono::steady_clock::time_point notBefore; ///< no new dial before
    std::vector<wire::PeerFrame> waiting; ///< until ready
    std::unordered_map<AttemptId, SentOffer, AttemptIdHash> offers;
    asio::steady_timer timer;
};

/// A connection dialled by another VM.
struct PeerLinks::Incoming {
    explicit Incoming(asio::io_context &context) : timer(context)
    {
    }

    VmId vm; ///< empty until its hello has come
    std::shared_ptr<PeerConnection> connection;
    std::unordered_set<AttemptId, AttemptIdHash> attempts;
    asio::steady_timer timer;
};

} // namespace lacewing
