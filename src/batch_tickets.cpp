/// \file batch_tickets.cpp Who waits for which ask.
#include "batch_tickets.h"

namespace fulmar {

BatchTicket BatchTickets::add(const BatchRequestName &Name, DoneFn Done,
                              ReadFn Read) {
  BatchTicket Ticket{++LastTicket};
  Waiters[Ticket] = {Name, std::move(Done), std::move(Read)};
  if (Name.Request.Value != 0)
    ByName[Name] = Ticket;
  return Ticket;
}

void BatchTickets::answer(const BatchRequestName &Name,
                          const BatchResult &Result, DoneFn Unwanted) {
  Loop->defer([this, Name, Result, Unwanted = std::move(Unwanted)] {
    auto Found = ByName.find(Name);
    if (Found == ByName.end())
      return Unwanted(Result);
    auto Waiting = Waiters.find(Found->second);
    ByName.erase(Found);
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

void BatchTickets::inputsRead(const BatchRequestName &Name) const {
  auto Found = ByName.find(Name);
  if (Found == ByName.end())
    return;
  ReadFn Read = Waiters.at(Found->second).Read;
  if (Read)
    Read();
}

std::optional<BatchRequestName> BatchTickets::remove(BatchTicket Ticket) {
  auto Found = Waiters.find(Ticket);
  if (Found == Waiters.end())
    return std::nullopt;
  BatchRequestName Name = std::move(Found->second.Name);
  Waiters.erase(Found);
  ByName.erase(Name);
  return Name;
}

} // namespace fulmar
