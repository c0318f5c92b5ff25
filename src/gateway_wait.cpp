/// \file gateway_wait.cpp Waits of requests before their next send.
///
/// A request waits for one thing at a time: an answer of another node, or a
/// moment. The number of a wait is used once, by no other start of this node
/// either, and messages carry it in place of the request's. So an answer ends
/// only the wait that it was asked for, however late it arrives.
#include "gateway_service.h"
#include "log_func.h"

namespace fulmar {

/// Begins a wait, in place of an earlier one.
/// \return Its number, for endWait().
SendWaitId GatewayService::beginWait(ForwardRequest &R, SendWaitFor For) {
  dropWait(R);
  // A lent turn is one to send now.
  R.LentTurn.reset();
  R.Wait.Id = SendWaitId{++LastWait};
  R.Wait.For = For;
  Waits[R.Wait.Id] = R.Serial;
  return R.Wait.Id;
}

/// Calls \p Then if the wait of a request has not ended within \p Most.
void GatewayService::limitWait(ForwardRequest &R, Duration Most,
                               std::function<void(ForwardRequest &)> Then) {
  R.Wait.Timer =
      Timers->after(Most, [this, Wait = R.Wait, Then = std::move(Then)] {
        if (ForwardRequest *Waiting = endWait(Wait.Id, Wait.For))
          Then(*Waiting);
      });
}

/// Sends a request after a wait.
void GatewayService::sendAfter(ForwardRequest &R, SendWaitFor For,
                               Duration Wait) {
  beginWait(R, For);
  limitWait(R, Wait,
            [this](ForwardRequest &Waiting) { sendAttempt(Waiting.Serial); });
}

/// Ends a wait.
/// \return The request that waited; null if that wait is over.
ForwardRequest *GatewayService::endWait(SendWaitId Id, SendWaitFor For) {
  auto Found = Waits.find(Id);
  ForwardRequest *R = Found == Waits.end() ? nullptr : find(Found->second);
  if (!R || R->Wait.For != For)
    return nullptr;
  dropWait(*R);
  return R;
}

/// Ends the wait of a request, if any. An answer to it has no effect any more.
void GatewayService::dropWait(ForwardRequest &R) {
  Timers->cancel(R.Wait.Timer);
  Waits.erase(R.Wait.Id);
  R.Wait = SendWait();
}

} // namespace fulmar
