/// @file
/// Visitor built from lambdas, for `std::visit`.

#ifndef JASMINESPAR_CORE_OVERLOADED_H_
#define JASMINESPAR_CORE_OVERLOADED_H_

namespace jasminespar {

/// Joins lambdas into one visitor; every alternative must be handled.
template <typename... Handlers>
struct Overloaded : Handlers... {
  using Handlers::operator()...;
};

template <typename... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

}  // namespace jasminespar

#endif  // JASMINESPAR_CORE_OVERLOADED_H_
