/// \file loop_service.h Service that gives access to the event loop.
#ifndef FULMARSTEP_LOOP_SERVICE_H
#define FULMARSTEP_LOOP_SERVICE_H

#include "event_loop.h"
#include "kernel.h"

namespace fulmar {

/// Makes the event loop available to the other services of a kernel.
struct LoopService : Service {
  explicit LoopService(EventLoop &L) : Loop(L) {}

  EventLoop &Loop; ///< Owned by the program's main function.
};

} // namespace fulmar

#endif
