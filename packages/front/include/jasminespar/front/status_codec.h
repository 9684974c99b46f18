/// @file
/// Encodes an instance's view of the site as JSON for operators.

#ifndef JASMINESPAR_FRONT_STATUS_CODEC_H_
#define JASMINESPAR_FRONT_STATUS_CODEC_H_

#include <string>

#include "jasminespar/core/time.h"
#include "jasminespar/membership/view.h"

namespace jasminespar::front {

/// @return {"self": ..., "instances": [...]} with state, addresses and the time
///     since the last message of each instance.
[[nodiscard]] std::string EncodeInstances(const membership::View& view,
                                          TimePoint now);

/// @return {"cells": [...]} with owner, epoch, load and the age of the load.
[[nodiscard]] std::string EncodeCells(const membership::View& view,
                                      TimePoint now);

}  // namespace jasminespar::front

#endif  // JASMINESPAR_FRONT_STATUS_CODEC_H_
