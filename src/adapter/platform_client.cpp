#include "adapter/platform_client.hpp"

#include "adapter/log.hpp"

#include <charconv>
#include <utility>

namespace knapweedstream
{

namespace
{

constexpr auto call_timeout = seconds{2};
constexpr auto watch_wait = seconds{10};
constexpr auto watch_timeout = seconds{15};
constexpr auto list_interval = seconds{2};
/// Number of times every instance requests the instance list; after that, only
/// an instance that watches the configuration does.
constexpr auto initial_lists = 3u;
constexpr auto retry_interval = milliseconds{500};
/// Short, so that a restored platform is read before the operator writes again.
constexpr auto watch_retry_interval = milliseconds{100};
constexpr auto claim_connections = std::size_t{4};
/// Time over which the instances announce themselves again in a new era.
constexpr auto announce_spread = milliseconds{1'000};

/// Era that a reply states; 0 if it states none.
auto era_of(http_reply const& r) -> std::uint64_t
{
    auto const text = r.field("Store-Era");
    auto era = std::uint64_t{0};
    auto const* end = text.data() + text.size();
    auto const result = std::from_chars(text.data(), end, era);
    return result.ec == std::errc{} && result.ptr == end ? era : 0;
}

/// Logs that entries of a list were left out.
auto log_unreadable(char const* what, std::size_t count) -> void
{
    if (count > 0)
        log(log_level::error, "platform",
            std::string{"Entries skipped. list="} + what +
                " count=" + std::to_string(count));
}

} // namespace

auto bucket_name(claim_bucket bucket) -> std::string
{
    return std::to_string(bucket.service.value) + "-" +
           std::to_string(bucket.shard.value);
}

platform_client::platform_client(loop_ref base, std::string const& address,
    instance_info const& self, event_sink sink)
    : base_(base), address_(address), self_(self), sink_(std::move(sink)),
      control_connection_(base, address, call_timeout),
      watch_connection_(base, address, watch_timeout),
      list_timer_(base, [this] { list_instances(); }),
      watch_timer_(base, [this] { watch(); }),
      announce_timer_(base, [this] { announce(self_.leaving); })
{
    for (std::size_t i = 0; i < claim_connections; ++i)
        claim_connections_.push_back(
            std::make_unique<http_connection>(base, address, call_timeout));
}

auto platform_client::start() -> void
{
    announce(false);
    list_instances();
}

auto platform_client::send(http_connection& connection, http_request const& r,
    http_connection::on_reply f) -> void
{
    ++calls_;
    connection.send(r,
        [this, f = std::move(f)](http_reply const& reply)
        {
            auto const era = era_of(reply);
            if (era != 0 && era < era_)
                return f(http_reply{nullptr});
            begin_era(era);
            f(reply);
        });
}

auto platform_client::send_conditional(http_connection& connection,
    http_request r, store_version expected, http_connection::on_reply f) -> void
{
    if (expected.era != era_)
        return f(http_reply{nullptr});
    r.fields.push_back({"If-Match", std::to_string(expected.revision)});
    if (era_ != 0)
        r.fields.push_back({"If-Era", std::to_string(era_)});
    send(connection, r,
        [this, expected, f = std::move(f)](http_reply const& reply)
        { f(expected.era == era_ ? reply : http_reply{nullptr}); });
}

auto platform_client::begin_era(std::uint64_t era) -> void
{
    if (era <= era_)
        return;
    auto const restored = std::exchange(era_, era) != 0;
    revision_ = 0;
    sink_(era_observed{era});
    if (!restored)
        return;
    auto const delay = hash_name(self_.name) % announce_spread.count();
    announce_timer_.after(milliseconds{delay});
    watch_timer_.after(duration{0});
}

auto platform_client::announce(bool leaving) -> void
{
    self_.leaving = leaving;
    auto const done = [this](http_reply const& r)
    {
        if (r.status() != 200)
            announce_timer_.after(retry_interval);
    };
    send(control_connection_,
        {EVHTTP_REQ_PUT, "/v1/instances/" + uri_encoded(self_.name), {},
            to_json(self_)},
        done);
}

auto platform_client::list_instances() -> void
{
    auto const done = [this](http_reply const& r)
    {
        list_timer_.after(r.status() == 200 ? duration{list_interval}
                                            : duration{retry_interval});
        if (r.status() != 200)
            return;
        leaf::try_handle_all(
            [&]() -> leaf::result<void>
            {
                BOOST_LEAF_AUTO(all, parse_instances(r.body()));
                log_unreadable("instances", all.unreadable);
                sink_(instances_listed{std::move(all.instances)});
                return {};
            },
            [] {
                log(log_level::error, "platform",
                    "Cannot decode the list of instances.");
            });
    };
    if (list_requests_ >= initial_lists && !watch_enabled_)
    {
        list_timer_.after(list_interval);
        return;
    }
    ++list_requests_;
    send(control_connection_, {EVHTTP_REQ_GET, "/v1/instances", {}, {}}, done);
}

auto platform_client::run(watch_config const& c) -> void
{
    watch_enabled_ = c.on;
    watch();
}

auto platform_client::watch() -> void
{
    // A watch of an earlier era may wait for a revision that is far ahead.
    if (watch_pending_ && watch_era_ != era_)
        watch_connection_.refuse_reply();
    if (!watch_enabled_ || watch_pending_)
        return;
    watch_pending_ = true;
    watch_era_ = era_;
    // After a failure, an answer is needed at once: it may state a new era.
    auto const waits = revision_ != 0 && !watch_failed_;
    auto const wait = waits ? milliseconds{watch_wait} : milliseconds{0};
    send(watch_connection_,
        {EVHTTP_REQ_GET,
            "/v1/objects/customer?since=" + std::to_string(revision_) +
                "&wait_ms=" + std::to_string(wait.count()),
            {}, {}},
        [this](http_reply const& r) { on_changes(r); });
}

auto platform_client::on_customer(platform_object const& o) -> void
{
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(c, parse_customer(o.value, {era_, o.version}));
            sink_(config_read{std::move(c)});
            return {};
        },
        [&]
        {
            log(log_level::error, "platform",
                "Customer skipped. name=" + o.name +
                    " version=" + std::to_string(o.version));
        });
}

