/// What the soak holds the instances to, from what callers and targets see.
#ifndef KNAPWEEDSTREAM_SOAK_INVARIANTS_HPP
#define KNAPWEEDSTREAM_SOAK_INVARIANTS_HPP

#include "routed_target.hpp"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace soak
{

namespace ks = knapweedstream;

/// Routes of the deployment.
enum class route_kind : std::uint8_t
{
    all,  ///< Asks all shards.
    one,  ///< One service, idempotent.
    once, ///< One service, at most once.
};

/// A caller's request and what became of it.
struct request_record
{
    std::string id;
    route_kind kind = route_kind::all;
    std::size_t instance = 0;
    ks::time_point sent;
    ks::time_point ended;      ///< Answered or cut; 0 if neither.
    bool disconnected = false; ///< The connection ended without an answer.
    ks::http_message answer;
};

/// A time in which an instance, or the store, may be excused.
struct fault_window
{
    ks::time_point from;
    ks::time_point to;
};

/// What happened during a run.
struct history
{
    std::vector<request_record> requests;
    standin::run_ledger runs;
    std::map<std::size_t, std::vector<fault_window>> instance_faults;
    std::vector<fault_window> store_faults;
    std::map<std::string, ks::time_point> draining; ///< By target's name.
    std::map<std::string, std::string> services;    ///< By target's name.
    std::size_t shards = 0;
};

/// A promise that was broken.
struct finding
{
    std::string invariant;
    std::string detail;
};

/// Everything that was broken.
auto check_invariants(history const& h) -> std::vector<finding>;

} // namespace soak

#endif
