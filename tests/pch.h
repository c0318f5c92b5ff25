// Precompiled headers: slow to compile and included by every test file.
#include <catch2/catch.hpp>

#include <catch2/trompeloeil.hpp>
#include <rapidcheck.h>