auto platform_client::on_changes(http_reply const& r) -> void
{
    watch_pending_ = false;
    if (watch_era_ != era_)
        return watch_timer_.after(duration{0});
    auto const good = leaf::try_handle_all(
        [&]() -> leaf::result<bool>
        {
            if (r.status() != 200)
                return false;
            BOOST_LEAF_AUTO(changes, parse_changes(r.body()));
            log_unreadable("customers", changes.unreadable);
            for (auto const& it : changes.objects)
                on_customer(it);
            // A lower revision means that the platform lost its history: read
            // all objects again.
            revision_ = changes.revision < revision_ ? 0 : changes.revision;
            return true;
        },
        []
        {
            log(log_level::error, "platform",
                "Cannot decode customer configurations.");
            return false;
        });
    watch_failed_ = !good;
    watch_timer_.after(good ? duration{0} : duration{watch_retry_interval});
}

auto platform_client::connection_for(claim_bucket bucket) -> http_connection&
{
    return *claim_connections_[std::hash<claim_bucket>{}(bucket) %
                               claim_connections_.size()];
}

auto platform_client::on_claims(claim_bucket bucket, http_reply const& r)
    -> void
{
    if (r.status() == 404)
        return sink_(claims_stored{bucket, {era_, 0}, {}});
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(object, parse_object(r.body()));
            BOOST_LEAF_AUTO(claims, parse_claims(object.value));
            sink_(claims_stored{
                bucket, {era_, object.version}, std::move(claims)});
            return {};
        },
        [&] { sink_(claims_failed{bucket}); });
}

auto platform_client::run(claims_read const& c) -> void
{
    send(connection_for(c.bucket),
        {EVHTTP_REQ_GET, "/v1/objects/claims/" + bucket_name(c.bucket), {}, {}},
        [this, bucket = c.bucket](http_reply const& r)
        { on_claims(bucket, r); });
}

auto platform_client::run(claims_write const& c) -> void
{
    auto const done = [this, bucket = c.bucket](http_reply const& r)
    {
        if (r.status() == 412)
            return on_claims(bucket, r);
        leaf::try_handle_all(
            [&]() -> leaf::result<void>
            {
                BOOST_LEAF_AUTO(object, parse_object(r.body()));
                sink_(claims_written{bucket, {era_, object.version}});
                return {};
            },
            [&] { sink_(claims_failed{bucket}); });
    };
    send_conditional(connection_for(c.bucket),
        {EVHTTP_REQ_PUT, "/v1/objects/claims/" + bucket_name(c.bucket), {},
            to_json(c.claims)},
        c.if_version, done);
}

auto platform_client::on_rollout(service_id service, http_reply const& r)
    -> void
{
    if (r.status() == 404)
        return sink_(rollout_stored{service, {era_, 0}, {}});
    leaf::try_handle_all(
        [&]() -> leaf::result<void>
        {
            BOOST_LEAF_AUTO(object, parse_object(r.body()));
            BOOST_LEAF_AUTO(value, parse_rollout(object.value));
            sink_(rollout_stored{service, {era_, object.version}, value});
            return {};
        },
        [&] { sink_(rollout_failed{service}); });
}

auto platform_client::run(rollout_read const& c) -> void
{
    send(control_connection_,
        {EVHTTP_REQ_GET,
            "/v1/objects/rollout/" + std::to_string(c.service.value), {}, {}},
        [this, service = c.service](http_reply const& r)
        { on_rollout(service, r); });
}

auto platform_client::run(rollout_write const& c) -> void
{
    send_conditional(control_connection_,
        {EVHTTP_REQ_PUT,
            "/v1/objects/rollout/" + std::to_string(c.service.value), {},
            to_json(c.value)},
        c.if_version,
        [this, service = c.service](http_reply const& r)
        { on_rollout(service, r); });
}

auto platform_client::run(announce_leaving const&) -> void
{
    announce(true);
}

auto platform_client::run(enter_era const& c) -> void
{
    begin_era(c.era);
}

} // namespace knapweedstream
