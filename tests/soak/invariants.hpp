/// Invariants of a soak run, checked against what callers and targets saw.
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

/// Kinds of routes in the deployment.
enum class route_kind : std::uint8_t
{
    all,  ///< Gathers from all shards.
    one,  ///< One service, idempotent.
    once, ///< One service, at most once.
};

/// A caller's request and its outcome.
struct request_record
{
    std::string id;
    route_kind kind = route_kind::all;
    std::size_t instance = 0;
    ks::time_point sent;
    ks::time_point ended;      ///< Answered or disconnected; 0 if neither.
    bool disconnected = false; ///< The connection closed before the answer.
    ks::http_message answer;
};

/// Period in which a fault may affect an instance or the store. A request to an
/// affected instance may then be late or lose its connection, and the time to
/// drain targets counts from the end of the period.
struct fault_window
{
    ks::time_point from;
    ks::time_point to;
};

/// A version of the configuration that was written.
struct config_record
{
    ks::time_point written;
    std::string single_service; ///< Of the routes `one` and `once`.
};

/// Events of a run.
struct history
{
    std::vector<request_record> requests;
    standin::run_log runs;
    std::map<std::size_t, std::vector<fault_window>> instance_faults;
    std::vector<fault_window> store_faults;
    /// While the only fault is a store that comes back from an older copy.
    std::vector<fault_window> only_restores;
    std::vector<config_record> configs;             ///< Oldest first.
    std::map<std::string, ks::time_point> draining; ///< Start, by target name.
    std::map<std::string, std::string> services;    ///< By target's name.
    std::size_t shards = 0;
};

/// A violated invariant.
struct violation
{
    std::string invariant;
    std::string detail;
};

/// Checks all invariants and returns those that were violated.
auto check_invariants(history const& h) -> std::vector<violation>;

} // namespace soak

#endif
