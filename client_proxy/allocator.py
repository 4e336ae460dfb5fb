"""Settings of the C library's memory allocator, so that freed buffers go back to the system."""

from __future__ import annotations

import ctypes

M_MMAP_THRESHOLD = -3  # option of mallopt(3)
# Buffers from this size on get pages of their own. Otherwise the library raises its threshold with the first
# large buffer that is freed, and later ones leave holes in the heap that stay resident.
OWN_PAGES_FROM_BYTES = 64 * 1024


def return_large_buffers() -> bool:
    """Have large buffers returned to the system when they are freed.

    Returns:
        Whether the C library knows the setting; without it nothing changes.
    """
    try:
        mallopt = ctypes.CDLL(None).mallopt
    except (OSError, AttributeError):
        return False
    mallopt.argtypes = [ctypes.c_int, ctypes.c_int]
    mallopt.restype = ctypes.c_int
    return bool(mallopt(M_MMAP_THRESHOLD, OWN_PAGES_FROM_BYTES))
