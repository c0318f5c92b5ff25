/// \file member_states.h Names of member states.
#ifndef FULMARSTEP_TABLE_MEMBER_STATES_H
#define FULMARSTEP_TABLE_MEMBER_STATES_H

#include "core/enum_names.h"
#include "member_type.h"

namespace fulmar {

inline constexpr EnumNames<MemberState> MemberStateNames = {"alive", "leaving",
                                                            "suspect", "dead"};

} // namespace fulmar

#endif
