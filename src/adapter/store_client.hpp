/// The client of the platform's store: sends the calls that the dispatcher
/// orders and hands their results back. It decides nothing.
#ifndef KNAPWEEDSTREAM_ADAPTER_STORE_CLIENT_HPP
#define KNAPWEEDSTREAM_ADAPTER_STORE_CLIENT_HPP

#include "adapter/http_link.hpp"
#include "adapter/target_links.hpp"

#include <map>
#include <memory>
#include <vector>

namespace knapweedstream
{

/// How calls to the store are written, and answers read.
struct store_dialect
{
    std::function<http_message(
        store_kind, std::string const& after, bool may_be_stale)>
        list;
    std::function<http_message(dispatch::store_watch const&)> watch;
    std::function<http_message(instance_record const&, bool exists)> record;
    std::function<http_message(dispatch::store_write_order_state const&)>
        order_state;
    std::function<http_message(std::string const& name)> remove;
    std::function<dispatch::event(store_kind, http_message const&)> read_list;
    std::function<dispatch::event(store_kind, http_message const&)> read_watch;
    std::function<dispatch::event(
        store_kind, std::string const&, http_message const&)>
        read_write;
};

/// Carries out commands that concern the store.
class store_client
{
public:
    store_client(event_base* base, std::string const& address,
        store_dialect dialect, dispatch_sink sink);

    auto run(dispatch::store_list const& c) -> void;
    auto run(dispatch::store_watch const& c) -> void;
    auto run(dispatch::store_check const& c) -> void;
    auto run(dispatch::store_write_record const& c) -> void;
    auto run(dispatch::store_write_order_state const& c) -> void;
    auto run(dispatch::store_delete_record const& c) -> void;

    /// Calls made since the start.
    auto calls() const -> std::uint64_t { return calls_; }

    /// Frees what was closed; not to be called from a connection's callback.
    auto collect() -> void { closed_.clear(); }

private:
    using reader = std::function<dispatch::event(http_message const&)>;
    using failed = std::function<dispatch::event(store_failure)>;

    /// One connection with at most one call on it.
    struct channel
    {
        std::unique_ptr<http_link> link;
        std::unique_ptr<loop_event> timeout;
        reader read;
        failed fail;
        bool waits = false; ///< A call is out.
    };

    auto call(std::string const& name, http_message const& m, duration limit,
        reader read, failed fail) -> void;
    auto write(std::string const& over, store_kind kind,
        std::string const& name, http_message const& m) -> void;
    auto connect(std::string const& name, channel& c) -> void;
    auto end(std::string const& name, store_failure why) -> void;
    auto on_replied(
        std::string const& name, http_message const& m, bool reusable) -> void;
    auto drop_link(channel& c) -> void;

    event_base* base_;
    std::string address_;
    store_dialect dialect_;
    dispatch_sink sink_;
    std::uint64_t calls_ = 0;
    std::map<std::string, channel> channels_;
    std::vector<std::unique_ptr<http_link>> closed_;
};

} // namespace knapweedstream

#endif
