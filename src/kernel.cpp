/// \file kernel.cpp Registry of services.
#include "kernel.h"

namespace fulmar {

Kernel::~Kernel() {
  stop();
  while (!Entries.empty())
    Entries.pop_back();
}

void Kernel::insert(std::string_view Name, std::unique_ptr<Service> Instance) {
  if (lookUp(Name))
    throw std::logic_error("service registered twice: " + std::string(Name));
  Entries.push_back({std::string(Name), std::move(Instance), nullptr});
}

void Kernel::addShared(std::string_view Name, Service &Instance) {
  insert(Name, nullptr);
  Entries.back().Shared = &Instance;
}

Service *Kernel::lookUp(std::string_view Name) const {
  for (const Entry &E : Entries) {
    if (E.Name != Name)
      continue;
    return E.Shared ? E.Shared : E.Instance.get();
  }
  return nullptr;
}

void Kernel::start() {
  for (; Started < Entries.size(); ++Started) {
    if (Entries[Started].Instance)
      Entries[Started].Instance->start();
  }
}

void Kernel::stop() {
  for (; Started > 0; --Started) {
    if (Entries[Started - 1].Instance)
      Entries[Started - 1].Instance->stop();
  }
}

} // namespace fulmar
