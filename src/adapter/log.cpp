#include "adapter/log.hpp"

#include "adapter/event_loop.hpp"

#include <knapweedstream/overloaded.hpp>

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/make_shared.hpp>

#include <unistd.h>

namespace knapweedstream
{

namespace
{

namespace trivial = boost::log::trivial;

auto severity_of(log_level level) -> trivial::severity_level
{
    switch (level)
    {
    case log_level::debug:
        return trivial::debug;
    case log_level::info:
        return trivial::info;
    case log_level::warning:
        return trivial::warning;
    case log_level::error:
        return trivial::error;
    }
    return trivial::info;
}

/// The value of a handle as 16 hexadecimal digits.
template <class Handle>
auto hex(Handle it) -> std::string
{
    char buf[17];
    std::snprintf(
        buf, sizeof buf, "%016llx", static_cast<unsigned long long>(it.value));
    return buf;
}

/// The only log writer of the process; it writes to standard output.
auto writer() -> log_writer&
{
    static auto it = log_writer{STDOUT_FILENO, {}};
    return it;
}

/// Boost.Log sink that passes formatted lines to the log writer.
class writer_backend
    : public boost::log::sinks::basic_formatted_sink_backend<char,
          boost::log::sinks::synchronized_feeding>
{
public:
    auto consume(boost::log::record_view const&, std::string const& line)
        -> void
    {
        writer().add(line, steady_now());
    }
};

/// Text of a version; the era only if the platform states one.
auto version_text(store_version const& v) -> std::string
{
    auto const era = v.era == 0 ? "" : " era=" + std::to_string(v.era);
    return " version=" + std::to_string(v.revision) + era;
}

} // namespace

auto start_log(log_level min_level, log_bounds const& bounds) -> void
{
    namespace expr = boost::log::expressions;
    using sink = boost::log::sinks::synchronous_sink<writer_backend>;
    writer().set_bounds(bounds);
    boost::log::add_common_attributes();
    auto it = boost::make_shared<sink>(boost::make_shared<writer_backend>());
    it->set_formatter(expr::stream
                      << expr::format_date_time<boost::posix_time::ptime>(
                             "TimeStamp", "%H:%M:%S.%f")
                      << " " << trivial::severity << " " << expr::smessage);
    boost::log::core::get()->add_sink(it);
    boost::log::core::get()->set_filter(
        trivial::severity >= severity_of(min_level));
}

auto flush_log() -> void
{
    writer().flush();
}

auto dropped_log_lines() -> std::uint64_t
{
    return writer().dropped_lines();
}

auto log(log_level level, std::string_view component, std::string_view text)
    -> void
{
    BOOST_LOG_STREAM_WITH_PARAMS(trivial::logger::get(),
        (boost::log::keywords::severity = severity_of(level)))
        << component << ": " << text;
}

auto phase_name(rollout_phase it) -> char const*
{
    switch (it)
    {
    case rollout_phase::running:
        return "running";
    case rollout_phase::completed:
        return "done";
    case rollout_phase::rolled_back:
        return "undone";
    }
    return "running";
}

auto fault_name(rollout_fault it) -> char const*
{
    switch (it)
    {
    case rollout_fault::none:
        return "none";
    case rollout_fault::failures:
        return "failures";
    case rollout_fault::latency:
        return "latency";
    }
    return "none";
}

auto log_fact(fact const& it) -> void
{
    std::visit(
        overloaded{[](rollout_changed const& e)
            {
                log(log_level::info, "rollout",
                    "Rollout updated. service=" + e.service +
                        " id=" + std::to_string(e.id) +
                        " step=" + std::to_string(e.step) + " state=" +
                        phase_name(e.phase) + " reason=" + fault_name(e.fault));
            },
            [](version_stopped const& e)
            {
                log(log_level::warning, "rollout",
                    "Traffic to new version stopped. service=" + e.service +
                        " id=" + std::to_string(e.id) +
                        " reason=" + fault_name(e.fault));
            },
            [](target_ejected const& e) {
                log(log_level::warning, "leaf",
                    "Target ejected. target=" + hex(e.target));
            },
            [](target_restarted const& e)
            {
                log(log_level::info, "leaf",
                    "Target restarted. target=" + hex(e.target) +
                        " boot=" + hex(e.boot));
            },
            [](target_warmed const& e) {
                log(log_level::info, "leaf",
                    "Target warmed up. target=" + hex(e.target));
            },
            [](connection_unresponsive const& e)
            {
                log(log_level::warning, "leaf",
                    "Unresponsive connection closed. target=" + hex(e.target));
            },
            [](peer_joined const& e)
            { log(log_level::info, "peer", "Peer joined. name=" + e.name); },
            [](peer_suspected const& e) {
                log(log_level::warning, "peer",
                    "Peer suspected. name=" + e.name);
            },
            [](config_accepted const& e)
            {
                log(log_level::info, "config",
                    "Configuration applied. customer=" + e.customer +
                        version_text(e.version));
            },
            [](config_kept const& e)
            {
                log(log_level::warning, "config",
                    "Older configuration of a restored platform ignored. "
                    "customer=" +
                        e.customer + version_text(e.version));
            },
            [](platform_restored const& e)
            {
                log(log_level::warning, "platform",
                    "Platform came back from an older copy. era_before=" +
                        std::to_string(e.before) +
                        " era=" + std::to_string(e.era));
            },
            [](request_banned const& e)
            {
                log(log_level::warning, "node",
                    "Request banned. fingerprint=" +
                        hex(e.request_fingerprint));
            }},
        it);
}

} // namespace knapweedstream
