/// @file
/// Visitor made of lambdas, for `std::visit`.

#ifndef JASMINESPAR_CORE_OVERLOADED_H_
#define JASMINESPAR_CORE_OVERLOADED_H_

namespace jasminespar {

/// Combines lambdas into one visitor, which must handle every alternative.
template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};

template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace jasminespar

#endif  // JASMINESPAR_CORE_OVERLOADED_H_
