#include "adapter/dispatch_log.hpp"

#include "adapter/log.hpp"

#include <knapweedstream/overloaded.hpp>

#include <array>
#include <cstdio>

namespace knapweedstream
{

namespace
{

template <class Enum, std::size_t N>
auto word_of(std::array<char const*, N> const& words, Enum it) -> char const*
{
    return words.at(static_cast<std::size_t>(it));
}

auto word(dispatch::attempt_kind it) -> char const*
{
    return word_of(
        std::array{"first", "hedge", "rescue", "retry", "probe"}, it);
}

auto word(dispatch::attempt_end it) -> char const*
{
    return word_of(
        std::array{"success", "failure", "overloaded", "wrong_target",
            "unusable", "lost", "unsent", "turned_away", "abandoned"},
        it);
}

auto word(dispatch::request_end it) -> char const*
{
    return word_of(
        std::array{"complete", "partial", "refused", "failed", "abandoned"},
        it);
}

auto word(dispatch::target_condition it) -> char const*
{
    return word_of(
        std::array{"registered", "changed", "draining", "gone", "displaced",
            "slow", "stalled", "failing", "down", "recovered"},
        it);
}

auto word(store_failure it) -> char const*
{
    return word_of(std::array{"unreachable", "silent", "busy", "unreadable",
                       "conflict", "missing"},
        it);
}

/// Milliseconds with one decimal.
auto ms(duration d) -> std::string
{
    constexpr auto tenths_us = 100;
    auto const tenths = d.count() / tenths_us;
    auto text = std::to_string(tenths / 10);
    text += '.';
    text += static_cast<char>('0' + tenths % 10);
    return text;
}

auto real(double v) -> std::string
{
    char buf[32];
    auto const n = std::snprintf(buf, sizeof buf, "%.2f", v);
    return {buf, static_cast<std::size_t>(n)};
}

auto parts_text(std::vector<dispatch::part_summary> const& parts) -> std::string
{
    auto text = std::string{};
    for (auto const& p : parts)
    {
        text.append(text.empty() ? "" : ",").append(p.service).append("/");
        text.append(p.target.empty() ? "-" : p.target).append("/");
        text.append(ms(p.took)).append("/").append(std::to_string(p.sent));
        text.append(p.answered ? "" : "!");
    }
    return text;
}

auto line_of(dispatch::extra_sent const& it) -> std::string
{
    return "Extra request sent. id=" + it.request + " kind=" + word(it.kind) +
           " service=" + it.service + " target=" + it.target +
           " waited_ms=" + ms(it.waited) + " patience_ms=" + ms(it.patience) +
           " budget_left=" + real(it.budget);
}

auto line_of(dispatch::attempt_failed const& it) -> std::string
{
    return "Attempt failed. id=" + it.request + " how=" + word(it.how) +
           " service=" + it.service + " target=" + it.target +
           " status=" + std::to_string(it.status) + " after_ms=" + ms(it.after);
}

auto line_of(dispatch::budget_exhausted const& it) -> std::string
{
    return "Retry budget spent. id=" + it.request + " kind=" + word(it.kind) +
           " service=" + it.service;
}

auto line_of(dispatch::request_ended const& it) -> std::string
{
    auto text = std::string{"Request ended. id="} + it.request +
                " outcome=" + word(it.how) + " route=" + it.route +
                " config=" + std::to_string(it.config) +
                " elapsed_ms=" + ms(it.elapsed) +
                " deadline_ms=" + ms(it.deadline);
    if (it.status != 0)
        text += " status=" + std::to_string(it.status);
    if (!it.reason.empty())
        text += " reason=" + it.reason;
    if (it.retry_after > duration{0})
        text += " retry_after_ms=" + ms(it.retry_after);
    return text + " parts=" + parts_text(it.parts);
}

auto line_of(dispatch::target_condition_changed const& it) -> std::string
{
    return std::string{"Target "} + word(it.condition) +
           ". target=" + it.target + " service=" + it.service +
           " address=" + it.address +
           " revision=" + std::to_string(it.revision) + " " + it.details;
}

auto line_of(dispatch::config_applied const& it) -> std::string
{
    return "Configuration in force. version=" + std::to_string(it.version) +
           " revision=" + std::to_string(it.revision) +
           " routes=" + std::to_string(it.routes);
}

auto line_of(dispatch::config_ignored const& it) -> std::string
{
    return "Older configuration ignored. version=" +
           std::to_string(it.version) +
           " in_force=" + std::to_string(it.applied_version);
}

auto line_of(dispatch::object_skipped const& it) -> std::string
{
    return std::string{"Object skipped. kind="} + kind_word(it.kind) +
           " name=" + it.name + " reason=\"" + it.reason + "\"";
}

auto line_of(dispatch::store_availability_changed const& it) -> std::string
{
    return std::string{
               it.lost ? "Store lost. kind=" : "Store regained. kind="} +
           kind_word(it.kind) + (it.lost ? " why=" : "") +
           (it.lost ? word(it.failure) : "") +
           " revision=" + std::to_string(it.revision);
}

auto line_of(dispatch::watch_stalled const& it) -> std::string
{
    return std::string{"Watch was silent. kind="} + kind_word(it.kind) +
           " revision=" + std::to_string(it.known) +
           " newest=" + std::to_string(it.newest) +
           " changes=" + std::to_string(it.changes);
}

auto line_of(dispatch::rollout_progressed const& it) -> std::string
{
    return "Rollout moved. service=" + it.service + " version=" + it.version +
           " phase=" + it.phase + " revision=" + std::to_string(it.revision) +
           " " + it.details;
}

auto line_of(dispatch::zone_changed const& it) -> std::string
{
    return std::string{it.evacuated ? "Zone evacuated. zone="
                                    : "Zone taken back in. zone="} +
           it.zone + " revision=" + std::to_string(it.revision);
}

auto line_of(dispatch::readiness_changed const& it) -> std::string
{
    return std::string{it.ready ? "Ready. reason=\"" : "Not ready. reason=\""} +
           it.reason + "\"";
}

/// Prefix of the part that a fact belongs to, and its severity.
struct line_kind
{
    char const* part;
    log_level level = log_level::info;
};

auto kind_of(dispatch::fact const& it) -> line_kind
{
    return std::visit(
        overloaded{[](dispatch::request_ended const& e) -> line_kind
            {
                auto const bad = e.how == dispatch::request_end::failed ||
                                 e.how == dispatch::request_end::refused;
                return {"request", bad ? log_level::warning : log_level::info};
            },
            [](dispatch::extra_sent const&) -> line_kind
            { return {"request"}; },
            [](dispatch::attempt_failed const&) -> line_kind {
                return {"request", log_level::warning};
            },
            [](dispatch::budget_exhausted const&) -> line_kind {
                return {"request", log_level::warning};
            },
            [](dispatch::target_condition_changed const&) -> line_kind
            { return {"target"}; },
            [](dispatch::config_applied const&) -> line_kind
            { return {"config"}; },
            [](dispatch::config_ignored const&) -> line_kind {
                return {"config", log_level::warning};
            },
            [](dispatch::object_skipped const&) -> line_kind {
                return {"store", log_level::warning};
            },
            [](dispatch::store_availability_changed const& e) -> line_kind {
                return {"store", e.lost ? log_level::warning : log_level::info};
            },
            [](dispatch::watch_stalled const&) -> line_kind {
                return {"store", log_level::warning};
            },
            [](dispatch::rollout_progressed const&) -> line_kind
            { return {"rollout"}; },
            [](dispatch::zone_changed const&) -> line_kind
            { return {"config"}; },
            [](dispatch::readiness_changed const&) -> line_kind
            {
                return {"node"};
            }},
        it);
}

} // namespace

auto kind_word(store_kind it) -> char const*
{
    return word_of(std::array{"configuration", "targets", "evacuations",
                       "rollouts", "instances"},
        it);
}

auto log_fact(dispatch::fact const& it) -> void
{
    auto const kind = kind_of(it);
    log(kind.level, kind.part,
        std::visit([](auto const& e) { return line_of(e); }, it));
}

} // namespace knapweedstream
