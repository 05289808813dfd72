#pragma once

#include "../SuspendedTime.h"

/// The memory shared with the test; null before the initialisers of this library have run.
PlatformTest::SuspendedTime* suspendedTime();
