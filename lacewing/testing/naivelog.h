// The naive version of replay: one struct, linear scans, a whole copy for each record. Differential tests
// hold configreplay and claims against it.

#pragma once

#include <string>
#include <vector>

#include "types.h"

namespace lacewing {

struct NaiveVersion {
    int number = 0;
    std::string source;
    bool retired = false;
};

struct NaiveAdapter {
    std::string name;
    std::string member;
    std::vector<NaiveVersion> versions;
    int assigned = 0;
};

struct NaiveClaim {
    std::string resource;
    std::string vm;
    LogOffset offset = noOffset;
    bool released = false;
};

struct NaiveLog {
    std::int64_t revision = 0;
    std::vector<std::string> members;
    std::vector<NaiveAdapter> adapters;
    std::vector<NaiveAdapter> deleted;
    std::vector<std::string> endpoints;
    std::string preset = "ordinary";
    std::vector<NaiveClaim> claims;
};

/// @param state state before
/// @param stored the record at the next offset
/// @return state after
NaiveLog replayNaively(NaiveLog state, const wire::StoredRecord &stored);

} // namespace lacewing
