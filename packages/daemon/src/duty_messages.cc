#include "jasminespar/daemon/duty_messages.h"

#include <utility>

#include "jasminespar/core/overloaded.h"

namespace jasminespar::daemon {

cell::Input ToInput(cell::ReplyToken token, protocol::CallOp op) {
  return std::visit(
      Overloaded{
          [&](protocol::SubmitOp& submit) -> cell::Input {
            return cell::SubmitCall{token, std::move(submit.request)};
          },
          [&](protocol::LookUpOp& look_up) -> cell::Input {
            return cell::LookUpCall{token, look_up.id,
                                    std::move(look_up.account)};
          },
          [&](protocol::CancelOp& cancel) -> cell::Input {
            return cell::CancelCall{token, cancel.id,
                                    std::move(cancel.account)};
          },
      },
      op);
}

}  // namespace jasminespar::daemon
