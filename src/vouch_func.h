/// \file vouch_func.h Which nodes read the key-value service for the others.
#ifndef FULMARSTEP_VOUCH_FUNC_H
#define FULMARSTEP_VOUCH_FUNC_H

#include "member_base.h"

namespace fulmar {

/// Nodes of one failure domain that one reader serves; a question and its
/// answer are 200 bytes, three times a second.
inline constexpr std::size_t NodesPerReader = 30;

/// Chooses the node of the own failure domain that reads for this one.
///
/// Each call to the key-value service costs, a waiting one too, and its rates
/// grow more slowly than the fleet. That nothing has changed can be told by
/// whoever has looked.
/// \return Its id; this node's own when it reads for itself.
std::string chooseReader(const Membership &M);

} // namespace fulmar

#endif
