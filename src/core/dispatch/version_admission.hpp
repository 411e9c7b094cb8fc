/// Which versions of a service may get requests at all, whatever a rollout
/// order says or while it is not known whether there is one.
///
/// While a service has targets of several versions, one that has appeared since
/// the orders were last read may be on trial: it gets nothing until they are
/// read again. One that was rolled back gets nothing, also after its order has
/// gone or been replaced. If all targets have one version, it is used.
#ifndef KNAPWEEDSTREAM_CORE_DISPATCH_VERSION_ADMISSION_HPP
#define KNAPWEEDSTREAM_CORE_DISPATCH_VERSION_ADMISSION_HPP

#include <knapweedstream/time.hpp>

#include <map>
#include <set>
#include <string>

namespace knapweedstream::dispatch
{

/// Versions of one service's targets.
struct version_admission
{
    /// Versions of the targets, each with the time of its first target.
    std::map<std::string, time_point> present;
    /// Versions that were present when the orders were read.
    std::set<std::string> checked;
    std::set<std::string> rolled_back;

    auto operator<=>(version_admission const&) const = default;
};

/// Sets the versions of the service's targets.
auto with_present(version_admission const& v,
    std::set<std::string> const& versions, time_point now) -> version_admission;

/// Records that the orders were read: all versions present are explained.
auto with_orders_read(version_admission const& v) -> version_admission;

/// Records how an order for a version stands.
///
/// @param[in] rolled_back The order was rolled back.
auto with_order_seen(version_admission const& v, std::string const& version,
    bool rolled_back) -> version_admission;

/// True if the service has several versions and the orders must be read to know
/// which of them may be used.
auto needs_orders(version_admission const& v) -> bool;

/// True if targets of the version may get requests.
auto admits_version(version_admission const& v, std::string const& version,
    time_point now) -> bool;

} // namespace knapweedstream::dispatch

#endif
