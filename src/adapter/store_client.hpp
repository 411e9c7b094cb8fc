/// Client of the platform's object store: makes the calls that the dispatcher
/// commands and reports their results. All decisions are the dispatcher's.
#ifndef KNAPWEEDSTREAM_ADAPTER_STORE_CLIENT_HPP
#define KNAPWEEDSTREAM_ADAPTER_STORE_CLIENT_HPP

#include "adapter/call_channel.hpp"
#include "adapter/target_links.hpp"

#include <map>

namespace knapweedstream
{

/// Encodes calls to the store and decodes its responses.
struct store_codec
{
    /// Call for one page of a kind's objects: those after the name `after`, or
    /// the first ones if it is empty. `may_be_stale` lets the store answer with
    /// data that is seconds old.
    std::function<http_message(
        store_kind, std::string const& after, bool may_be_stale)>
        list;
    std::function<http_message(dispatch::store_watch const&)> watch;
    /// Call that replaces an instance's record, or creates it if `exists` is
    /// false.
    std::function<http_message(
        instance_record const&, std::optional<std::uint64_t> revision)>
        record;
    std::function<http_message(dispatch::store_write_order_state const&)>
        order_state;
    std::function<http_message(instance_report const&, bool exists)> report;
    /// Call that deletes the record or the report of the named instance.
    std::function<http_message(store_kind, std::string const& name)> remove;
    std::function<dispatch::event(store_kind, http_message const&)> read_list;
    std::function<dispatch::event(store_kind, http_message const&)> read_watch;
    /// Decodes the response to a create, an update or a delete of the object
    /// with the given name.
    std::function<dispatch::event(
        store_kind, std::string const&, http_message const&)>
        read_write;
};

/// Executes commands for the store over several connections: for each kind, one
/// for lists and watches and one for checks; one for the record and
/// one for the report of this instance; and one for the state of each rollout
/// order. A new call on a connection replaces the one that is still pending
/// there.
class store_client
{
public:
    store_client(loop_ref base, std::string const& address, store_codec codec,
        dispatch_sink sink);

    auto run(dispatch::store_list const& c) -> void;
    auto run(dispatch::store_watch const& c) -> void;
    auto run(dispatch::store_check const& c) -> void;
    auto run(dispatch::store_write_record const& c) -> void;
    auto run(dispatch::store_write_order_state const& c) -> void;
    auto run(dispatch::store_delete_record const& c) -> void;
    auto run(dispatch::store_write_report const& c) -> void;
    auto run(dispatch::store_delete_report const& c) -> void;

    /// Number of calls made since the start.
    auto calls() const -> std::uint64_t { return calls_; }

    /// Frees closed connections; must not be called from the callback of one.
    auto free_closed() -> void;

private:
    using reply_decoder = std::function<dispatch::event(http_message const&)>;
    using failure_builder = std::function<dispatch::event(store_failure)>;

    auto call(std::string const& name, http_message const& m, duration limit,
        reply_decoder decode_reply, failure_builder make_failure) -> void;
    auto write(std::string const& channel_key, store_kind kind,
        std::string const& name, http_message const& m) -> void;
    /// Closes the idle connections: once a call has got no answer, they may
    /// deliver nothing more either.
    auto drop_idle() -> void;

    loop_ref base_;
    std::string address_;
    store_codec codec_;
    dispatch_sink sink_;
    std::uint64_t calls_ = 0;
    std::map<std::string, call_channel> channels_; ///< By use, as `write`.
};

} // namespace knapweedstream

#endif
