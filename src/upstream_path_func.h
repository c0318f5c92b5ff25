/// \file upstream_path_func.h Decides whether this node can connect to
/// upstreams, without I/O.
///
/// A connection that fails may be the fault of the upstream or of this node's
/// links. If connections to several upstreams have failed and none has been
/// established since, this node counts as isolated, unless other nodes cannot
/// connect to those upstreams either. Where connections are established and
/// then reset, another one that is established shows nothing; a response does,
/// and a connection that stays open. After the first few failures, upstreams
/// without trouble are probed, so that some that are gone do not isolate a node
/// which opens new connections rarely.
#ifndef FULMARSTEP_UPSTREAM_PATH_FUNC_H
#define FULMARSTEP_UPSTREAM_PATH_FUNC_H

#include <functional>
#include <string_view>
#include <vector>

#include "upstream_path_base.h"

namespace fulmar {

/// Records that a new connection to \p Address was established. It may still be
/// reset.
void pathConnected(UpstreamPaths &P, const std::string &Address, TimePoint Now);

/// Records that no connection to \p Address could be established.
/// \param Hung whether it was given up after a timeout.
void pathFailed(UpstreamPaths &P, const std::string &Address, bool Hung,
                TimePoint Now);

/// Records that a new connection to \p Address was closed before a response;
/// after several in a row the path counts as failed.
void pathReset(UpstreamPaths &P, const std::string &Address, TimePoint Now);

/// Records a response on a new connection to \p Address, or that one stayed
/// open for a while.
/// \param Begun when the connection was begun.
void pathProven(UpstreamPaths &P, const std::string &Address, TimePoint Begun,
                TimePoint Now);

/// Records that another node could not connect to \p Address either.
void pathFailedElsewhere(UpstreamPaths &P, const std::string &Address,
                         TimePoint Now);

/// Records that other nodes may not call \p Address now.
void pathDeclined(UpstreamPaths &P, const std::string &Address, TimePoint Now);

/// \return Whether connections to \p Address fail.
bool pathDown(const UpstreamPaths &P, const std::string &Address);

/// \return Whether a call on a new connection to \p Address would most likely
/// be lost, as connections are established and reset, or wait in vain.
bool pathLosesCalls(const UpstreamPaths &P, const std::string &Address);

/// \return How this node reaches \p Address.
UpstreamPath upstreamPathOf(const UpstreamPaths &P, const std::string &Address,
                            TimePoint Now);

/// \return Whether this node can connect to no upstream, as far as is known.
inline bool pathsIsolated(const UpstreamPaths &P) {
  return P.IsolatedSince > TimePoint{};
}

/// \return The name of \p Path in logs.
std::string_view upstreamPathName(UpstreamPath Path);

/// \return Whether this node may be isolated, and should probe upstreams
/// without trouble.
bool pathsSuspicious(const UpstreamPaths &P, TimePoint Now);

/// Chooses addresses to which this node should try to connect now, and
/// schedules the next time for them.
std::vector<std::string> pathProbesDue(UpstreamPaths &P, TimePoint Now);

/// Forgets addresses that are not in use any more.
/// \param Used returns whether an upstream is listed at the address.
void pathsPrune(UpstreamPaths &P,
                const std::function<bool(const std::string &)> &Used,
                TimePoint Now);

} // namespace fulmar

#endif
