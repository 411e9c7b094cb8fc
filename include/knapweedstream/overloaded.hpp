/// Combines several lambdas into one visitor.
#ifndef KNAPWEEDSTREAM_OVERLOADED_HPP
#define KNAPWEEDSTREAM_OVERLOADED_HPP

namespace knapweedstream
{

/// Overload set of lambdas, for use with `std::visit`.
template <class... Fs>
struct overloaded : Fs...
{
    using Fs::operator()...;
};

template <class... Fs>
overloaded(Fs...) -> overloaded<Fs...>;

} // namespace knapweedstream

#endif
