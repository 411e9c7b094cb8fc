/// Client of the platform's object API: customer configuration, instances,
/// booking claims and rollouts.
#ifndef KNAPWEEDSTREAM_ADAPTER_PLATFORM_CLIENT_HPP
#define KNAPWEEDSTREAM_ADAPTER_PLATFORM_CLIENT_HPP

#include "adapter/json_api.hpp"
#include "adapter/leaf_client.hpp"

namespace knapweedstream
{

/// Executes commands for the platform and reports the results.
class platform_client
{
public:
    platform_client(loop_ref base, std::string const& address,
        instance_info const& self, event_sink sink);

    /// Announces this instance and starts to read the list of instances.
    auto start() -> void;

    auto run(claims_read const& c) -> void;
    auto run(claims_write const& c) -> void;
    auto run(rollout_read const& c) -> void;
    auto run(rollout_write const& c) -> void;
    auto run(watch_config const& c) -> void;
    auto run(announce_leaving const& c) -> void;
    auto run(enter_era const& c) -> void;

    /// Number of calls made since the start.
    auto calls() const -> std::uint64_t { return calls_; }

private:
    auto send(http_connection& connection, http_request const& r,
        http_connection::on_reply f) -> void;
    /// Sends a write that holds only for an object of this version; one of an
    /// earlier era gets no reply.
    auto send_conditional(http_connection& connection, http_request r,
        store_version expected, http_connection::on_reply f) -> void;
    /// Begins a later era: what the platform has lost is announced and read
    /// again.
    auto begin_era(std::uint64_t era) -> void;
    auto announce(bool leaving) -> void;
    auto list_instances() -> void;
    auto watch() -> void;
    auto on_changes(http_reply const& r) -> void;
    /// Reports a customer's configuration, or logs that it is malformed.
    auto on_customer(platform_object const& o) -> void;
    auto on_rollout(service_id service, http_reply const& r) -> void;
    auto on_claims(claim_bucket bucket, http_reply const& r) -> void;
    auto connection_for(claim_bucket bucket) -> http_connection&;

    loop_ref base_;
    std::string address_;
    instance_info self_;
    event_sink sink_;
    http_connection control_connection_;
    http_connection watch_connection_;
    std::vector<std::unique_ptr<http_connection>> claim_connections_;
    loop_event list_timer_;
    loop_event watch_timer_;
    loop_event announce_timer_;
    bool watch_enabled_ = false;
    bool watch_pending_ = false;
    bool watch_failed_ = false;       ///< The last one got no good answer.
    std::uint32_t list_requests_ = 0; ///< Requests for the instance list.
    std::uint64_t era_ = 0;           ///< Last seen; 0 if none was stated.
    std::uint64_t watch_era_ = 0;     ///< Era of the pending watch.
    std::uint64_t revision_ = 0;
    std::uint64_t calls_ = 0;
};

/// Name of the object that stores a bucket's claims.
auto bucket_name(claim_bucket bucket) -> std::string;

} // namespace knapweedstream

#endif
