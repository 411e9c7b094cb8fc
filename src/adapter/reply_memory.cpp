#include "adapter/reply_memory.hpp"

#include <algorithm>

namespace knapweedstream
{

namespace
{

constexpr auto max_bytes = std::size_t{32} << 20; ///< Of all partial replies.

} // namespace

auto reply_memory::set(connection_id id, std::size_t bytes) -> void
{
    auto& size = sizes_[id];
    bytes_ = bytes_ - size + bytes;
    size = bytes;
}

auto reply_memory::forget(connection_id id) -> void
{
    auto const it = sizes_.find(id);
    if (it == sizes_.end())
        return;
    bytes_ -= it->second;
    sizes_.erase(it);
}

auto reply_memory::largest_beyond_limit() const -> std::optional<connection_id>
{
    if (bytes_ <= max_bytes)
        return std::nullopt;
    auto const it = std::max_element(sizes_.begin(), sizes_.end(),
        [](auto const& a, auto const& b) { return a.second < b.second; });
    return it->first;
}

} // namespace knapweedstream
