/// Log lines for the dispatcher's facts: a sentence, then key=value fields.
#ifndef KNAPWEEDSTREAM_ADAPTER_DISPATCH_LOG_HPP
#define KNAPWEEDSTREAM_ADAPTER_DISPATCH_LOG_HPP

#include "port/dispatch_fact.hpp"

namespace knapweedstream
{

/// Logs a fact with the component and severity that belong to it.
auto log_fact(dispatch::fact const& it) -> void;

/// Name of a kind of stored object in log lines.
auto store_kind_name(store_kind it) -> char const*;

} // namespace knapweedstream

#endif
