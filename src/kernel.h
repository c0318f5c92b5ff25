/// \file kernel.h Registry in which services look each other up by name.
#ifndef FULMARSTEP_KERNEL_H
#define FULMARSTEP_KERNEL_H

#include <memory>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

namespace fulmar {

/// A component of the program that is started and stopped.
class Service {
public:
  virtual ~Service() = default;
  /// Called once all services are registered, in the order of registration.
  virtual void start() {}
  /// Called in reverse order of registration when the kernel stops.
  virtual void stop() {}
};

/// Owns the services, starts and stops them, and looks them up by name.
class Kernel {
public:
  Kernel() = default;
  /// Stops the services that still run and destroys all services, in reverse
  /// order of registration: later services use earlier ones.
  ~Kernel();
  Kernel(const Kernel &) = delete;
  Kernel &operator=(const Kernel &) = delete;

  /// Registers \p Instance as \p Name.
  /// \return A reference to \p Instance.
  /// \pre No service has that name yet.
  template <typename T>
  T &add(std::string_view Name, std::unique_ptr<T> Instance) {
    T &Ref = *Instance;
    insert(Name, std::move(Instance));
    return Ref;
  }

  /// Registers a service that is owned, started and stopped elsewhere, such as
  /// the timer service that all nodes of a process share.
  void addShared(std::string_view Name, Service &Instance);

  /// Finds the service registered as \p Name.
  /// \throws std::logic_error when there is none, or it is of another type.
  template <typename T> T &find(std::string_view Name) const {
    auto *Found = dynamic_cast<T *>(lookUp(Name));
    if (!Found)
      throw std::logic_error("no service of that type: " + std::string(Name));
    return *Found;
  }

  /// Starts every service.
  void start();
  /// Stops every started service, in reverse order of start.
  void stop();

private:
  /// One registered service.
  struct Entry {
    std::string Name;                  ///< Name for look-ups.
    std::unique_ptr<Service> Instance; ///< The service, if owned by the kernel.
    Service *Shared = nullptr;         ///< The service, if owned elsewhere.
  };

  void insert(std::string_view Name, std::unique_ptr<Service> Instance);
  Service *lookUp(std::string_view Name) const;

  std::vector<Entry> Entries; ///< In the order of registration.
  std::size_t Started = 0;    ///< Number of entries that were started.
};

} // namespace fulmar

#endif
