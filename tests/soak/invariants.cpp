#include "invariants.hpp"

#include <algorithm>
#include <sstream>

namespace soak
{

namespace
{

constexpr auto timeout = ks::milliseconds{1'000};    ///< Of all routes.
constexpr auto answer_slack = ks::milliseconds{500}; ///< Beyond the timeout.
constexpr auto drain_bound = ks::seconds{4};  ///< For the last new request.
constexpr auto config_bound = ks::seconds{4}; ///< Until a version is in force.
constexpr auto min_share = 0.5;               ///< Of the shards in a success.
constexpr auto top_k = std::size_t{10};       ///< Records of a merged answer.
constexpr auto record_bytes = std::size_t{16};

using violations = std::vector<violation>;
using run = standin::run_record;

auto overlaps_fault(std::vector<fault_window> const& all, ks::time_point from,
    ks::time_point to) -> bool
{
    return std::any_of(all.begin(), all.end(),
        [&](fault_window const& e) { return e.from <= to && from <= e.to; });
}

auto fault_windows_of(history const& h, std::size_t instance)
    -> std::vector<fault_window>
{
    auto const it = h.instance_faults.find(instance);
    return it == h.instance_faults.end() ? std::vector<fault_window>{}
                                         : it->second;
}

auto runs_by_id(history const& h)
    -> std::map<std::string, std::vector<run const*>>
{
    auto all = std::map<std::string, std::vector<run const*>>{};
    for (auto const& it : h.runs)
        all[it.id].push_back(&it);
    return all;
}

auto split_list(std::string_view text) -> std::vector<std::string>
{
    auto out = std::vector<std::string>{};
    auto in = std::istringstream{std::string{text}};
    for (auto it = std::string{}; std::getline(in, it, ',');)
        out.push_back(it.substr(it.find_first_not_of(' ')));
    return out;
}

/// The answered run that a stamp names; null if there is none.
auto find_run(std::vector<run const*> const& runs, std::string const& stamp)
    -> run const*
{
    for (auto const* it : runs)
        if (stamp == it->stamp && !it->reply_body.empty())
            return it;
    return nullptr;
}

auto top_records(std::vector<run const*> const& parts) -> std::string
{
    auto records = std::vector<std::string>{};
    for (auto const* p : parts)
        for (std::size_t at = 0; at + record_bytes <= p->reply_body.size();
             at += record_bytes)
            records.push_back(p->reply_body.substr(at, record_bytes));
    std::sort(records.begin(), records.end(), std::greater<>{});
    records.resize(std::min(records.size(), top_k));
    auto out = std::string{};
    for (auto const& it : records)
        out += it;
    return out;
}

auto check_merged(history const& h, request_record const& a,
    std::vector<run const*> const& runs, violations& out) -> void
{
    auto parts = std::vector<run const*>{};
    auto services = std::set<std::string>{};
    for (auto const& stamp :
        split_list(ks::find_field(a.answer, "X-Part-Stamps")))
    {
        auto const* r = find_run(runs, stamp);
        if (r == nullptr || !services.insert(h.services.at(r->target)).second)
            return out.push_back(
                {"each part is a different shard's reply to this request",
                    a.id + " part " + stamp});
        parts.push_back(r);
    }
    auto const missing = std::stoul(
        "0" + std::string{ks::find_field(a.answer, "X-Missing-Parts")});
    if (parts.size() + missing != h.shards)
        out.push_back(
            {"answered and missing parts add up to all shards", a.id});
    if (static_cast<double>(parts.size()) <
        min_share * static_cast<double>(h.shards))
        out.push_back(
            {"a success covers the minimum share of the shards", a.id});
    if (a.answer.body != top_records(parts))
        out.push_back(
            {"an answer holds the greatest records of the named parts", a.id});
}

auto check_answer(history const& h, request_record const& a,
    std::vector<run const*> const& runs, violations& out) -> void
{
    if (ks::find_field(a.answer, "X-Request-Id") != a.id)
        out.push_back({"an answer belongs to its request", a.id});
    if (a.answer.status != 200)
        return;
    if (a.kind == route_kind::all)
        return check_merged(h, a, runs, out);
    auto const stamp = std::string{ks::find_field(a.answer, "X-Server-Stamp")};
    auto const* r = find_run(runs, stamp);
    if (r == nullptr || r->reply_body != a.answer.body)
        out.push_back(
            {"an answer holds the target's whole body, unchanged", a.id});
}

/// Checks that an at-most-once request ran at most once, and not at all if it
/// was refused: a refusal states that the request has not run and will not run.
auto check_at_most_once(request_record const& a,
    std::vector<run const*> const& runs, violations& out) -> void
{
    if (a.kind != route_kind::once)
        return;
    if (runs.size() > 1)
        out.push_back({"an at-most-once request runs at most once", a.id});
    auto const refused = a.answer.status == 503 || a.answer.status == 429 ||
                         a.answer.status == 408 || a.answer.status == 421;
    if (refused && !runs.empty())
        out.push_back({"a refused request has not run", a.id});
}

auto check_deadline(history const& h, request_record const& a, violations& out)
    -> void
{
    auto const due = a.sent + timeout + answer_slack;
    auto const answered = a.ended != ks::time_point{} && !a.disconnected;
    auto const in_fault =
        overlaps_fault(fault_windows_of(h, a.instance), a.sent, due);
    if (a.disconnected && !in_fault)
        out.push_back({"no request loses its connection", a.id});
    else if (!in_fault && (!answered || a.ended > due))
        out.push_back({"each request is answered in time", a.id});
}

/// Latest end of the fault windows that had begun by `at`.
auto last_fault_end(std::vector<fault_window> const& all, ks::time_point at)
    -> ks::time_point
{
    auto last = ks::time_point{};
    for (auto const& it : all)
        if (it.from <= at)
            last = std::max(last, it.to);
    return last;
}

/// Checks that a draining target receives no new requests after `drain_bound`.
/// The bound counts from the start of draining, or from the end of the last
/// fault of the store or of the instance that sent the request, if later.
auto check_draining(history const& h,
    std::map<std::string, std::size_t> const& instance_of, violations& out)
    -> void
{
    for (auto const& r : h.runs)
    {
        auto const left = h.draining.find(r.target);
        auto const sender = instance_of.find(r.id);
        if (left == h.draining.end() || sender == instance_of.end())
            continue;
        auto const since =
            std::max({left->second, last_fault_end(h.store_faults, r.at),
                last_fault_end(fault_windows_of(h, sender->second), r.at)});
        if (r.at > since + drain_bound)
            out.push_back(
                {"a draining target receives no new requests", r.target});
    }
}

/// Checks that a request is served as a version allows that is not replaced for
/// longer than `config_bound`. The bound counts from the newer version's write,
/// or from the end of the last fault of the store or of the instance, if later.
auto check_config(history const& h, request_record const& a,
    std::vector<run const*> const& runs, violations& out) -> void
{
    auto const fault_end = std::max(last_fault_end(h.store_faults, a.sent),
        last_fault_end(fault_windows_of(h, a.instance), a.sent));
    if (a.kind == route_kind::all || a.sent <= fault_end + config_bound)
        return;
    auto const due = [&](config_record const& it)
    {
        return it.written + config_bound < a.sent;
    };
    auto const first = std::find_if(h.configs.rbegin(), h.configs.rend(), due);
    for (auto const* r : runs)
        if (first != h.configs.rend() &&
            std::none_of(h.configs.rbegin(), first + 1,
                [&](config_record const& it)
                { return it.single_service == h.services.at(r->target); }))
            out.push_back({"a configuration is in force in time", a.id});
}

/// Checks that a restored store alone keeps no request from being served.
auto check_restored(history const& h, request_record const& a, violations& out)
    -> void
{
    auto const due = a.sent + timeout + answer_slack;
    if (overlaps_fault(h.only_restores, a.sent, a.sent) &&
        !overlaps_fault(fault_windows_of(h, a.instance), a.sent, due) &&
        a.answer.status != 200)
        out.push_back({"each request is served though the store was restored",
            a.id + " status " + std::to_string(a.answer.status)});
}

} // namespace

auto check_invariants(history const& h) -> std::vector<violation>
{
    auto out = violations{};
    auto const runs = runs_by_id(h);
    auto instance_of = std::map<std::string, std::size_t>{}; // By request ID.
    for (auto const& a : h.requests)
    {
        instance_of.emplace(a.id, a.instance);
        auto const it = runs.find(a.id);
        auto const own_runs =
            it == runs.end() ? std::vector<run const*>{} : it->second;
        check_at_most_once(a, own_runs, out);
        check_deadline(h, a, out);
        check_config(h, a, own_runs, out);
        check_restored(h, a, out);
        if (a.ended != ks::time_point{} && !a.disconnected)
            check_answer(h, a, own_runs, out);
    }
    for (auto const& r : h.runs)
        if (!instance_of.contains(r.id))
            out.push_back({"targets run only requests of callers", r.id});
    check_draining(h, instance_of, out);
    return out;
}

} // namespace soak
