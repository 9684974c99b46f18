/// @file
/// JSON of what an instance knows of the site, for operators.

#ifndef JASMINESPAR_FRONT_STATUS_CODEC_H_
#define JASMINESPAR_FRONT_STATUS_CODEC_H_

#include <string>

#include "jasminespar/core/time.h"
#include "jasminespar/membership/view.h"

namespace jasminespar::front {

/// @return {"instances": [...]} with state, addresses and age of knowledge.
[[nodiscard]] std::string EncodeInstances(const membership::View& view,
                                          TimePoint now);

/// @return {"cells": [...]} with owner, epoch, load and age of knowledge.
[[nodiscard]] std::string EncodeCells(const membership::View& view,
                                      TimePoint now);

}  // namespace jasminespar::front

#endif  // JASMINESPAR_FRONT_STATUS_CODEC_H_
