/// Runs instances for routed requests as processes, beside one process with the
/// store and the targets.
#ifndef KNAPWEEDSTREAM_TESTS_ROUTED_CLUSTER_HPP
#define KNAPWEEDSTREAM_TESTS_ROUTED_CLUSTER_HPP

#include "adapter/event_loop.hpp"
#include "adapter/http_link.hpp"
#include "processes.hpp"

namespace processes
{

/// A store, the targets of two shards and instances on successive ports. The
/// targets of shard 0 are `t0-1`, `t1-1` and so on, followed by those of shard
/// 1; their zones are `a`, `b` and `c` in turn. All instances are in `a`.
class routed_cluster
{
public:
    explicit routed_cluster(std::uint16_t first_port, int replicas = 2)
        : first_port_(first_port), first_instance_port_(1 + shards * replicas)
    {
        auto const name = "ks-test-" + std::to_string(getpid()) + "-" +
                          std::to_string(first_port);
        dir_ = std::filesystem::temp_directory_path() / name;
        std::filesystem::create_directories(dir_);
        deployment_ = std::make_unique<process>(
            std::vector<std::string>{KS_STANDIN, "routed", "--port",
                std::to_string(first_port), "--shards", std::to_string(shards),
                "--replicas", std::to_string(replicas)},
            (dir_ / "deployment.log").string());
    }

    ~routed_cluster()
    {
        instances.clear();
        deployment_.reset();
        if (std::getenv("KS_KEEP_LOGS") == nullptr)
            std::filesystem::remove_all(dir_);
    }

    routed_cluster(routed_cluster const&) = delete;
    auto operator=(routed_cluster const&) -> routed_cluster& = delete;

    /// Creates an object in the store; false if that is refused.
    auto create(std::string const& kind, std::string const& name,
        json::object const& spec) const -> bool
    {
        auto const body = json::object{
            {"meta", json::object{{"name", name}}}, {"spec", spec}};
        return wait_for(seconds{10},
            [&]
            {
                return call_store(EVHTTP_REQ_POST, kind, json::serialize(body))
                           .status == 200;
            });
    }

    /// Replaces the `spec` of an object in the store; false if refused.
    auto replace(std::string const& kind, std::string const& name,
        json::object const& spec) const -> bool
    {
        auto const body = json::object{{"spec", spec}};
        return call_store(
                   EVHTTP_REQ_PUT, kind + "/" + name, json::serialize(body))
                   .status == 200;
    }

    /// Removes an object from the store; false if it is not there.
    auto remove(std::string const& kind, std::string const& name) const -> bool
    {
        return call_store(EVHTTP_REQ_DELETE, kind + "/" + name).status == 200;
    }

    /// The `spec` of an object in the store; empty if there is none.
    auto spec_of(std::string const& kind, std::string const& name) const
        -> json::object
    {
        auto const r = call_store(EVHTTP_REQ_GET, kind + "/" + name);
        return r.status == 200 ? json::parse(r.body).at("spec").as_object()
                               : json::object{};
    }

    /// Sets faults of the store, for example `restore=40`.
    auto control_store(std::string const& what) const -> bool
    {
        return send_http(address(0), EVHTTP_REQ_POST, "/control?" + what)
                   .status == 200;
    }

    auto start_instance(int i = 0) -> void
    {
        auto const name = "i" + std::to_string(i);
        auto const path = (dir_ / (name + ".ini")).string();
        std::ofstream{path}
            << "[instance]\nfront_end = routes\nname = " << name
            << "\nzone = a\nregion = ra\ncaller_address = " << caller_address(i)
            << "\nready_address = " << ready_address(i)
            << "\nplatform_address = " << address(0)
            << "\n[zones]\na = ra\nb = rb\nc = rc\n";
        instances[i] = std::make_unique<process>(
            std::vector<std::string>{KS_BINARY, "run", path},
            (dir_ / (name + ".log")).string());
    }

    auto is_ready(int i = 0) const -> bool
    {
        return send_http(ready_address(i), EVHTTP_REQ_GET, "/readiness")
                   .status == 200;
    }

    /// Answer to a routed request; its status is 0 if there was none.
    auto answer_to(event_base* base, std::string const& path, int i = 0) const
        -> http_message
    {
        auto m = http_message{};
        m.method = "GET";
        m.target = path;
        m.fields = {{"Host", "h.example"}, {"X-Request-Id", "q1"},
            {"X-Request-Deadline", "1000"}};
        auto answer = http_message{};
        auto const stop = [&]
        {
            event_base_loopbreak(base);
        };
        auto link = http_link{base, caller_address(i), {}, {},
            {{},
                [&](http_message&& it, bool)
                {
                    answer = std::move(it);
                    stop();
                },
                [&](link_end)
                {
                    stop();
                }}};
        link.send(request_text(m));
        event_base_dispatch(base);
        return answer;
    }

    /// Status of the answer to a routed request; 0 if there was none.
    auto ask(std::string const& path, int i = 0) const -> std::uint32_t
    {
        return answer_to(make_event_base().get(), path, i).status;
    }

    std::map<int, std::unique_ptr<process>> instances;

private:
    auto address(int offset) const -> std::string
    {
        return "127.0.0.1:" + std::to_string(first_port_ + offset);
    }
    auto caller_address(int i) const -> std::string
    {
        return address(first_instance_port_ + 2 * i);
    }
    auto ready_address(int i) const -> std::string
    {
        return address(first_instance_port_ + 2 * i + 1);
    }

    /// Calls the store as the operator, whom it serves in any mode.
    auto call_store(evhttp_cmd_type method, std::string const& path,
        std::string const& body = {}) const -> call_reply
    {
        return send_http(address(0), method, "/operator/objects/" + path, body);
    }

    static constexpr auto shards = 2;

    std::uint16_t first_port_;
    int first_instance_port_; ///< Counted from the first port.
    std::filesystem::path dir_;
    std::unique_ptr<process> deployment_;
};

} // namespace processes

#endif
