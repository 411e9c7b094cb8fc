/// Stand-in of the platform: versioned objects with conditional updates and
/// watches, and a list of instances that lags behind.
#ifndef KNAPWEEDSTREAM_STANDIN_PLATFORM_HPP
#define KNAPWEEDSTREAM_STANDIN_PLATFORM_HPP

#include "http_server.hpp"

#include <list>
#include <map>
#include <memory>
#include <variant>

namespace standin
{

/// Settings of the platform stand-in.
struct platform_settings
{
    std::uint16_t port = 0;
    ks::milliseconds list_lag{1'000}; ///< Age of the instance list.
};

/// The platform. `POST /control?...` switches faults and returns counters:
/// `down=1` holds all calls until `down=0`, `slow_ms=N` delays them, `lose=N`
/// closes the connection instead of answering the next N object writes, which
/// take effect, `restore=N` undoes the last N writes, breaks all connections
/// that wait and begins a new era.
class platform
{
public:
    platform(event_base* base, platform_settings const& settings);

private:
    struct object
    {
        std::uint64_t version = 0;
        std::uint64_t revision = 0;
        std::string value;
    };

    /// A write, with the object's state before it; version 0 if there was none.
    struct object_write
    {
        std::string kind;
        std::string name;
        object before;
    };

    /// A write to the list of instances.
    struct instance_write
    {
        std::string name;
    };

    using past_write = std::variant<object_write, instance_write>;

    struct watch
    {
        request r;
        std::string kind;
        std::uint64_t since;
        ks::time_point until;
    };

    struct delayed
    {
        request r;
        ks::time_point at;
    };

    struct list_entry
    {
        ks::time_point at;
        std::string value;
    };

    auto on_request(request r) -> void;
    auto serve(request r) -> void;
    auto control(request r) -> void;
    auto read(request r, std::string const& kind, std::string const& name)
        -> void;
    auto write(request r, std::string const& kind, std::string const& name)
        -> void;
    auto changes(request r, std::string const& kind) -> void;
    auto answer_changes(request r, std::string const& kind, std::uint64_t since)
        -> void;
    auto instances(request r) -> void;
    /// True if the request's conditions do not hold for the object.
    auto conflicts(request r, object const& o) const -> bool;
    auto restore(std::size_t lost_writes) -> void;
    auto undo(past_write const& w) -> void;
    auto poll() -> void;

    event_base* base_;
    platform_settings settings_;
    std::map<std::string, std::map<std::string, object>> objects_;
    std::map<std::string, std::vector<list_entry>> instances_;
    std::uint64_t revision_ = 1;
    std::uint64_t era_ = 1;
    std::vector<past_write> history_; ///< Oldest first.
    std::list<watch> watches_;
    std::list<delayed> delayed_;
    bool down_ = false;
    ks::milliseconds call_delay_{0};
    std::uint32_t answers_to_drop_ = 0;
    std::uint64_t calls_ = 0;
    std::uint64_t writes_ = 0;
    std::vector<request> held_;
    http_server server_;
    ks::loop_event timer_;
};

} // namespace standin

#endif
