/// Memory for replies that are being received on several connections.
#ifndef KNAPWEEDSTREAM_ADAPTER_REPLY_MEMORY_HPP
#define KNAPWEEDSTREAM_ADAPTER_REPLY_MEMORY_HPP

#include <knapweedstream/ids.hpp>

#include <cstddef>
#include <optional>
#include <unordered_map>

namespace knapweedstream
{

/// Sizes of the replies that are not complete, with a limit for their sum. A
/// server may send bytes without end on each of its connections.
class reply_memory
{
public:
    /// Takes note of the size of a connection's partial reply.
    auto set(connection_id id, std::size_t bytes) -> void;

    /// Forgets a connection's reply, as it is complete or its connection ended.
    auto forget(connection_id id) -> void;

    /// Bytes kept of all partial replies.
    auto bytes() const -> std::size_t { return bytes_; }

    /// While the sum exceeds the limit: the connection with the largest reply,
    /// which is to be refused.
    auto largest_beyond_limit() const -> std::optional<connection_id>;

private:
    std::unordered_map<connection_id, std::size_t> sizes_;
    std::size_t bytes_ = 0;
};

} // namespace knapweedstream

#endif
