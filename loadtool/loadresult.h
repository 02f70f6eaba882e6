// What the load tool saw: outcomes, proofs that failed, and times.

#pragma once

#include <map>
#include <string>
#include <vector>

namespace loadtool {

struct LoadResult {
    long answered = 0;
    long notRun = 0; ///< refused with the outcome not_run, after all retries
    long duplicates = 0; ///< told that an earlier call with the key was answered
    long unknown = 0; ///< ended with the outcome unknown
    long failed = 0; ///< ended with the outcome failed
    long wrong = 0; ///< an answer with any byte that is not its own
    long cut = 0; ///< an answer that ended without an end or an error
    long aborted = 0; ///< closed by this tool on purpose
    long retried = 0;
    std::map<std::string, long> codes; ///< error types seen
    std::map<std::string, long> models; ///< answers by adapter@version
    std::vector<std::string> faults; ///< the first few wrong or cut answers
    std::vector<double> firstToken; ///< seconds
    std::vector<double> betweenTokens; ///< seconds, mean of each stream
    std::vector<double> total; ///< seconds
    double seconds = 0; ///< wall time of the whole run
    long tokens = 0;
};

/// @param result what was seen
/// @return the result as JSON text
std::string toJson(const LoadResult &result);

} // namespace loadtool
