/// \file batch_tickets.cpp Callbacks of batch requests in progress.
#include "batch_tickets.h"

namespace fulmar {

BatchTicket BatchTickets::add(const BatchRequestKey &Key, DoneFn Done,
                              ReadFn Read) {
  BatchTicket Ticket{++LastTicket};
  Waiters[Ticket] = {Key, std::move(Done), std::move(Read)};
  if (Key.Request.Value != 0)
    ByKey[Key] = Ticket;
  return Ticket;
}

void BatchTickets::answer(const BatchRequestKey &Key, const BatchResult &Result,
                          DoneFn OnUnclaimed) {
  Loop->defer([this, Key, Result, OnUnclaimed = std::move(OnUnclaimed)] {
    auto Found = ByKey.find(Key);
    if (Found == ByKey.end())
      return OnUnclaimed(Result);
    auto Waiting = Waiters.find(Found->second);
    ByKey.erase(Found);
    DoneFn Fn = std::move(Waiting->second.Done);
    Waiters.erase(Waiting);
    Fn(Result);
  });
}

void BatchTickets::answer(BatchTicket Ticket, const BatchResult &Result) {
  Loop->defer([this, Ticket, Result] {
    auto Waiting = Waiters.find(Ticket);
    if (Waiting == Waiters.end())
      return;
    DoneFn Fn = std::move(Waiting->second.Done);
    Waiters.erase(Waiting);
    Fn(Result);
  });
}

void BatchTickets::inputsRead(const BatchRequestKey &Key) const {
  auto Found = ByKey.find(Key);
  if (Found == ByKey.end())
    return;
  ReadFn Read = Waiters.at(Found->second).Read;
  if (Read)
    Read();
}

std::optional<BatchRequestKey> BatchTickets::remove(BatchTicket Ticket) {
  auto Found = Waiters.find(Ticket);
  if (Found == Waiters.end())
    return std::nullopt;
  BatchRequestKey Key = std::move(Found->second.Key);
  Waiters.erase(Found);
  ByKey.erase(Key);
  return Key;
}

} // namespace fulmar
