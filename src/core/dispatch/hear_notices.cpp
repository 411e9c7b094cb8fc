#include "core/dispatch/hear_notices.hpp"

#include "core/dispatch/concurrency_limit.hpp"
#include "core/dispatch/link_shares.hpp"
#include "core/dispatch/pool.hpp"

#include <utility>

namespace knapweedstream::dispatch
{

namespace
{

auto limit_text(std::optional<double> const& limit) -> std::string
{
    return limit ? std::to_string(*limit) : "none";
}

auto report_notice(target_entry const& t, target_condition what,
    std::string details, commands& out) -> void
{
    out.push_back(
        report_fact{target_condition_changed{t.info.name, t.info.service,
            t.info.address, what, std::move(details), t.version.revision}});
}

/// Reports each notice of a target that has changed.
auto report_notices(target_entry const& t, target_notices const& before,
    time_point now, commands& out) -> void
{
    auto const& n = t.notices;
    auto const limited = n.limit_per_s.has_value();
    if (limited != before.limit_per_s.has_value())
        report_notice(t,
            limited ? target_condition::limited : target_condition::unlimited,
            "limit_per_s=" + limit_text(n.limit_per_s) +
                " before=" + limit_text(before.limit_per_s),
            out);
    if (n.leaving && !before.leaving)
        report_notice(t, target_condition::leaving, "by=reply", out);
    if (n.paused_until <= before.paused_until)
        return;
    auto const left =
        std::chrono::duration_cast<milliseconds>(n.paused_until - now);
    report_notice(t, target_condition::paused,
        "pause_ms=" + std::to_string(left.count()), out);
}

auto count_notices(dispatch_stats& stats, target_statement const& said) -> void
{
    stats.limit_notices += said.limit_per_s ? 1 : 0;
    stats.pause_notices += said.pause ? 1 : 0;
    stats.leaving_notices += said.leaving ? 1 : 0;
}

} // namespace

auto hear_notices(dispatch_state& s, target_entry& t,
    target_statement const& said, time_point now, commands& out) -> void
{
    auto const before = t.notices;
    t.notices = with_statement(before, said, draw_fraction(s), now);
    report_notices(t, before, now, out);
    if (said.pause)
        t.concurrency = concurrency_after_pause(t.concurrency);
    if (t.notices.leaving && !before.leaving)
    {
        close_idle(s, t, out);
        invalidate_shares(s, t.service);
    }
    count_notices(s.stats, said);
    if (!said.ignored.empty())
    {
        ++s.stats.ignored_statements;
        out.push_back(report_fact{
            statement_ignored{t.info.name, t.info.service, said.ignored}});
    }
}

} // namespace knapweedstream::dispatch
